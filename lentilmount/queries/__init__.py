"""Everything that reads."""
