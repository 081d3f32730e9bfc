"""Leader election for a duty: which process holds it, and when that process may act.

Examples of duties: orders to samplers, usage reports, and orders for additional samplers.

Inputs: the two keys of the duty, from the local copy of the state prefix; the lease of this
process; how long the duty has been known to be vacant (seconds of the clock that includes the time
for which the machine was suspended).
Rule: the holder is the process that wrote the holder key under its own lease; the revision of the
key is the fencing token. The holder may act while it holds that lease. After a change of holder it
may act only once the handover pause of the deployment has passed since the key of the former
holder was removed. A token that was refused is not used again.
Purpose: two holders never act within one pause of each other, even if a process is suspended or
disconnected, and the target of an act can refuse an older token.
Logged as: `duty_won`, `duty_not_won`.
Tested by: tests/coordination/test_duty.py and tests/coordination/test_duty_machine.py.
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
from crankseam.coordination.ranking import attempt_delay_s, rank_processes
from crankseam.errors import CrankseamError, KeyValueError

log = logging.getLogger(__name__)

HANDOVER_MARGIN_S = 0.2
"""Safety margin that is added to the handover pause of the deployment."""
FORMER_HOLDER_FIRST_S = 0.4
"""Other processes wait this long before they try to acquire a vacant duty, because the last holder
can continue without a handover pause if it returns. Without this wait, no orders were given for 7 s
after all processes had been killed at once."""


class DutyFenced(CrankseamError):
    """The target has seen a higher fencing token, so this holder must stop acting."""


class DutyRefused(CrankseamError):
    """The target refused the act; nothing was done."""


class DutyUnanswered(CrankseamError):
    """No answer came: the act may have been done, or may still be done seconds later."""


class DutyHolder(NamedTuple):
    """The process that holds a duty, and its fencing token."""

    process: str
    fence: int


class Duty:
    """A duty that at most one process holds; read the fencing token right before each act.

    Parameters
    ==========

    state : follower of the prefix that contains the keys of the duty.
    process : name of this process.
    name : name of the duty; each duty has two keys of its own.
    handover_pause : minimum seconds between the last act of one holder and the first act of the
        next one.
    processes : returns the names of all live processes; if it is given, the processes try to
        acquire the duty in the order of their ranks.
    clock : measures the handover pause; it must include the time for which the machine was
        suspended.
    """

    def __init__(
        self,
        store: CoordinationStore,
        state: PrefixFollower,
        lease: ProcessLease,
        process: str,
        name: str,
        handover_pause: float,
        processes: Callable[[], list[str]] | None = None,
        clock: Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.name = name
        self._clock = clock
        self._processes = processes
        self._store = store
        self._state = state
        self._lease = lease
        self._process = process
        self._handover_pause_s = handover_pause + HANDOVER_MARGIN_S
        self.holder_key = f"{state.prefix}{name}/holder"
        """This key exists while a process holds the duty; its revision is the fencing token."""
        self._last_holder_key = f"{state.prefix}{name}/last"
        """This key names the last holder; it is bound to no lease, so it outlives the holder."""
        self._vacant_since: float | None = None
        self._held_revision = 0
        self._may_act_at = float("inf")
        self._refused_fence = 0

    # --- holder

    def _current_entry(self) -> Entry | None:
        return self._state.entries.get(self.holder_key)

    def _own_entry(self) -> Entry | None:
        """The holder entry if it names this process, under any lease."""
        current = self._current_entry()
        return current if current is not None and current.value == self._process.encode() else None

    def is_holder(self) -> bool:
        """Whether the local copy names this process as the holder, under any lease."""
        return self._own_entry() is not None

    def holder(self) -> DutyHolder | None:
        """The holder according to the local copy, and its token; None if there is no holder."""
        current = self._current_entry()
        return DutyHolder(current.value.decode(), current.revision) if current is not None else None

    def is_vacant(self) -> bool:
        """Whether the local copy shows no holder.

        Must be called often, because the first call that finds the duty vacant records the start
        of the vacancy.
        """
        vacant = self._state.synchronized and self._current_entry() is None
        if not vacant:
            self._vacant_since = None
        elif self._vacant_since is None:
            self._vacant_since = self._clock()
        return vacant

    def _is_held_under_former_lease(self) -> bool:
        """Whether the holder entry of this process is bound to an earlier lease.

        This happens after the lease was replaced or the process was restarted.
        """
        entry = self._own_entry()
        return entry is not None and entry.lease != self._lease.number

    # --- eligibility to acquire

    def may_acquire(self) -> bool:
        """Whether this process may try to acquire the duty now."""
        if not self._lease.is_held():
            return False
        if self._is_held_under_former_lease() or self._is_refused():
            return True
        if not self.is_vacant() or self._vacant_since is None:
            return False
        last = self._state.entries.get(self._last_holder_key)
        if last is None or last.value == self._process.encode():
            return True
        return self._clock() - self._vacant_since >= FORMER_HOLDER_FIRST_S

    # --- permission to act

    def refuse(self, fence: int) -> None:
        """Record that the target has seen a higher token: ``fence`` is not used again."""
        self._refused_fence = max(self._refused_fence, fence)

    def _is_refused(self) -> bool:
        """Whether this process holds the duty under a refused token and needs a new one."""
        entry = self._own_entry()
        return entry is not None and entry.revision <= self._refused_fence

    def fence(self) -> int | None:
        """The fencing token for an act right now; None if this process may not act."""
        entry = self._own_entry()
        if entry is None:
            return None
        if entry.lease != self._lease.number or not self._lease.is_held():
            return None
        if self._is_refused():
            return None
        if entry.revision != self._held_revision:
            # The transaction that acquired the duty was committed, but its answer was lost.
            self._record_acquisition(entry.revision, self._handover_pause_s)
        return entry.revision if self._clock() >= self._may_act_at else None

    def _record_acquisition(self, revision: int, pause_s: float) -> None:
        self._held_revision = revision
        self._may_act_at = self._clock() + pause_s
        log.info("duty_won", extra={"duty": self.name, "fence": revision, "pause": pause_s})

    # --- acquisition

    async def acquire_if_vacant(self) -> int | None:
        """Try to acquire the duty if it is vacant; return the fencing token as `fence` does.

        Must be called often, because it also records the start of a vacancy (see `is_vacant`).
        """
        self.is_vacant()
        if self.may_acquire():
            await asyncio.sleep(self._attempt_delay_s())
            await self.try_acquire()
        return self.fence()

    def _attempt_delay_s(self) -> float:
        """Seconds to wait so that the processes that rank before this one can try first."""
        if self._processes is None or self._own_entry() is not None:
            return 0.0
        return attempt_delay_s(rank_processes(self.name, self._processes()), self._process)

    async def try_acquire(self) -> None:
        """Try once to acquire the duty."""
        if not self.may_acquire():
            return
        try:
            lease = await self._lease.ensure()
        except KeyValueError as error:
            log.warning("duty_not_won", extra={"duty": self.name, "error": type(error).__name__})
            return
        if not self.may_acquire():
            return
        current, last = self._current_entry(), self._state.entries.get(self._last_holder_key)
        conditions = [
            Condition(self.holder_key, current.revision if current is not None else ABSENT),
            Condition(self._last_holder_key, last.revision if last is not None else ABSENT),
        ]
        name = self._process.encode()
        puts = [Put(self.holder_key, name, lease), Put(self._last_holder_key, name)]
        try:
            revision = await self._store.commit(Transaction(conditions, puts))
        except TransactionConflict:
            # Another process acquired the duty first; the follower will receive the new entry.
            return
        except KeyValueError as error:
            log.warning("duty_not_won", extra={"duty": self.name, "error": type(error).__name__})
            return
        is_handover = last is not None and last.value != name
        self._record_acquisition(
            revision, self._remaining_handover_pause_s() if is_handover else 0.0
        )

    def _remaining_handover_pause_s(self) -> float:
        """Seconds left of the handover pause.

        The pause counts from the start of the vacancy, because the former holder did not act after
        its key was removed.
        """
        if self._vacant_since is None:
            return self._handover_pause_s
        return max(0.0, self._handover_pause_s - (self._clock() - self._vacant_since))
