"""Which processes suit a subject best, worked out alike by all."""

from __future__ import annotations

import hashlib
import random

FIRST_TURN_S = 0.05
TURN_STEP_S = 0.12
"""The process that ranks first tries first, the next so much later: by then it has seen the first
one's success."""
TURN_RANKS = 4
TURN_SPREAD_S = 0.4
"""Processes of lower ranks try at a random time after the last of these."""


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


def turn_delay_s(subject: str, processes: list[str], process: str) -> float:
    """How long a process leaves a subject that nobody holds to those that rank before it."""
    ranked = rank_processes(subject, processes)
    rank = ranked.index(process) if process in ranked else TURN_RANKS
    if rank < TURN_RANKS:
        return FIRST_TURN_S + TURN_STEP_S * rank
    last = FIRST_TURN_S + TURN_STEP_S * TURN_RANKS
    return last + random.uniform(0.0, TURN_SPREAD_S)
