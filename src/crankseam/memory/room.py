"""The reservations that wait until the memory budget has room for them.

Holds the waiting tasks; `waiting` decides which of them gets room, and `budget` counts.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from crankseam.errors import CrankseamError
from crankseam.memory import waiting
from crankseam.memory.budget import MemoryBudget, MemoryKind, Reservation
from crankseam.memory.limits import MemoryLimits
from crankseam.memory.waiting import Waiter


class NoRoom(CrankseamError):
    """A reservation was refused, or waited in vain; it holds nothing more than before."""


@dataclass(frozen=True, slots=True, eq=False)
class _Pending:
    """A waiter, the reservation that it adds to, and the future that its task awaits."""

    waiter: Waiter
    reservation: Reservation
    granted: asyncio.Future[None]


class MemoryRoom:
    """The budget of one process together with the reservations that wait for room in it.

    Attributes
    ==========

    refused : number of reservations that were refused since the process started.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.budget = MemoryBudget(limits)
        self.budget.on_released = self._admit_waiting
        self.refused = 0
        self._pending: list[_Pending] = []

    @property
    def waiting(self) -> int:
        """Number of reservations that wait."""
        return len(self._pending)

    def largest_waiting_bytes(self) -> int:
        """Size of the largest reservation that waits; 0 if none does."""
        return max((pending.waiter.size_bytes for pending in self._pending), default=0)

    def is_short(self) -> bool:
        """Whether reservations wait, or soon will."""
        return bool(self._pending) or self.budget.is_short()

    async def reserve(
        self, size_bytes: int, kind: MemoryKind, own_bytes: int = 0, wait_s: float | None = None
    ) -> Reservation:
        """Reserve bytes, and wait for room if there is none.

        Parameters
        ==========

        own_bytes : what the same request holds already.
        wait_s : seconds after which the reservation is refused; None to wait until cancelled.

        Raises
        ======

        NoRoom
        """
        if not self._pending and size_bytes <= self.budget.free_bytes(kind):
            return self.budget.reserve(size_bytes, kind)
        reservation = self.budget.reserve(0, kind)
        await self._add(reservation, size_bytes, own_bytes, False, wait_s)
        return reservation

    def reserve_now(self, size_bytes: int, kind: MemoryKind) -> Reservation:
        """Reserve bytes if they fit and nobody waits who goes first; raises NoRoom."""
        reservation = self.budget.reserve(0, kind)
        self.grow_now(reservation, size_bytes)
        return reservation

    def grow_now(self, reservation: Reservation, size_bytes: int) -> None:
        """Enlarge a reservation likewise; raises NoRoom, and it is then unchanged."""
        by_bytes = max(0, size_bytes - reservation.size_bytes)
        if by_bytes > self.budget.free_bytes(reservation.kind) or self._goes_first(reservation):
            raise NoRoom
        reservation.grow(by_bytes)

    def _goes_first(self, reservation: Reservation) -> bool:
        """Whether a reservation waits that gets room before this one; answers go before bodies."""
        if reservation.kind is MemoryKind.BODY:
            return bool(self._pending)
        return any(pending.waiter.kind is MemoryKind.ANSWER for pending in self._pending)

    async def grow_to(
        self,
        reservation: Reservation,
        size_bytes: int,
        own_bytes: int = 0,
        wait_s: float | None = None,
    ) -> None:
        """Enlarge a reservation, ahead of new ones; raises NoRoom, and it is then unchanged."""
        by_bytes = size_bytes - reservation.size_bytes
        if by_bytes > 0:
            await self._add(reservation, by_bytes, own_bytes, True, wait_s)

    async def _add(
        self,
        reservation: Reservation,
        by_bytes: int,
        own_bytes: int,
        is_growth: bool,
        wait_s: float | None,
    ) -> None:
        kind = reservation.kind
        if not self._pending and by_bytes <= self.budget.free_bytes(kind):
            reservation.grow(by_bytes)
            return
        waiting_bodies = sum(1 for other in self._pending if _is_new_body(other.waiter))
        granted = asyncio.get_running_loop().create_future()
        pending = _Pending(Waiter(by_bytes, kind, is_growth), reservation, granted)
        self._pending.append(pending)
        self._admit_waiting()
        if granted.done():
            return
        if waiting.is_refused_at_once(by_bytes, kind, own_bytes, waiting_bodies, self.budget):
            self._pending.remove(pending)
            self._refuse()
        await self._wait(pending, wait_s)

    async def _wait(self, pending: _Pending, wait_s: float | None) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await pending.granted
        except TimeoutError:
            self._withdraw(pending)
            self._refuse()
        except asyncio.CancelledError:
            self._withdraw(pending)
            raise

    def _withdraw(self, pending: _Pending) -> None:
        """Undo a reservation whose task stopped waiting, even if it was granted just before."""
        if pending in self._pending:
            self._pending.remove(pending)
            self._admit_waiting()
            return
        reservation = pending.reservation
        reservation.shrink_to(reservation.size_bytes - pending.waiter.size_bytes)

    def _refuse(self) -> None:
        self.refused += 1
        raise NoRoom

    def _admit_waiting(self) -> None:
        while self._pending:
            admission = waiting.next_to_admit(
                [pending.waiter for pending in self._pending], self.budget
            )
            if admission is None:
                return
            for passed in admission.passed:
                passed.passes += 1
            pending = next(each for each in self._pending if each.waiter is admission.waiter)
            self._pending.remove(pending)
            pending.reservation.grow(admission.waiter.size_bytes)
            if not pending.granted.done():
                pending.granted.set_result(None)


def _is_new_body(waiter: Waiter) -> bool:
    return waiter.kind is MemoryKind.BODY and not waiter.is_growth
