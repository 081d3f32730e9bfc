"""Autoscaling of samplers: how many to order, of which kind and in which zone."""
