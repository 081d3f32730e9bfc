"""The right to give orders: a key under this process's lease, whose revision is the fence."""

from __future__ import annotations

import logging
import time

from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import (
    ABSENT,
    Condition,
    CoordinationStore,
    Entry,
    Put,
    Transaction,
    TransactionConflict,
)
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueError

log = logging.getLogger(__name__)

TURN_MARGIN_SECONDS = 0.2
FORMER_HOLDER_FIRST_SECONDS = 0.4
"""A former holder that is back needs no pause, so others leave the right to it for this long."""


class OrderHolder:
    """At most one process holds the right; it is proved before each order.

    Args:
        state: follows the prefix below which the two keys of the right stand.
        turn_pause: seconds between an order of one holder and the first of the next.
    """

    def __init__(
        self,
        store: CoordinationStore,
        state: PrefixFollower,
        lease: ProcessLease,
        process: str,
        turn_pause: float,
    ) -> None:
        self._store = store
        self._state = state
        self._lease = lease
        self._process = process
        self._turn_pause = turn_pause + TURN_MARGIN_SECONDS
        self._holder_key = state.prefix + "orders/holder"
        self._last_key = state.prefix + "orders/last"
        self._vacant_since: float | None = None
        self._held_revision = 0
        self._may_order_at = float("inf")
        self._refused_fence = 0

    def _current(self) -> Entry | None:
        return self._state.entries.get(self._holder_key)

    def _own(self) -> Entry | None:
        """The holder's key, if it names this process, under whichever lease."""
        current = self._current()
        return current if current is not None and current.value == self._process.encode() else None

    def is_holder(self) -> bool:
        """Whether this process is known to hold the right, under whichever lease."""
        return self._own() is not None

    def is_vacant(self) -> bool:
        """Whether nobody is known to hold the right. Must be called often: it dates the vacancy."""
        vacant = self._state.synchronized and self._current() is None
        if not vacant:
            self._vacant_since = None
        elif self._vacant_since is None:
            self._vacant_since = time.monotonic()
        return vacant

    def _is_own_earlier_life(self) -> bool:
        """Whether the right hangs on a lease that this process had before it started again."""
        entry = self._own()
        return entry is not None and entry.lease != self._lease.number

    def may_try(self) -> bool:
        """Whether it is this process's turn to try to become the holder."""
        if not self._lease.is_held():
            return False
        if self._is_own_earlier_life() or self._is_refused():
            return True
        if not self.is_vacant() or self._vacant_since is None:
            return False
        last = self._state.entries.get(self._last_key)
        if last is None or last.value == self._process.encode():
            return True
        return time.monotonic() - self._vacant_since >= FORMER_HOLDER_FIRST_SECONDS

    def refuse(self, fence: int) -> None:
        """A sampler has seen a higher token than this one: it is not used again."""
        self._refused_fence = max(self._refused_fence, fence)

    def _is_refused(self) -> bool:
        """Whether the right is held here under a token that was refused; a new one is needed."""
        entry = self._own()
        return entry is not None and entry.revision <= self._refused_fence

    def fence(self) -> int | None:
        """The token under which an order may be given right now; None if none may."""
        entry = self._own()
        if entry is None:
            return None
        if entry.lease != self._lease.number or not self._lease.is_held():
            return None
        if self._is_refused():
            return None
        if entry.revision != self._held_revision:
            # Won by a call whose answer was lost.
            self._won(entry.revision, self._turn_pause)
        return entry.revision if time.monotonic() >= self._may_order_at else None

    def _won(self, revision: int, pause: float) -> None:
        self._held_revision = revision
        self._may_order_at = time.monotonic() + pause
        log.info("orders_won", extra={"fence": revision, "pause": pause})

    async def try_acquire(self) -> None:
        """Try once to become the holder."""
        if not self.may_try():
            return
        try:
            lease = await self._lease.ensure()
        except KeyValueError as error:
            log.warning("orders_not_won", extra={"error": type(error).__name__})
            return
        if not self.may_try():
            return
        current, last = self._current(), self._state.entries.get(self._last_key)
        conditions = [
            Condition(self._holder_key, current.revision if current is not None else ABSENT),
            Condition(self._last_key, last.revision if last is not None else ABSENT),
        ]
        name = self._process.encode()
        puts = [Put(self._holder_key, name, lease), Put(self._last_key, name)]
        try:
            revision = await self._store.commit(Transaction(conditions, puts))
        except TransactionConflict:
            return
        except KeyValueError as error:
            log.warning("orders_not_won", extra={"error": type(error).__name__})
            return
        was_someone_else = last is not None and last.value != name
        self._won(revision, self._remaining_pause() if was_someone_else else 0.0)

    def _remaining_pause(self) -> float:
        """The former holder gave no order after its key was gone, which was seen a while ago."""
        if self._vacant_since is None:
            return self._turn_pause
        return max(0.0, self._turn_pause - (time.monotonic() - self._vacant_since))
