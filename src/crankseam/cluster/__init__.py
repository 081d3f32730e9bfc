"""Membership, digests and the configuration lease of a node."""
