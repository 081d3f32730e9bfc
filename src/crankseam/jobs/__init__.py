"""Batch jobs: generations that are submitted together, run asynchronously, and read in order."""
