"""The command line: one module a verb."""
