"""Which processes suit a subject best, worked out alike by all."""

from __future__ import annotations

import hashlib


def rank_processes(subject: str, processes: list[str]) -> list[str]:
    """Processes by how well they suit a subject: rendezvous hashing.

    Each process works it out alike, and when one leaves, only its own subjects move.

    Examples
    ========

    >>> rank_processes("m", ["a", "b", "c"])[0] == rank_processes("m", ["c", "a", "b"])[0]
    True
    """

    def weight(process: str) -> bytes:
        return hashlib.blake2b(f"{subject}\n{process}".encode(), digest_size=8).digest()

    return sorted(processes, key=weight, reverse=True)
