"""Fenced orders that tell samplers which weight version to load, and when."""
