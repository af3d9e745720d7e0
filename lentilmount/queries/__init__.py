"""Queries: operations that read resources, events and changes."""
