"""Notices that this process was stopped for a while, so that it does not act on an old view.

A process that was paused and wakes goes on in the middle of whatever it did, with a view of back
ends from before the pause. Until it has heard from others again it must send nothing new.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from crankseam import clocks

TICK_SECONDS = 0.1


class StallGuard:
    """Fresh while the event loop runs on time; stale from a stall until the view is renewed.

    Args:
        longest: seconds without a tick that count as a stall.
    """

    def __init__(self, longest: float, clock: Callable[[], float] = clocks.promised_s) -> None:
        self._longest = longest
        self._clock = clock
        self._ticked_at = clock()
        self._stalled = False
        self._stall_seen_at = float("-inf")

    def tick(self) -> None:
        """Must be called every TICK_SECONDS."""
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
            await asyncio.sleep(TICK_SECONDS)
            self.tick()
