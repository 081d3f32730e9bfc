"""Decides which reservation gets room, which one waits, and which one is refused at once.

Inputs: the limits; the bytes reserved and the reservations that wait, exact, of this process.
Rule: answers go before bodies; within a kind, a reservation that grows goes before new ones, then
the order of arrival counts. A reservation that does not fit holds up those behind it, except that
one of at most `SMALL_BYTES` may pass it, `MAX_PASSES` times. A body that does not fit never holds
up an answer, since bodies are released by answers. One that exceeds the limit of its kind is
refused, as is a new body while `MAX_WAITING_BODIES` wait or once it has waited for
`MAX_BODY_WAIT_S`. The answer of a back end waits until its request ends.
Purpose: a flood of large bodies delays others, but neither fills the memory nor keeps out small
requests, and no large one is passed over for good.
Logged as: `request_refused` (503), `memory_short`.
Tested by: tests/memory/test_waiting.py, test_room.py.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from crankseam.memory.budget import MemoryBudget, MemoryKind

SMALL_BYTES = 64 * 2**10
"""Size up to which a reservation may pass a larger one."""
MAX_PASSES = 16
"""Number of times that a waiting reservation may be passed. All that pass it take at most a
megabyte of the room that it waits for."""
MAX_WAITING_BODIES = 24
"""Number of new bodies that may wait. Each has some unread bytes in the buffer of its connection,
which are part of the base need of the process."""
MAX_BODY_WAIT_S = 0.5
"""Seconds after which a body is refused: its caller may find room at another process."""
RETRY_AFTER_NO_ROOM_S = 0.5
"""`Retry-After`, in seconds, of a body that found no room."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A reservation that waits for room.

    Attributes
    ==========

    size_bytes : number of bytes that it lacks.
    is_growth : whether it adds to a reservation that its holder already has.
    passes : number of times that a small reservation passed it.
    """

    size_bytes: int
    kind: MemoryKind
    is_growth: bool = False
    passes: int = 0


def _rank(waiter: Waiter) -> tuple[bool, bool]:
    return (waiter.kind is MemoryKind.BODY, not waiter.is_growth)


def in_order(waiters: Iterable[Waiter]) -> list[Waiter]:
    """Sort waiters, given in order of arrival, by the order in which they get room."""
    return sorted(waiters, key=_rank)


class Admission(NamedTuple):
    """The waiter that gets room, and those that it passes."""

    waiter: Waiter
    passed: list[Waiter]


def next_to_admit(waiters: Sequence[Waiter], budget: MemoryBudget) -> Admission | None:
    """Return who gets room now; None if there is room for none.

    Parameters
    ==========

    waiters : in order of arrival.
    """
    free_bytes = {kind: budget.free_bytes(kind) for kind in MemoryKind}
    if not any(waiter.size_bytes <= free_bytes[waiter.kind] for waiter in waiters):
        return None
    held_up: list[Waiter] = []
    for waiter in in_order(waiters):
        if waiter.size_bytes <= free_bytes[waiter.kind] and _may_pass(waiter, held_up):
            return Admission(waiter, held_up)
        held_up.append(waiter)
    return None


def _may_pass(waiter: Waiter, held_up: list[Waiter]) -> bool:
    if not held_up:
        return True
    if waiter.size_bytes > SMALL_BYTES:
        return False
    return all(passed.passes < MAX_PASSES for passed in held_up)


def is_refused_at_once(
    size_bytes: int, kind: MemoryKind, own_bytes: int, waiting_bodies: int, budget: MemoryBudget
) -> bool:
    """Whether a reservation that does not fit now need not wait.

    Parameters
    ==========

    own_bytes : what the same request holds already, and keeps while it waits.
    waiting_bodies : number of new bodies that wait already.
    """
    if size_bytes + own_bytes > budget.limit_bytes(kind):
        return True
    return kind is MemoryKind.BODY and not own_bytes and waiting_bodies >= MAX_WAITING_BODIES
