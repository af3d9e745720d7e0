"""Routes the requests of callers to the upstreams of services."""
