"""What this process counted, and how it reaches the holder of the usage duty.

Owns this process's counts of windows that are not settled. It sends them to the holder moments
after it counted, not when a window ends: so a process that is killed takes little with it. It keeps
what it sent until the holder says that the window is settled, and sends all of it again to the next
holder: so a holder that is killed takes nothing with it.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable

import msgspec

from crankseam.backoff import Backoff
from crankseam.coordination.presence import ProcessRequester
from crankseam.errors import KeyValueError
from crankseam.usage.clock import TrueClock
from crankseam.usage.messages import TenantCounts, UsageCounts, UsageReceipt

log = logging.getLogger(__name__)

GATHER_S = 0.2
"""Requests that begin within so long are sent together; origin not recorded."""
ANSWER_S = 1.0
"""The holder takes counts within this, or they are sent again; origin not recorded."""
RETRY_BASE_S = 0.2
"""Longest pause after a first failure, beside GATHER_S; it doubles with each further one. Origin
not recorded."""
RETRY_CAP_S = 1.0
"""The most to which the pause grows; origin not recorded."""
MOST_WINDOWS = 24
"""Windows that are kept while nobody settles them: at 5 s each, two minutes. Origin of the figure
not recorded."""


class UsageCounter:
    """Counts requests by window and tenant, and sends the counts to the holder.

    Parameters
    ==========

    process : this process's name.
    find_holder : the process that is known to hold the duty, and its token: one that won it anew
        may have lost what it was sent.
    ask : sends bytes to another process.
    """

    def __init__(
        self,
        clock: TrueClock,
        process: str,
        find_holder: Callable[[], tuple[str, int] | None],
        ask: ProcessRequester,
    ) -> None:
        self._clock = clock
        self._find_holder = find_holder
        self._ask = ask
        self._source = f"{process}/{secrets.token_hex(4)}"
        self._windows: dict[int, TenantCounts] = {}
        self._changed = asyncio.Event()
        self._sent_to: tuple[str, int] | None = None
        """Who took all counts last."""

    def count(self, tenant: str, began_at: float) -> None:
        """A request of a tenant began to run at this time of the steady clock."""
        if not tenant:
            return
        counts = self._windows.setdefault(self._clock.window_of(began_at), {})
        counts[tenant] = counts.get(tenant, 0) + 1
        self._changed.set()
        while len(self._windows) > MOST_WINDOWS:
            self._drop(min(self._windows))

    def _drop(self, window: int) -> None:
        requests = sum(self._windows.pop(window).values())
        cause = "nobody settled its window"
        log.error("usage_lost", extra={"window": window, "requests": requests, "cause": cause})

    def counts(self) -> UsageCounts:
        """All that is kept."""
        return UsageCounts(self._source, self._windows)

    async def run(self) -> None:
        """Send the holder what is new until cancelled."""
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        while True:
            await self._wait_for_news()
            holder = self._find_holder()
            if holder is not None and await self._send(holder[0]):
                backoff.reset()
                self._sent_to = holder
                await asyncio.sleep(GATHER_S)
            else:
                self._changed.set()
                await asyncio.sleep(GATHER_S + backoff.next_delay())

    async def flush(self) -> None:
        """Before a planned end: send the holder what it does not have yet."""
        holder = self._find_holder()
        if self._changed.is_set() and holder is not None:
            await self._send(holder[0])

    async def _wait_for_news(self) -> None:
        """Return when something was counted, or when another process holds the duty."""
        while not self._changed.is_set():
            if self._windows and self._find_holder() not in (self._sent_to, None):
                return
            try:
                async with asyncio.timeout(GATHER_S):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing was counted: look whether the holder is another one.
                continue

    async def _send(self, holder: str) -> bool:
        """Whether the holder took all that was counted before."""
        self._changed.clear()
        if not self._windows:
            return True
        try:
            raw = await self._ask(holder, msgspec.msgpack.encode(self.counts()), ANSWER_S)
            receipt = msgspec.msgpack.decode(raw, type=UsageReceipt)
        except (KeyValueError, msgspec.DecodeError) as error:
            reason = type(error).__name__
            log.warning("usage_not_told", extra={"peer": holder, "error": reason})
            return False
        if receipt.is_taken:
            self._forget_before(receipt.next_window)
        return receipt.is_taken

    def _forget_before(self, window: int) -> None:
        for settled in [one for one in self._windows if one < window]:
            del self._windows[settled]
