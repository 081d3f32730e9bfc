"""What does a process do first after its machine was suspended?

Inputs: the two clocks of the process (seconds), which drift apart by the time for which the machine
was suspended; since when the configuration is known to be the newest.
Rule: it asks anew at once for all that it follows and renews its lease; a request waits until the
configuration is confirmed, or for SETTLE_S. Leases and ages count the suspended time anyway.
Protects: callers from answers by what was known before the suspension.
Shown by: `suspended`. Held by: tests/serving/test_suspension.py, tests/test_clocks.py.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from crankseam import clocks

log = logging.getLogger(__name__)

LOOK_S = 0.1
"""Seconds between two looks in the background; each request looks too. Origin not recorded."""
SUSPENDED_S = 0.1
"""Seconds by which the clocks drift apart only while the machine is suspended. A choice."""
SETTLE_S = 0.3
"""Requests wait so long at most for the first confirmation after a suspension: ten times what a
store takes that answers. One that is away must not stop the service."""
SETTLE_LOOK_S = 0.01
"""Seconds between two looks of a request that waits. Origin not recorded."""


class SuspensionWatch:
    """Compares the clocks.

    Parameters
    ==========

    confirmed_at : time of promises as of which the configuration is known to be the newest.
    """

    def __init__(self, confirmed_at: Callable[[], float]) -> None:
        self._confirmed_at = confirmed_at
        self._apart_s = self._measure()
        self._woken_at = float("-inf")
        self.on_woken: list[Callable[[], None]] = []

    @staticmethod
    def _measure() -> float:
        return clocks.promised_s() - clocks.paced_s()

    def look(self) -> None:
        """Compare them once."""
        apart_s = self._measure()
        grown_s, self._apart_s = apart_s - self._apart_s, apart_s
        if grown_s < SUSPENDED_S:
            return
        self._woken_at = clocks.promised_s()
        log.warning("suspended", extra={"seconds": round(grown_s, 3)})
        for notify in self.on_woken:
            notify()

    async def settle(self) -> None:
        """Before a request: after a suspension, wait until the configuration is confirmed."""
        self.look()
        end = self._woken_at + SETTLE_S
        while not self._is_confirmed() and clocks.promised_s() < end:  # noqa: ASYNC110 - time decides
            await asyncio.sleep(SETTLE_LOOK_S)

    def _is_confirmed(self) -> bool:
        return self._confirmed_at() >= self._woken_at

    async def run(self) -> None:
        """Compare them until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            self.look()
