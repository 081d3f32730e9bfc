"""Assignment of times to usage windows that is robust against jumps of the machine's time of day.

Inputs: the machine's time of day and a monotonic clock that also counts suspended time, both in
seconds.
Rule: the offset between the two clocks follows gradual drift. It follows a jump of the time of day
only if the new time persists for `JUMP_ACCEPTED_AFTER_S`.
Purpose: requests are counted in the window in which they began, even while the time of day is
temporarily wrong by several seconds.
Logged as: `clock_jumped`, `clock_believed`.
Tested by: tests/usage/test_clock.py.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from crankseam import clocks

log = logging.getLogger(__name__)

COMPARE_INTERVAL_S = 1.0
"""Interval between two comparisons of the clocks."""
JUMP_THRESHOLD_S = 0.25
"""A difference of at least this much between two comparisons means that the time of day was set:
the drift of a quartz clock is only about 0.1 ms per second."""
JUMP_ACCEPTED_AFTER_S = 60.0
"""A changed time of day that persists for this long is accepted as correct; the previous time is
then assumed to have been wrong."""


class TrueClock:
    """Time of day derived from a monotonic clock and corrected for drift.

    Explanation
    ===========

    A time of day that jumps by seconds is usually set back after a while. Until then, the offset
    between the monotonic clock and the time of day keeps its value from before the jump.

    Parameters
    ==========

    window_s : length of a window in seconds; window k begins at Unix time `k * window_s`.
    wall, monotonic : clocks, which tests replace.
    """

    def __init__(
        self,
        window_s: float,
        wall: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.window_s = window_s
        self._wall = wall
        self._monotonic = monotonic
        self._offset_s = wall() - monotonic()
        self._jumped_at: float | None = None

    def time_of(self, monotonic_time: float) -> float:
        """Return the Unix time that corresponds to a time of the monotonic clock."""
        return monotonic_time + self._offset_s

    def now(self) -> float:
        """Return the current Unix time."""
        return self.time_of(self._monotonic())

    def window_of(self, monotonic_time: float) -> int:
        """Return the window that contains a time of the monotonic clock."""
        return math.floor(self.time_of(monotonic_time) / self.window_s)

    def current_window(self) -> int:
        """Return the window that contains the current time."""
        return self.window_of(self._monotonic())

    def seconds_since_end(self, window: int) -> float:
        """Return the seconds since the end of a window; negative before its end."""
        return self.now() - (window + 1) * self.window_s

    def update_offset(self) -> None:
        """Compare the clocks and update the offset; must be called about once per second."""
        monotonic = self._monotonic()
        measured_offset_s = self._wall() - monotonic
        if abs(measured_offset_s - self._offset_s) < JUMP_THRESHOLD_S:
            self._offset_s = measured_offset_s
            self._jumped_at = None
            return
        if self._jumped_at is None:
            self._jumped_at = monotonic
            log.warning(
                "clock_jumped", extra={"by_s": round(measured_offset_s - self._offset_s, 3)}
            )
        elif monotonic - self._jumped_at >= JUMP_ACCEPTED_AFTER_S:
            log.warning(
                "clock_believed", extra={"by_s": round(measured_offset_s - self._offset_s, 3)}
            )
            self._offset_s = measured_offset_s
            self._jumped_at = None

    async def run(self) -> None:
        """Compare the clocks at regular intervals until cancelled."""
        while True:
            self.update_offset()
            await asyncio.sleep(COMPARE_INTERVAL_S)
