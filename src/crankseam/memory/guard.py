"""Keeps a process within its memory budget: holds the budget and cuts off stalled callers.

One `MemoryGuard` belongs to a process, one `RequestMemory` to each request. A request returns all
its bytes when it ends, whatever ends it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager

from crankseam import clocks
from crankseam.memory.budget import MemoryKind, Reservation
from crankseam.memory.limits import MemoryLimits
from crankseam.memory.room import MemoryRoom
from crankseam.memory.stalled import CHECK_INTERVAL_S, longest_stalled
from crankseam.memory.transfers import Transfers

log = logging.getLogger(__name__)

SHORT_LOG_INTERVAL_S = 1.0
"""Seconds between two log lines that memory is short."""


class RequestMemory:
    """The reservations of one request.

    Attributes
    ==========

    request : id of the request; empty if the caller gave none.
    """

    def __init__(self, request: str, room: MemoryRoom, transfers: Transfers) -> None:
        self.request = request
        self._room = room
        self._transfers = transfers
        self._held: list[Reservation] = []

    def held_bytes(self) -> int:
        """Number of bytes that the request holds."""
        return sum(reservation.size_bytes for reservation in self._held)

    async def reserve(
        self, size_bytes: int, kind: MemoryKind, wait_s: float | None = None
    ) -> Reservation:
        """Reserve bytes for this request; see `MemoryRoom.reserve`."""
        own_bytes = self.held_bytes() if self._held else 0
        reservation = await self._room.reserve(size_bytes, kind, own_bytes, wait_s)
        self._held.append(reservation)
        return reservation

    def reserve_now(self, size_bytes: int, kind: MemoryKind) -> Reservation:
        """Reserve bytes for this request without waiting; see `MemoryRoom.reserve_now`."""
        reservation = self._room.reserve_now(size_bytes, kind)
        self._held.append(reservation)
        return reservation

    def grow_now(self, reservation: Reservation, size_bytes: int) -> None:
        """Enlarge a reservation without waiting; see `MemoryRoom.grow_now`."""
        self._room.grow_now(reservation, size_bytes)

    async def grow_to(
        self, reservation: Reservation, size_bytes: int, wait_s: float | None = None
    ) -> None:
        """Enlarge one of this request's reservations; see `MemoryRoom.grow_to`."""
        await self._room.grow_to(reservation, size_bytes, self.held_bytes(), wait_s)

    def reserve_available(self, size_bytes: int, kind: MemoryKind) -> Reservation:
        """Reserve as many bytes as there is room for, without waiting; the caller releases them.

        For bytes that are in memory already, which a refusal would not free.
        """
        free_bytes = self._room.budget.free_bytes(kind)
        return self._room.budget.reserve(min(size_bytes, max(0, free_bytes)), kind)

    def watched(
        self,
        kind: MemoryKind,
        position: Callable[[], int],
        total_bytes: int,
        abort: Callable[[], None],
    ) -> AbstractContextManager[None]:
        """Watch a transfer of this request during a block; see `Transfer`."""
        return self._transfers.watched(self.request, kind, position, total_bytes, abort)

    def release(self, kind: MemoryKind) -> None:
        """Return the bytes reserved for one kind."""
        for reservation in self._held:
            if reservation.kind is kind:
                reservation.release()

    def release_all(self) -> None:
        """Return all bytes."""
        for reservation in self._held:
            reservation.release()
        self._held.clear()


class MemoryGuard:
    """The memory budget of a process, and the task that cuts off stalled callers.

    Parameters
    ==========

    clock : returns the time, in seconds of the monotonic clock.
    """

    def __init__(
        self, limits: MemoryLimits, clock: Callable[[], float] = clocks.monotonic_s
    ) -> None:
        self.room = MemoryRoom(limits)
        self.transfers = Transfers(clock)
        self._clock = clock
        self._logged_at = -SHORT_LOG_INTERVAL_S
        self._logged_refused = 0

    @contextmanager
    def request(self, request: str) -> Iterator[RequestMemory]:
        """Provide the reservations of one request; all are released at the end of the block."""
        memory = RequestMemory(request, self.room, self.transfers)
        try:
            yield memory
        finally:
            memory.release_all()

    async def run(self) -> None:
        """Cut off stalled callers until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log whether memory is short, and cut off at most one caller."""
        now = self._clock()
        transfers = self.transfers.observed(now)
        is_short = self.room.is_short()
        if is_short or self.room.refused > self._logged_refused:
            self._log_short(now)
        stalled = longest_stalled(transfers, is_short, now)
        if stalled is None:
            return
        log.warning(
            "reader_cut_off",
            extra={
                "request": stalled.request,
                "kind": stalled.kind.value,
                "unsent_bytes": stalled.left_bytes(),
                "stalled_s": round(now - stalled.moved_at, 3),
            },
        )
        stalled.abort()

    def _log_short(self, now: float) -> None:
        if now - self._logged_at < SHORT_LOG_INTERVAL_S:
            return
        room = self.room
        log.warning(
            "memory_short",
            extra={
                "used_bytes": room.budget.used_bytes,
                "limit_bytes": room.budget.limits.total_bytes,
                "waiting": room.waiting,
                "largest_bytes": room.largest_waiting_bytes(),
                "refused": room.refused - self._logged_refused,
            },
        )
        self._logged_at = now
        self._logged_refused = room.refused
