"""Operators' declarative files: kinds, reading, planning and snapshots."""
