"""Places tasks on workers and tracks each to its end, exactly once."""
