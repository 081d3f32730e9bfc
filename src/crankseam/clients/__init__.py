"""Clients of external systems, one module for each."""
