"""The daemon on the users' platform: requests, ownership, calls to workers."""
