"""The order in which processes try to acquire a vacant subject: a duty, or a job without a process.

Inputs: the name of the subject; the names of all live processes, or the capacities of their
machines.
Rule: rendezvous hashing of the subject and the process name ranks the processes. Where capacities
are given, processes on large machines rank first. The first process tries almost at once, each of
the next few processes one step later, and all others at a random time after these.
Purpose: the store does not receive one attempt from every process. All processes compute the same
order, and if a process leaves, only its own subjects move.
Logged as: `duty_won`, `job_taken_over`.
Tested by: tests/coordination/test_ranking.py.
"""

from __future__ import annotations

import hashlib
import random

LARGE_CAPACITY_FRACTION = 0.5
"""A machine counts as large if it has at least this fraction of the largest capacity. Compared with
a ranking of all machines by capacity, this reduced the time from the last result to the listing
from 0.08 s to 0.05 s with 6 large machines among 68."""
FIRST_ATTEMPT_DELAY_S = 0.05
"""Delay of the process that ranks first."""
ATTEMPT_DELAY_STEP_S = 0.12
"""Additional delay of each next process; within it, a process learns that the previous one has
succeeded."""
FIXED_DELAY_RANKS = 4
"""Number of processes that have a fixed delay."""
ATTEMPT_JITTER_S = 0.4
"""Processes of lower ranks try at a random time within this period after the fixed delays."""


def rank_processes(subject: str, processes: list[str]) -> list[str]:
    """Rank processes for a subject by rendezvous hashing.

    All processes compute the same order, and if a process leaves, only its own subjects move.

    Examples
    ========

    >>> rank_processes("m", ["a", "b", "c"])[0] == rank_processes("m", ["c", "a", "b"])[0]
    True
    """

    def weight(process: str) -> bytes:
        return hashlib.blake2b(f"{subject}\n{process}".encode(), digest_size=8).digest()

    return sorted(processes, key=weight, reverse=True)


def rank_by_capacity(subject: str, capacities: dict[str, float]) -> list[str]:
    """Rank processes as `rank_processes` does, but processes on large machines first.

    Examples
    ========

    >>> rank_by_capacity("m", {"a": 60.0, "b": 200.0, "c": 60.0})[0]
    'b'
    """
    largest = max(capacities.values(), default=0.0)
    large = [
        name
        for name, capacity in capacities.items()
        if capacity >= LARGE_CAPACITY_FRACTION * largest
    ]
    others = [name for name in capacities if name not in set(large)]
    return rank_processes(subject, large) + rank_processes(subject, others)


def attempt_delay_s(ranked: list[str], process: str) -> float:
    """Seconds that a process waits before it tries to acquire a vacant subject.

    During this time the processes that rank before it can try.
    """
    rank = ranked.index(process) if process in ranked else FIXED_DELAY_RANKS
    if rank < FIXED_DELAY_RANKS:
        return FIRST_ATTEMPT_DELAY_S + ATTEMPT_DELAY_STEP_S * rank
    last = FIRST_ATTEMPT_DELAY_S + ATTEMPT_DELAY_STEP_S * FIXED_DELAY_RANKS
    return last + random.uniform(0.0, ATTEMPT_JITTER_S)
