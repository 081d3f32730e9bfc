"""How long does the store keep what a process holds, once the store does not hear from it?

Inputs: whether others rely on this process (it runs jobs, holds a duty, answers readers); the
duration that the store promised and when it was asked for (seconds, suspended time counted).
Rule: a process on which nobody relies holds a long lease and renews it seldom; before others rely
on it, it wins a short one. The holder counts from the moment at which it asked, and gives up a
margin before the store can take the lease back.
Protects: others take over soon from a process that is gone, and never from one that still acts; a
long lease costs less than a fourth of the renewals.
Shown by: `lease_won`, `lease_lost`, `store_lost`, `store_regained`. Held by:
tests/coordination/test_process_lease.py.
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
"""The short lease: others take over so long after a process was heard last; origin not recorded."""
RENEW_S = 0.45
"""A short lease is renewed so often: three renewals fit its time; origin not recorded."""
RETRY_S = 0.15
"""A short lease is tried again so soon after a failure: the way to the store may be another one.
Tried each 0.45 s, a lease was lost on a day on which the store refused a third of the processes."""
IDLE_LEASE_S = 6.0
"""The long lease, where nothing but this process's presence hangs on it. Nobody waits for its end:
who asks a process that is gone asks another one next. Origin of the figure not recorded."""
IDLE_RENEW_S = 2.0
"""Two renewals fit the time of an idle lease, and a third until the store takes it back. No fewer
calls at nine processes; one renewal in 0.75 s cost some 1,500 calls a day at 165."""
DRIFT_MARGIN_S = 0.25
"""The holder gives up this much earlier than the store takes back; origin not recorded."""


class ProcessLease:
    """Keeps a lease alive; replaces it when it is over.

    What hangs on the lease is announced anew under a new one; a long one that a short one replaced
    runs out by itself.

    Parameters
    ==========

    clock : counts the time for which the store promised the lease.

    Attributes
    ==========

    number : the lease's; 0 while there is none.
    """

    def __init__(
        self, store: CoordinationStore, clock: Callable[[], float] = clocks.promised_s
    ) -> None:
        self._store = store
        self._clock = clock
        self.on_new: list[Callable[[int], None]] = []
        """Called with the number of each new lease, when the keys of the old one are gone."""
        self.on_recovered: list[Callable[[], None]] = []
        """Called when the store answers again after a failure."""
        self.relied_on: list[Callable[[], bool | int]] = []
        """Say whether something hangs on the lease that others wait for when it is lost."""
        self._failing = False
        self.is_ended = False
        """Set by a planned end: what hangs on the lease is for other processes from then on."""
        self.number = 0
        self._is_short = False
        self._renew_now = asyncio.Event()
        self._held_until = float("-inf")
        self._renewing = asyncio.Lock()

    def is_held(self) -> bool:
        """Whether the store cannot have taken the lease back yet, by this process's clock."""
        return self.number != 0 and self._clock() < self._held_until

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            if not self.is_ended:
                await self._renew_once()
            await self._wait_to_renew()

    async def _wait_to_renew(self) -> None:
        """Wait for the next renewal; a short lease that is won meanwhile has its own times."""
        self._renew_now.clear()
        try:
            async with asyncio.timeout(self._next_renewal_s()):
                await self._renew_now.wait()
        except TimeoutError:
            # The usual case: nothing asked for an earlier renewal.
            return

    def _next_renewal_s(self) -> float:
        if not self._is_short:
            return IDLE_RENEW_S
        return RETRY_S if self._failing else RENEW_S

    async def _renew_once(self) -> None:
        try:
            async with self._renewing:
                await self._renew_or_replace(self._is_relied_on())
        except KeyValueError as error:
            if not self._failing and not self.is_ended:
                log.warning("store_lost", extra={"error": type(error).__name__})
            self._failing = True
            return
        self._answered()

    async def ensure(self) -> int:
        """The number of a short lease that is held, renewed or won anew if need be.

        Raises
        ======

        KeyValueError : the store did not give one.
        KeyValueUnavailable : none is won any more, since the planned end.
        """
        if not self.is_held() or not self._is_short:
            async with self._renewing:
                if not self.is_held() or not self._is_short:
                    await self._renew_or_replace(True)
        return self.number

    def renew_soon(self) -> None:
        """Renew now: the machine was suspended, and nothing is known of the lease."""
        self._renew_now.set()

    def _is_relied_on(self) -> bool:
        return any(says() for says in self.relied_on)

    def forget(self) -> None:
        """The store said that the lease is over."""
        self.number = 0
        self._held_until = float("-inf")

    async def _renew_or_replace(self, short: bool) -> None:
        """Renew the lease; win one if there is none, or if it must be short and is not."""
        if self.is_ended:
            raise KeyValueUnavailable("the lease was ended")
        asked_at = self._clock()
        if self.number == 0 or (short and not self._is_short):
            number, duration_s = await self._store.grant_lease(LEASE_S if short else IDLE_LEASE_S)
            self.number = number
            self._is_short = short
            self._held_until = float("-inf")
            if short:
                self._renew_now.set()
            self._hold(asked_at, duration_s)
            log.info("lease_won", extra={"lease": number, "seconds": duration_s})
            for notify in self.on_new:
                notify(number)
            return
        try:
            duration_s = await self._store.renew_lease(self.number)
        except LeaseExpired:
            log.warning("lease_lost", extra={"lease": self.number})
            self.forget()
            await self._renew_or_replace(short)
            return
        self._hold(asked_at, duration_s)

    def _answered(self) -> None:
        if self._failing:
            self._failing = False
            log.info("store_regained")
            for notify in self.on_recovered:
                notify()

    def _hold(self, asked_at: float, duration_s: float) -> None:
        self._held_until = max(self._held_until, asked_at + duration_s - DRIFT_MARGIN_S)

    async def end(self) -> None:
        """Give the lease back at a planned stop; a failure only delays the others.

        No new one is won: this process would seem to live on, and be handed what it can't finish.
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
