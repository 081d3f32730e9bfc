"""Experiments: launcher, load, faults, auditor and reports."""
