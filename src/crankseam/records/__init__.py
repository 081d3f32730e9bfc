"""Replicated records: registers agreed by a majority of three replicas."""
