"""Scheduling decisions on jobs, tasks and workers; uses no network."""
