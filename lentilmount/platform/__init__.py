"""Adapter to the outer platform: its formats and HTTP calls, without policy.

Names on the wire are decoded here, and only here; comments say where an outer
name is misleading.
"""
