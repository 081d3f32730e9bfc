"""Detects that the machine was suspended, and refreshes stale state when it resumes.

Inputs: the two clocks of the process, in seconds (`clocks.boottime_s` counts the time for which the
machine is suspended, `clocks.monotonic_s` does not); the time as of which the configuration was
last known to be the newest.
Rule: After a suspension the process immediately repeats the requests for everything that it watches
and renews its lease. A request waits until the configuration is confirmed, for at most
`CONFIRMATION_TIMEOUT_S`. Leases and ages need no correction, since they include the suspended time.
Purpose: Keeps callers from being answered by state from before the suspension.
Logged as: `suspended`.
Tested by: tests/serving/test_suspension.py, tests/test_clocks.py.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from crankseam import clocks

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
"""Seconds between two background checks. In addition, every request makes a check."""
MIN_SUSPENSION_S = 0.1
"""Smallest growth of the difference between the clocks, in seconds, that indicates a suspension.
The clocks drift apart by this much between two checks only while the machine is suspended."""
CONFIRMATION_TIMEOUT_S = 0.3
"""Longest time, in seconds, for which a request waits for the first confirmation after a
suspension: ten times the response time of an available store. The wait is bounded because an
unavailable store must not stop the service."""
CONFIRMATION_POLL_S = 0.01
"""Seconds between two checks for the confirmation while a request waits."""


class SuspensionWatch:
    """Detects suspensions by comparing the two clocks.

    Parameters
    ==========

    confirmed_at : returns the time, in seconds of `clocks.boottime_s`, as of which the
        configuration is known to be the newest.

    Attributes
    ==========

    on_resume : callbacks that are invoked after each suspension.
    """

    def __init__(self, confirmed_at: Callable[[], float]) -> None:
        self._confirmed_at = confirmed_at
        self._offset_s = self._clock_offset_s()
        self._resumed_at = float("-inf")
        self.on_resume: list[Callable[[], None]] = []

    @staticmethod
    def _clock_offset_s() -> float:
        return clocks.boottime_s() - clocks.monotonic_s()

    def check(self) -> None:
        """Compare the clocks once, and invoke the callbacks if the machine was suspended."""
        offset_s = self._clock_offset_s()
        suspended_s, self._offset_s = offset_s - self._offset_s, offset_s
        if suspended_s < MIN_SUSPENSION_S:
            return
        self._resumed_at = clocks.boottime_s()
        log.warning("suspended", extra={"seconds": round(suspended_s, 3)})
        for notify in self.on_resume:
            notify()

    async def wait_until_confirmed(self) -> None:
        """Wait until the configuration is confirmed if the machine was suspended.

        Called before each request is served.
        """
        self.check()
        end = self._resumed_at + CONFIRMATION_TIMEOUT_S
        while not self._is_confirmed() and clocks.boottime_s() < end:  # noqa: ASYNC110 - time-bounded
            await asyncio.sleep(CONFIRMATION_POLL_S)

    def _is_confirmed(self) -> bool:
        return self._confirmed_at() >= self._resumed_at

    async def run(self) -> None:
        """Compare the clocks periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()
