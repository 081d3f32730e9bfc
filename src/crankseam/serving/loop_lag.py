"""How late this process's event loop runs: the sign that its processor does not suffice.

Question: may this process be given a job that another one can run (`JobPlacement`)?
Rule: not while the smoothed lag of its timers is over `BEHIND_S`.
Shown by: the gauge `event_loop_lag_seconds`. Held by: tests/serving/test_loop_lag.py.
"""

from __future__ import annotations

import asyncio
import time

LOOK_S = 0.2
"""Seconds between two looks. Origin not recorded."""
DECAY = 0.7
"""Of the lag before, so much still counts at the next look: one late timer is no overload."""
BEHIND_S = 0.08
"""A process that is so many seconds late gets no work that others can do. Measured under late drop
orders, docs/incidents."""


class LoopLag:
    """Measured by timers that should fire at a known time.

    Attributes
    ==========

    smoothed_s : lag of the last looks.
    """

    def __init__(self) -> None:
        self.smoothed_s = 0.0

    def is_behind(self) -> bool:
        """Whether this process should take nothing more than it must."""
        return self.smoothed_s > BEHIND_S

    def take(self, lag_s: float) -> None:
        """Take the lag of one timer."""
        self.smoothed_s = DECAY * self.smoothed_s + (1.0 - DECAY) * max(0.0, lag_s)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = time.monotonic() + LOOK_S
            await asyncio.sleep(LOOK_S)
            self.take(time.monotonic() - due)
