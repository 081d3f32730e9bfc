"""An event loop on a clock of its own: a timer's time comes as soon as nothing else is left to do.

A test that runs on it is the same each time, whatever the machine does meanwhile, and waits for no
timer in wall time. It serves work within one process only: no sockets, threads or subprocesses.
"""

import asyncio
import selectors

TICK_S = 1e-6
"""Least time of one round of the loop: a wait that lacks a rounding error must come to its end."""


class _InstantSelector(selectors.SelectSelector):
    """Waits by moving the loop's clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("nothing is left to run, and no timer is set: the test would hang")
        self.now_s += max(timeout, TICK_S)
        return []


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Runs callbacks in their order, and timers in the order of their times."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        """Seconds since the loop was made, by its own clock."""
        return self._instant.now_s
