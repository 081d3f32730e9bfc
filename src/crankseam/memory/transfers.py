"""The bodies that a process receives and the answers that it sends, with their progress."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from crankseam.memory.budget import MemoryKind


@dataclass(slots=True, eq=False)
class Transfer:
    """A body from, or an answer to, a caller.

    Attributes
    ==========

    request : id of the request; empty if the caller gave none.
    position : returns the number of bytes that the caller has sent or taken so far.
    total_bytes : size of the whole; 0 if unknown.
    abort : breaks off the connection.
    moved_at : time, in seconds of the monotonic clock, at which it was last seen to move.
    """

    request: str
    kind: MemoryKind
    position: Callable[[], int]
    total_bytes: int
    abort: Callable[[], None]
    moved_at: float
    seen_bytes: int = 0

    def observe(self, now: float) -> None:
        """Note whether it has moved since the previous observation."""
        position = self.position()
        if position != self.seen_bytes:
            self.seen_bytes = position
            self.moved_at = now

    def left_bytes(self) -> int:
        """Number of bytes that are still to be sent or received; 0 if unknown."""
        return max(0, self.total_bytes - self.position())


class Transfers:
    """The transfers in progress in one process.

    Parameters
    ==========

    clock : returns the time, in seconds of the monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._running: dict[int, Transfer] = {}

    @contextmanager
    def watched(
        self,
        request: str,
        kind: MemoryKind,
        position: Callable[[], int],
        total_bytes: int,
        abort: Callable[[], None],
    ) -> Iterator[None]:
        """Watch a transfer during a block; see `Transfer` for the parameters."""
        transfer = Transfer(request, kind, position, total_bytes, abort, self._clock())
        self._running[id(transfer)] = transfer
        try:
            yield
        finally:
            del self._running[id(transfer)]

    def observed(self, now: float) -> list[Transfer]:
        """Return all transfers, after noting which of them have moved."""
        for transfer in self._running.values():
            transfer.observe(now)
        return list(self._running.values())
