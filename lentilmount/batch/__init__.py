"""Placing tasks on workers and seeing each to its end exactly once."""
