"""In which order do processes try for what nobody holds: a duty, or a job whose process is gone?

Inputs: the subject's name; the names of all living processes, or the sizes of their machines.
Rule: rendezvous hashing of subject and name ranks the processes, those of large machines first
where sizes count. The first tries almost at once, each of the next few a step later, all others
at a random time after these.
Protects: the store, from as many tries as there are processes; each process works the order out
alike, and when one leaves, only its own subjects move.
Shown by: `duty_won`, `job_taken_over`. Held by: tests/coordination/test_ranking.py.
"""

from __future__ import annotations

import hashlib
import random

LARGE_SHARE = 0.5
"""A machine of at least this share of the largest one's capacity counts as large. Chosen over a
ranking by size among all: last result to listing 0.08 -> 0.05 s on a day with 6 large of 68."""
FIRST_TURN_S = 0.05
"""The process that ranks first tries after this; origin not recorded."""
TURN_STEP_S = 0.12
"""Each next one tries so much later: by then it has seen the success of the one before. Origin of
the figure not recorded."""
TURN_RANKS = 4
"""So many have a turn of their own; origin not recorded."""
TURN_SPREAD_S = 0.4
"""Processes of lower ranks try at a random time within this after the last of these; origin not
recorded."""


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


def rank_by_capacity(subject: str, capacities: dict[str, float]) -> list[str]:
    """The same, but processes of large machines go before all others.

    Examples
    ========

    >>> rank_by_capacity("m", {"a": 60.0, "b": 200.0, "c": 60.0})[0]
    'b'
    """
    largest = max(capacities.values(), default=0.0)
    large = [name for name, one in capacities.items() if one >= LARGE_SHARE * largest]
    others = [name for name in capacities if name not in set(large)]
    return rank_processes(subject, large) + rank_processes(subject, others)


def turn_delay_s(ranked: list[str], process: str) -> float:
    """How long a process leaves a subject that nobody holds to those that rank before it."""
    rank = ranked.index(process) if process in ranked else TURN_RANKS
    if rank < TURN_RANKS:
        return FIRST_TURN_S + TURN_STEP_S * rank
    last = FIRST_TURN_S + TURN_STEP_S * TURN_RANKS
    return last + random.uniform(0.0, TURN_SPREAD_S)
