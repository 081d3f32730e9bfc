"""Declarative configuration: document kinds, file reader, change plans and snapshots."""
