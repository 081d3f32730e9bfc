"""Which window of usage is it, when the machine's time of day jumps?

Inputs: the machine's time of day, and the clock that counts suspended time, both in seconds.
Rule: the offset between the two follows small differences. A jump is not followed, unless the new
time stays for a long while.
Protects: requests are counted in the window in which they began, also while a clock is set wrong by
seconds and back again.
Shown by: `clock_jumped`, `clock_believed`. Held by: tests/usage/test_clock.py.
"""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from crankseam import clocks

log = logging.getLogger(__name__)

LOOK_S = 1.0
"""The clocks are compared so often; origin not recorded."""
JUMP_S = 0.25
"""A clock that moves this much against the steady one within a second is set, not drifting: a
quartz drifts by 0.1 ms a second."""
BELIEVED_AFTER_S = 60.0
"""A new time of day that stays for so long is the true one: it was the old one that was wrong.
Origin of the figure not recorded."""


class TrueClock:
    """The time of day by the steady clock, corrected as the machine's clock drifts.

    Explanation
    ===========

    A clock that jumps by seconds comes back after a while. Meanwhile the offset between the steady
    clock and the time of day stays what it was before the jump.

    Parameters
    ==========

    window_s : length of a window; window k begins k times this after the start of 1970.
    wall, steady : for tests.
    """

    def __init__(
        self,
        window_s: float,
        wall: Callable[[], float] = time.time,
        steady: Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.window_s = window_s
        self._wall = wall
        self._steady = steady
        self._offset_s = wall() - steady()
        self._jumped_at: float | None = None

    def time_of(self, steady_time: float) -> float:
        """Seconds since the start of 1970 at a time of the steady clock."""
        return steady_time + self._offset_s

    def now(self) -> float:
        """Seconds since the start of 1970."""
        return self.time_of(self._steady())

    def window_of(self, steady_time: float) -> int:
        """The window that holds a time of the steady clock."""
        return math.floor(self.time_of(steady_time) / self.window_s)

    def current_window(self) -> int:
        """The window that holds this moment."""
        return self.window_of(self._steady())

    def since_end_of(self, window: int) -> float:
        """Seconds since a window ended; negative before that."""
        return self.now() - (window + 1) * self.window_s

    def look(self) -> None:
        """Compare the two clocks. Must be called about each second."""
        steady = self._steady()
        seen_s = self._wall() - steady
        if abs(seen_s - self._offset_s) < JUMP_S:
            self._offset_s = seen_s
            self._jumped_at = None
            return
        if self._jumped_at is None:
            self._jumped_at = steady
            log.warning("clock_jumped", extra={"by_s": round(seen_s - self._offset_s, 3)})
        elif steady - self._jumped_at >= BELIEVED_AFTER_S:
            log.warning("clock_believed", extra={"by_s": round(seen_s - self._offset_s, 3)})
            self._offset_s = seen_s
            self._jumped_at = None

    async def run(self) -> None:
        """Compare the clocks until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)
