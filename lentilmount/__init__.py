"""A scheduler for latency-critical and batch work that share hosts."""

__version__ = '0.1.0'
