"""Replicated records: registers whose values are agreed by a majority of three replicas."""
