"""Everything that changes a resource."""
