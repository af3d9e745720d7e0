"""Leases, fencing, idempotent transactions and membership over one table.

A library of its own: it imports nothing else of lentilmount.
"""
