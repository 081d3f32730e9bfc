"""Measures the lag of the event loop, which shows that a process is short of CPU time.

Inputs: the delay, in seconds, with which periodic timers of this process fire.
Rule: A process whose smoothed lag exceeds `OVERLOAD_LAG_S` is given no job that another process can
run (`JobPlacement`).
Purpose: Keeps optional work away from overloaded processes.
Logged as: no event; the lag is exported as the gauge `event_loop_lag_seconds`.
Tested by: tests/serving/test_loop_lag.py.
"""

from __future__ import annotations

import asyncio
import time

SAMPLE_INTERVAL_S = 0.2
"""Seconds between two measurements."""
DECAY = 0.7
"""Weight of the previous value in the exponential moving average of the lag. The lag is smoothed
because a single late timer does not indicate overload."""
OVERLOAD_LAG_S = 0.08
"""Smoothed lag, in seconds, above which a process gets no work that others can do. The value was
measured in incidents in which drop orders were executed late; see docs/incidents."""


class LoopLag:
    """Measures the lag of the event loop by timers whose expected firing time is known.

    Attributes
    ==========

    smoothed_s : exponential moving average of the lag, in seconds.
    """

    def __init__(self) -> None:
        self.smoothed_s = 0.0

    def is_overloaded(self) -> bool:
        """Whether this process is overloaded and should accept only mandatory work."""
        return self.smoothed_s > OVERLOAD_LAG_S

    def add_sample(self, lag_s: float) -> None:
        """Add the lag of one timer to the moving average."""
        self.smoothed_s = DECAY * self.smoothed_s + (1.0 - DECAY) * max(0.0, lag_s)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            expected_at = time.monotonic() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.add_sample(time.monotonic() - expected_at)
