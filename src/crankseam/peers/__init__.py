"""Frames and connections between nodes."""
