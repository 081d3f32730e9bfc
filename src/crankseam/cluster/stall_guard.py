"""May this process act on what it knows, or was it stopped for a while since it last heard?

Inputs: ticks of the event loop each `TICK_S` and when a question was asked that others answered
(seconds of the clock of promises, which also counts the time for which a machine was suspended).
Rule: a gap of more than `longest` between two ticks makes the view stale; it is fresh again once
others answered what was asked after the gap was seen.
Protects: back ends that left meanwhile, from work sent by a process that wakes in the middle of
whatever it did.
Shown by: the problem "this node was cut off or stopped". Held by: tests/cluster/test_membership.py,
tests/requests/test_app_requests.py.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from crankseam import clocks

TICK_S = 0.1
"""A fifth of the shortest stall that counts (`timing.longest_stall`, 0.5 s). Origin not
recorded."""


class StallGuard:
    """Fresh while the event loop runs on time; stale from a stall until the view is renewed.

    Parameters
    ==========

    longest : seconds without a tick above which it counts as a stall.
    """

    def __init__(self, longest: float, clock: Callable[[], float] = clocks.promised_s) -> None:
        self._longest = longest
        self._clock = clock
        self._ticked_at = clock()
        self._stalled = False
        self._stall_seen_at = float("-inf")

    def tick(self) -> None:
        """Must be called every TICK_S."""
        self._look()
        self._ticked_at = self._clock()

    def _look(self) -> None:
        now = self._clock()
        if now - self._ticked_at > self._longest:
            self._stalled = True
            self._stall_seen_at = now

    def is_fresh(self) -> bool:
        """Whether this process may act on what it knows. Also sees a stall that ended just now."""
        self._look()
        return not self._stalled

    def view_renewed(self, asked_at: float) -> None:
        """Others answered what was asked at `asked_at`; that must be after the stall ended."""
        self._look()
        if asked_at > self._stall_seen_at:
            self._stalled = False

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()
