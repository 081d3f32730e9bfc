"""Event loop with a virtual clock, which jumps to the next timer once no callback is ready.

Tests on this loop do not depend on the load of the machine and spend no wall-clock time on timers.
The loop supports work inside one process only: no sockets, threads or subprocesses.
"""

import asyncio
import selectors

MIN_ADVANCE_S = 1e-6
"""Minimum advance of the clock per loop iteration.

Without a minimum, a timer that rounding leaves just ahead of the clock might never expire.
"""


class _ClockAdvancingSelector(selectors.SelectSelector):
    """Advances the virtual clock by the timeout instead of waiting for I/O."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("no callback is ready and no timer is set: the test would hang")
        self.now_s += max(timeout, MIN_ADVANCE_S)
        return []


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Runs callbacks in the order they were scheduled, and timers in the order they are due."""

    def __init__(self) -> None:
        self._clock_selector = _ClockAdvancingSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Virtual seconds since the loop was created."""
        return self._clock_selector.now_s
