"""The store lease of a process: its duration, its renewal, and until when it counts as held.

Inputs: whether other processes rely on this one (it runs jobs, holds a duty, or answers readers);
the duration that the store granted, and when it was requested (seconds of the clock that includes
the time for which the machine was suspended).
Rule: a process on which no other process relies holds a long lease and renews it rarely. Before
other processes rely on it, it obtains a short lease. The holder counts the duration from the time
of its request, and regards the lease as lost a margin before the store can end it.
Purpose: other processes take over soon from a process that is gone, and never from one that still
acts; a long lease needs less than a fourth of the renewals of a short one.
Logged as: `lease_won`, `lease_lost`, `store_lost`, `store_regained`.
Tested by: tests/coordination/test_process_lease.py.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from crankseam import clocks
from crankseam.coordination.interface import CoordinationStore, LeaseExpired
from crankseam.errors import KeyValueError, KeyValueUnavailable

log = logging.getLogger(__name__)

LEASE_S = 1.8
"""Duration of a short lease: other processes take over this long after its last renewal."""
RENEW_S = 0.45
"""Renewal interval of a short lease; three renewals fit into its duration."""
RETRY_S = 0.15
"""Delay after a failed renewal of a short lease. A retry may reach the store through a peer; with a
delay of 0.45 s, a lease was lost while the store refused a third of the processes."""
IDLE_LEASE_S = 6.0
"""Duration of a long lease, to which only the announcement of this process is bound. No process
waits for its end: a caller that gets no answer from a process calls another one next."""
IDLE_RENEW_S = 2.0
"""Renewal interval of a long lease: two renewals fit into its duration, and a third one is due when
the store ends it. Compared with a renewal every 0.75 s, this saves nothing with nine processes, and
about 1,500 calls a day with 165 processes."""
DRIFT_MARGIN_S = 0.25
"""The holder regards the lease as lost this long before the store can end it, which allows for
clock drift."""


class ProcessLease:
    """Renews a lease, and replaces it when it has expired.

    After a replacement, the keys bound to the lease must be written again under the new one. A long
    lease that was replaced by a short one is left to expire.

    Parameters
    ==========

    clock : measures the duration of the lease; it must include the time for which the machine was
        suspended.

    Attributes
    ==========

    number : the number of the lease; 0 while there is none.
    """

    def __init__(
        self, store: CoordinationStore, clock: Callable[[], float] = clocks.boottime_s
    ) -> None:
        self._store = store
        self._clock = clock
        self.on_new: list[Callable[[int], None]] = []
        """Called with the number of each new lease; keys bound to the old one must be rewritten."""
        self.on_recovered: list[Callable[[], None]] = []
        """Called when a renewal succeeds after a failure."""
        self.reliance_checks: list[Callable[[], bool | int]] = []
        """Each tells whether other processes would have to wait for the end of the lease if this
        process failed."""
        self._failing = False
        self.is_ended = False
        """Whether the lease was ended by a planned stop, after which other processes take over."""
        self.number = 0
        self._is_short = False
        self._renewal_requested = asyncio.Event()
        self._held_until = float("-inf")
        self._renewal_lock = asyncio.Lock()

    def is_held(self) -> bool:
        """Whether the store cannot have ended the lease yet, by the clock of this process."""
        return self.number != 0 and self._clock() < self._held_until

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            if not self.is_ended:
                await self._renew_once()
            await self._wait_to_renew()

    async def _wait_to_renew(self) -> None:
        """Wait for the next renewal, or until a renewal is requested.

        A new short lease requests one, because its renewal interval is shorter.
        """
        self._renewal_requested.clear()
        try:
            async with asyncio.timeout(self._next_renewal_s()):
                await self._renewal_requested.wait()
        except TimeoutError:
            # The usual case: no earlier renewal was requested.
            return

    def _next_renewal_s(self) -> float:
        if not self._is_short:
            return IDLE_RENEW_S
        return RETRY_S if self._failing else RENEW_S

    async def _renew_once(self) -> None:
        try:
            async with self._renewal_lock:
                await self._renew_or_replace(self._is_relied_on())
        except KeyValueError as error:
            if not self._failing and not self.is_ended:
                log.warning("store_lost", extra={"error": type(error).__name__})
            self._failing = True
            return
        self._record_success()

    async def ensure(self) -> int:
        """Return the number of a short lease that is held; renew or obtain one if necessary.

        Raises
        ======

        KeyValueError : the store granted none.
        KeyValueUnavailable : the lease was ended by a planned stop.
        """
        if not self.is_held() or not self._is_short:
            async with self._renewal_lock:
                if not self.is_held() or not self._is_short:
                    await self._renew_or_replace(True)
        return self.number

    def request_renewal(self) -> None:
        """Request a renewal now, because the state of the lease is unknown after a suspension."""
        self._renewal_requested.set()

    def _is_relied_on(self) -> bool:
        return any(is_needed() for is_needed in self.reliance_checks)

    def mark_expired(self) -> None:
        """Discard the lease, because the store reported that it has expired."""
        self.number = 0
        self._held_until = float("-inf")

    async def _renew_or_replace(self, short: bool) -> None:
        """Renew the lease, or obtain one if there is none or if a short one is required instead."""
        if self.is_ended:
            raise KeyValueUnavailable("the lease was ended")
        requested_at = self._clock()
        if self.number == 0 or (short and not self._is_short):
            number, duration_s = await self._store.grant_lease(LEASE_S if short else IDLE_LEASE_S)
            self.number = number
            self._is_short = short
            self._held_until = float("-inf")
            if short:
                self._renewal_requested.set()
            self._extend_hold(requested_at, duration_s)
            log.info("lease_won", extra={"lease": number, "seconds": duration_s})
            for notify in self.on_new:
                notify(number)
            return
        try:
            duration_s = await self._store.renew_lease(self.number)
        except LeaseExpired:
            log.warning("lease_lost", extra={"lease": self.number})
            self.mark_expired()
            await self._renew_or_replace(short)
            return
        self._extend_hold(requested_at, duration_s)

    def _record_success(self) -> None:
        if self._failing:
            self._failing = False
            log.info("store_regained")
            for notify in self.on_recovered:
                notify()

    def _extend_hold(self, requested_at: float, duration_s: float) -> None:
        self._held_until = max(self._held_until, requested_at + duration_s - DRIFT_MARGIN_S)

    async def end(self) -> None:
        """End the lease at a planned stop; a failure only delays the takeover by other processes.

        No new lease is obtained afterwards: with one, this process would still count as live and
        would be given work that it cannot finish.
        """
        self.is_ended = True
        number, self.number = self.number, 0
        self._held_until = float("-inf")
        if number == 0:
            return
        try:
            await self._store.end_lease(number)
        except KeyValueError as error:
            log.warning("lease_not_ended", extra={"error": type(error).__name__})
