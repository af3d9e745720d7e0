"""Benchmarks of the daemons and the scheduler; run by `make bench`."""
