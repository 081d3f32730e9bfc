"""Accounting of the bytes that bodies and answers hold in a process.

`MemoryBudget` knows sizes only: who waits for room is decided by `waiting`, and `room` holds those
that wait. Every reservation is released exactly once, however often `release` is called.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from types import TracebackType
from typing import Self

from crankseam.errors import CrankseamError
from crankseam.memory.limits import MemoryLimits

SHORT_FRACTION = 0.125
"""The budget is short once less than this fraction of it is free."""


class MemoryKind(enum.StrEnum):
    """What a reservation is for."""

    BODY = "body"
    """The body of a request, which may still be refused."""
    ANSWER = "answer"
    """An answer on its way to a caller; its request may have run."""


class BudgetFull(CrankseamError):
    """The budget has no room for a reservation now."""


class Reservation:
    """Bytes that one holder has reserved; a context manager that releases them.

    Attributes
    ==========

    size_bytes : number of bytes reserved at present.
    """

    __slots__ = ("_budget", "kind", "size_bytes")

    def __init__(self, budget: MemoryBudget, kind: MemoryKind, size_bytes: int) -> None:
        self._budget = budget
        self.kind = kind
        self.size_bytes = size_bytes

    def grow(self, by_bytes: int) -> None:
        """Reserve more bytes; raises BudgetFull, and is then unchanged."""
        self._budget.take(by_bytes, self.kind)
        self.size_bytes += by_bytes

    def shrink_to(self, size_bytes: int) -> None:
        """Return the bytes above `size_bytes`; without effect if there are none."""
        returned_bytes = self.size_bytes - max(0, size_bytes)
        if returned_bytes <= 0:
            return
        self.size_bytes -= returned_bytes
        self._budget.give_back(returned_bytes, self.kind)

    def release(self) -> None:
        """Return all bytes."""
        self.shrink_to(0)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()


class MemoryBudget:
    """Number of bytes reserved for bodies and answers, within the limits of the process.

    Attributes
    ==========

    used_bytes : number of bytes reserved.
    on_released : invoked after bytes were returned.

    Examples
    ========

    >>> from crankseam.memory.limits import MemoryLimits
    >>> budget = MemoryBudget(MemoryLimits(total_bytes=100, body_bytes=60))
    >>> with budget.reserve(50, MemoryKind.BODY):
    ...     budget.free_bytes(MemoryKind.BODY), budget.free_bytes(MemoryKind.ANSWER)
    (10, 50)
    >>> budget.used_bytes
    0
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        self.on_released: Callable[[], None] = lambda: None
        self.used_bytes = 0
        self._body_bytes = 0

    def limit_bytes(self, kind: MemoryKind) -> int:
        """Number of bytes that reservations of a kind may have in an empty budget."""
        return self.limits.body_bytes if kind is MemoryKind.BODY else self.limits.total_bytes

    def free_bytes(self, kind: MemoryKind) -> int:
        """Number of bytes that one more reservation of a kind may have now."""
        free = self.limits.total_bytes - self.used_bytes
        if kind is MemoryKind.BODY:
            return min(free, self.limits.body_bytes - self._body_bytes)
        return free

    def is_short(self) -> bool:
        """Whether little of the budget is free for answers, or for bodies."""
        for kind in MemoryKind:
            if self.free_bytes(kind) < self.limit_bytes(kind) * SHORT_FRACTION:
                return True
        return False

    def reserve(self, size_bytes: int, kind: MemoryKind) -> Reservation:
        """Reserve bytes; raises BudgetFull."""
        self.take(size_bytes, kind)
        return Reservation(self, kind, size_bytes)

    def take(self, size_bytes: int, kind: MemoryKind) -> None:
        """Count bytes as used, on behalf of a reservation; raises BudgetFull."""
        if size_bytes < 0:
            raise ValueError("a size is never negative")
        if size_bytes > self.free_bytes(kind):
            raise BudgetFull
        self._count(size_bytes, kind)

    def give_back(self, size_bytes: int, kind: MemoryKind) -> None:
        """Count bytes as free again, on behalf of a reservation."""
        self._count(-size_bytes, kind)
        self.on_released()

    def _count(self, by_bytes: int, kind: MemoryKind) -> None:
        self.used_bytes += by_bytes
        if kind is MemoryKind.BODY:
            self._body_bytes += by_bytes
