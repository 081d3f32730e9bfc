"""Fenced orders to samplers: which of them load which weight version, and when."""
