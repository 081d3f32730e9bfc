"""Stall guard: decides whether this process may act on its view of the cluster.

Inputs: ticks of the event loop every `TICK_S`, and the time at which a request was sent that other
nodes answered (seconds of `clocks.boottime_s`, which also counts the time for which the machine was
suspended).
Rule: a gap of more than `max_tick_gap` between two ticks makes the view stale. The view is fresh
again once other nodes answered a request that was sent after the gap was detected.
Purpose: a process that resumes in the middle of an operation sends no work to back ends that left
while it was stopped.
Logged as: the problem "this node was cut off or stopped".
Tested by: tests/cluster/test_membership.py, tests/requests/test_app_requests.py.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from crankseam import clocks

TICK_S = 0.1
"""A fifth of the gap above which the view becomes stale (`timing.longest_stall`, 0.5 s)."""


class StallGuard:
    """Tracks whether the view is fresh: it is stale from a stall until it is renewed.

    Parameters
    ==========

    max_tick_gap : seconds without a tick above which the event loop counts as stalled.
    """

    def __init__(self, max_tick_gap: float, clock: Callable[[], float] = clocks.boottime_s) -> None:
        self._max_tick_gap = max_tick_gap
        self._clock = clock
        self._last_tick_at = clock()
        self._stalled = False
        self._stall_detected_at = float("-inf")

    def tick(self) -> None:
        """Record that the event loop is running; must be called every `TICK_S`."""
        self._detect_stall()
        self._last_tick_at = self._clock()

    def _detect_stall(self) -> None:
        now = self._clock()
        if now - self._last_tick_at > self._max_tick_gap:
            self._stalled = True
            self._stall_detected_at = now

    def is_fresh(self) -> bool:
        """Whether this process may act on its view.

        Also detects a stall that ended just now, before the next tick.
        """
        self._detect_stall()
        return not self._stalled

    def record_response(self, asked_at: float) -> None:
        """Record that other nodes answered a request that was sent at `asked_at`.

        The view becomes fresh only if the request was sent after the stall was detected.
        """
        self._detect_stall()
        if asked_at > self._stall_detected_at:
            self._stalled = False

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()
