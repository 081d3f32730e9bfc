"""Who holds a duty, and when may it act: orders to samplers, usage reports, orders of samplers.

Inputs: the duty's two keys, as the follower of states knows them; this process's lease; the time
for which nobody has been known to hold the duty (seconds of the clock that counts suspended time).
Rule: the holder is who wrote the duty's key under its lease; the key's revision is its token. It
may act while its lease is held, and after a change of holder only once the deployment's pause has
passed since the former one's key was gone. A token that was refused is not used again.
Protects: two holders never act within the pause of each other, whoever is suspended or cut off;
whoever is acted upon can refuse an older token.
Shown by: `duty_won`, `duty_not_won`. Held by: tests/coordination/test_duty.py and
tests/coordination/test_duty_machine.py.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from crankseam import clocks
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
from crankseam.coordination.ranking import rank_processes, turn_delay_s
from crankseam.errors import CrankseamError, KeyValueError

log = logging.getLogger(__name__)

TURN_MARGIN_S = 0.2
"""Added to the deployment's pause between two holders; origin not recorded."""
FORMER_HOLDER_FIRST_S = 0.4
"""A former holder that is back needs no pause, so others leave the duty to it for this long. With
all processes killed at once, nobody gave orders for 7 s without it; origin of the figure not
recorded."""


class DutyFenced(CrankseamError):
    """Whoever is acted upon has seen a higher token: this holder must stop."""


class DutyRefused(CrankseamError):
    """Nothing was done."""


class DutyUnanswered(CrankseamError):
    """It may have been done, or may be done seconds later."""


class Holding(NamedTuple):
    """Which process holds a duty, and its token."""

    process: str
    fence: int


class Duty:
    """At most one process holds the duty; ask for the token right before each act.

    Parameters
    ==========

    state : follows the prefix below which the keys stand.
    process : this process's name.
    name : what the duty is; each has two keys of its own.
    turn_pause : seconds between an act of one holder and the first of the next.
    processes : names of all living processes; where given, they try in the order of their ranks.
    clock : counts the pauses that others rely on.
    """

    def __init__(
        self,
        store: CoordinationStore,
        state: PrefixFollower,
        lease: ProcessLease,
        process: str,
        name: str,
        turn_pause: float,
        processes: Callable[[], list[str]] | None = None,
        clock: Callable[[], float] = clocks.promised_s,
    ) -> None:
        self.name = name
        self._clock = clock
        self._processes = processes
        self._store = store
        self._state = state
        self._lease = lease
        self._process = process
        self._turn_pause_s = turn_pause + TURN_MARGIN_S
        self.holder_key = f"{state.prefix}{name}/holder"
        """This key stands while somebody holds the duty; its revision is the fence."""
        self._last_key = f"{state.prefix}{name}/last"
        """This key names the last holder; it outlives its lease."""
        self._vacant_since: float | None = None
        self._held_revision = 0
        self._may_act_at = float("inf")
        self._refused_fence = 0

    # --- who holds it

    def _current(self) -> Entry | None:
        return self._state.entries.get(self.holder_key)

    def _own(self) -> Entry | None:
        """The holder's key, if it names this process, under whichever lease."""
        current = self._current()
        return current if current is not None and current.value == self._process.encode() else None

    def is_holder(self) -> bool:
        """Whether this process is known to hold the duty, under whichever lease."""
        return self._own() is not None

    def holder(self) -> Holding | None:
        """The process that is known to hold the duty, and its token."""
        current = self._current()
        return Holding(current.value.decode(), current.revision) if current is not None else None

    def is_vacant(self) -> bool:
        """Whether nobody is known to hold the duty. Must be called often: it dates the vacancy."""
        vacant = self._state.synchronized and self._current() is None
        if not vacant:
            self._vacant_since = None
        elif self._vacant_since is None:
            self._vacant_since = self._clock()
        return vacant

    def _is_under_former_lease(self) -> bool:
        """Whether this process holds it under a lease that it had before, or before it started."""
        entry = self._own()
        return entry is not None and entry.lease != self._lease.number

    # --- who may try

    def may_try(self) -> bool:
        """Whether it is this process's turn to try to become the holder."""
        if not self._lease.is_held():
            return False
        if self._is_under_former_lease() or self._is_refused():
            return True
        if not self.is_vacant() or self._vacant_since is None:
            return False
        last = self._state.entries.get(self._last_key)
        if last is None or last.value == self._process.encode():
            return True
        return self._clock() - self._vacant_since >= FORMER_HOLDER_FIRST_S

    # --- who may act

    def refuse(self, fence: int) -> None:
        """Whoever is acted upon has seen a higher token than this one: it is not used again."""
        self._refused_fence = max(self._refused_fence, fence)

    def _is_refused(self) -> bool:
        """Whether the duty is held here under a token that was refused; a new one is needed."""
        entry = self._own()
        return entry is not None and entry.revision <= self._refused_fence

    def fence(self) -> int | None:
        """The token under which to act right now; None if this process may not."""
        entry = self._own()
        if entry is None:
            return None
        if entry.lease != self._lease.number or not self._lease.is_held():
            return None
        if self._is_refused():
            return None
        if entry.revision != self._held_revision:
            # Won by a call whose answer was lost.
            self._won(entry.revision, self._turn_pause_s)
        return entry.revision if self._clock() >= self._may_act_at else None

    def _won(self, revision: int, pause_s: float) -> None:
        self._held_revision = revision
        self._may_act_at = self._clock() + pause_s
        log.info("duty_won", extra={"duty": self.name, "fence": revision, "pause": pause_s})

    # --- trying

    async def take_turn(self) -> int | None:
        """Try to become the holder if nobody is; the token under which to act now, if any.

        Must be called often: it dates the vacancy.
        """
        self.is_vacant()
        if self.may_try():
            await asyncio.sleep(self._delay_s())
            await self.try_acquire()
        return self.fence()

    def _delay_s(self) -> float:
        """How long this process leaves the duty to those that rank before it."""
        if self._processes is None or self._own() is not None:
            return 0.0
        return turn_delay_s(rank_processes(self.name, self._processes()), self._process)

    async def try_acquire(self) -> None:
        """Try once to become the holder."""
        if not self.may_try():
            return
        try:
            lease = await self._lease.ensure()
        except KeyValueError as error:
            log.warning("duty_not_won", extra={"duty": self.name, "error": type(error).__name__})
            return
        if not self.may_try():
            return
        current, last = self._current(), self._state.entries.get(self._last_key)
        conditions = [
            Condition(self.holder_key, current.revision if current is not None else ABSENT),
            Condition(self._last_key, last.revision if last is not None else ABSENT),
        ]
        name = self._process.encode()
        puts = [Put(self.holder_key, name, lease), Put(self._last_key, name)]
        try:
            revision = await self._store.commit(Transaction(conditions, puts))
        except TransactionConflict:
            # Another process was faster; the follower will tell which.
            return
        except KeyValueError as error:
            log.warning("duty_not_won", extra={"duty": self.name, "error": type(error).__name__})
            return
        was_someone_else = last is not None and last.value != name
        self._won(revision, self._remaining_pause() if was_someone_else else 0.0)

    def _remaining_pause(self) -> float:
        """Seconds left of the pause: the former holder did not act after its key was gone."""
        if self._vacant_since is None:
            return self._turn_pause_s
        return max(0.0, self._turn_pause_s - (self._clock() - self._vacant_since))
