"""Samplers on demand: how many, in which zone, and of which kind."""
