"""Counts the memory of the jobs that run in this process, and decides how much of it they may take.

Inputs: the sizes of the running jobs' bodies; the memory budget of the process.
Rule: only jobs of at least `LARGE_JOB_BYTES` count, each until its items are listed: then their
bodies are dropped. A large job is refused while others run that fill with it more than
`JOBS_FRACTION` of what bodies may have.
Purpose: jobs that nobody ends keep neither the memory of other requests, nor each other's.
Logged as: `request_refused` (503).
Tested by: tests/jobs/test_job_memory.py.
"""

from __future__ import annotations

import msgspec

from crankseam.jobs.model import ItemDefinition, JobDefinition
from crankseam.memory.budget import MemoryKind, Reservation
from crankseam.memory.room import MemoryRoom

LARGE_JOB_BYTES = 2**18
"""Size of all bodies from which on a job is large. Most jobs are smaller, and stay as they are."""
JOBS_FRACTION = 0.5
"""Part of the room for bodies that large jobs may fill together."""


def body_bytes(items: list[ItemDefinition]) -> int:
    """Number of bytes of the items' bodies, and of those of their scoring requests."""
    return sum(
        len(item.body) + (len(item.scoring.body) if item.scoring is not None else 0)
        for item in items
    )


def is_large(job: JobDefinition) -> bool:
    """Whether the memory of a job counts."""
    return body_bytes(job.items) >= LARGE_JOB_BYTES


def without_body(item: ItemDefinition) -> ItemDefinition:
    """An item that is listed already, of which only the rest is needed."""
    return msgspec.structs.replace(item, body=b"", scoring=None)


class JobMemory:
    """The memory that running jobs hold.

    Parameters
    ==========

    room : the memory budget of the process; None if it has none.
    """

    def __init__(self, room: MemoryRoom | None = None) -> None:
        self._room = room
        self._held: dict[str, Reservation] = {}

    def held_bytes(self) -> int:
        """Number of bytes that the large jobs hold."""
        return sum(reservation.size_bytes for reservation in self._held.values())

    def has_room(self, size_bytes: int) -> bool:
        """Whether another job with bodies of this size may run here."""
        held_bytes = self.held_bytes()
        if self._room is None or size_bytes < LARGE_JOB_BYTES or not held_bytes:
            return True
        limit_bytes = self._room.budget.limit_bytes(MemoryKind.BODY)
        return held_bytes + size_bytes <= limit_bytes * JOBS_FRACTION

    def hold(self, job: JobDefinition) -> None:
        """Count a job that runs here, as far as there is room: its bytes are in memory already.

        Called once it starts, and again once its submission has returned its own bytes.
        """
        if self._room is None or not is_large(job):
            return
        budget = self._room.budget
        held = self._held.setdefault(job.id, budget.reserve(0, MemoryKind.BODY))
        free_bytes = max(0, budget.free_bytes(MemoryKind.BODY))
        held.grow(max(0, min(body_bytes(job.items) - held.size_bytes, free_bytes)))

    def shrink(self, job: JobDefinition) -> None:
        """Count what is left of a job after some bodies were dropped."""
        reservation = self._held.get(job.id)
        if reservation is not None:
            reservation.shrink_to(body_bytes(job.items))

    def release(self, job_id: str) -> None:
        """Count a job no more."""
        reservation = self._held.pop(job_id, None)
        if reservation is not None:
            reservation.release()
