"""One lease for this process: what hangs on it disappears soon after the process does."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from crankseam import clocks
from crankseam.coordination.interface import CoordinationStore, LeaseExpired
from crankseam.errors import KeyValueError, KeyValueUnavailable

log = logging.getLogger(__name__)

LEASE_SECONDS = 1.8
RENEW_SECONDS = 0.45
RETRY_SECONDS = 0.15
"""A short lease is tried again so soon after a failure: the way to the store may be another one."""
IDLE_LEASE_SECONDS = 6.0
"""Where nothing but this process's presence hangs on the lease. Nobody waits for its end: who asks
a process that is gone asks another one next."""
IDLE_RENEW_SECONDS = 2.0
"""Two renewals fit the time of an idle lease, and a third until the store takes it back."""
DRIFT_MARGIN_SECONDS = 0.25
"""The holder gives up this much earlier than the store takes back."""


class ProcessLease:
    """Keeps a lease alive; replaces it when it is over.

    An idle process holds a long lease, which is renewed seldom. Before others rely on it, it wins
    a short one, under which its presence is told anew; the long one runs out by itself.

    Args:
        clock: counts the time for which the store promised the lease.
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
            return

    def _next_renewal_s(self) -> float:
        if not self._is_short:
            return IDLE_RENEW_SECONDS
        return RETRY_SECONDS if self._failing else RENEW_SECONDS

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

        Raises:
            KeyValueError: the store did not give one.
            KeyValueUnavailable: none is won any more, since the planned end.
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
            seconds = LEASE_SECONDS if short else IDLE_LEASE_SECONDS
            number, duration = await self._store.grant_lease(seconds)
            self.number = number
            self._is_short = short
            self._held_until = float("-inf")
            if short:
                self._renew_now.set()
            self._hold(asked_at, duration)
            log.info("lease_won", extra={"lease": number, "seconds": duration})
            for notify in self.on_new:
                notify(number)
            return
        try:
            duration = await self._store.renew_lease(self.number)
        except LeaseExpired:
            log.warning("lease_lost", extra={"lease": self.number})
            self.forget()
            await self._renew_or_replace(short)
            return
        self._hold(asked_at, duration)

    def _answered(self) -> None:
        if self._failing:
            self._failing = False
            log.info("store_regained")
            for notify in self.on_recovered:
                notify()

    def _hold(self, asked_at: float, duration: float) -> None:
        self._held_until = max(self._held_until, asked_at + duration - DRIFT_MARGIN_SECONDS)

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
