"""Leases, fencing, idempotent transactions and membership over one table.

A self-contained library: it imports nothing else from lentilmount.
"""
