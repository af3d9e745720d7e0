"""Protocols and clients for the platform that lentilmount runs on."""
