"""Measurements of real daemons; run by `make bench`."""
