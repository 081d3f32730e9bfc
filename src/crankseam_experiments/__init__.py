"""Experiments on a fleet of processes: launcher, load, fault injection, auditor and reports."""
