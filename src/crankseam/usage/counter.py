"""Counts the requests of this process and sends the counts to the holder of the usage duty.

The counter owns this process's counts for windows that are not settled. It sends new counts within
moments rather than at the end of a window, so that few requests are lost if this process is killed.
It keeps sent counts until the holder confirms that their window is settled, and sends all of them
to each new holder, so that no counts are lost if a holder is killed.
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

BATCH_INTERVAL_S = 0.2
"""Shortest interval between two messages; requests that begin within it are sent together. Also
the interval at which an idle counter checks for a new holder."""
SEND_TIMEOUT_S = 1.0
"""Time within which the holder must answer; otherwise the counts are sent again."""
RETRY_BASE_S = 0.2
"""Upper bound of the random delay after the first failure, in addition to `BATCH_INTERVAL_S`; it
doubles with each further failure."""
RETRY_CAP_S = 1.0
"""Limit to which the upper bound of the delay grows."""
MAX_WINDOWS = 24
"""Number of windows that are kept while no holder settles them: two minutes of 5 s windows."""


class UsageCounter:
    """Counts requests by window and tenant, and sends the counts to the holder.

    Parameters
    ==========

    process : name of this process.
    find_holder : returns the process that is known to hold the duty and its fencing token, or None.
        A process that won the duty again under a new token may have lost the counts sent to it.
    ask : sends a message to a process and returns its answer.
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
        self._has_unsent = asyncio.Event()
        self._last_receiver: tuple[str, int] | None = None
        """Process and token of the holder that last accepted all counts."""

    def count(self, tenant: str, began_at: float) -> None:
        """Count a request of a tenant that began to run at this time of the monotonic clock.

        Requests without a tenant are not counted.
        """
        if not tenant:
            return
        counts = self._windows.setdefault(self._clock.window_of(began_at), {})
        counts[tenant] = counts.get(tenant, 0) + 1
        self._has_unsent.set()
        while len(self._windows) > MAX_WINDOWS:
            self._drop_window(min(self._windows))

    def _drop_window(self, window: int) -> None:
        requests = sum(self._windows.pop(window).values())
        cause = "no holder settled the window in time"
        log.error("usage_lost", extra={"window": window, "requests": requests, "cause": cause})

    def counts(self) -> UsageCounts:
        """Return the counts of all windows that are not known to be settled."""
        return UsageCounts(self._source, self._windows)

    async def run(self) -> None:
        """Send new counts to the holder until cancelled."""
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        while True:
            await self._wait_until_send_needed()
            holder = self._find_holder()
            if holder is not None and await self._send(holder[0]):
                backoff.reset()
                self._last_receiver = holder
                await asyncio.sleep(BATCH_INTERVAL_S)
            else:
                self._has_unsent.set()
                await asyncio.sleep(BATCH_INTERVAL_S + backoff.next_delay())

    async def flush(self) -> None:
        """Send the holder any unsent counts; called before a planned shutdown."""
        holder = self._find_holder()
        if self._has_unsent.is_set() and holder is not None:
            await self._send(holder[0])

    async def _wait_until_send_needed(self) -> None:
        """Wait until there are unsent counts, or a new holder that must receive the kept ones."""
        while not self._has_unsent.is_set():
            if self._windows and self._find_holder() not in (self._last_receiver, None):
                return
            try:
                async with asyncio.timeout(BATCH_INTERVAL_S):
                    await self._has_unsent.wait()
            except TimeoutError:
                # No new counts: check whether the holder has changed.
                continue

    async def _send(self, holder: str) -> bool:
        """Send all counts; return whether the holder accepted them."""
        self._has_unsent.clear()
        if not self._windows:
            return True
        try:
            raw = await self._ask(holder, msgspec.msgpack.encode(self.counts()), SEND_TIMEOUT_S)
            receipt = msgspec.msgpack.decode(raw, type=UsageReceipt)
        except (KeyValueError, msgspec.DecodeError) as error:
            reason = type(error).__name__
            log.warning("usage_not_told", extra={"peer": holder, "error": reason})
            return False
        if receipt.is_taken:
            self._delete_windows_before(receipt.next_window)
        return receipt.is_taken

    def _delete_windows_before(self, window: int) -> None:
        for settled in [one for one in self._windows if one < window]:
            del self._windows[settled]
