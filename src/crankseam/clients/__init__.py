"""One client module for each outside system."""
