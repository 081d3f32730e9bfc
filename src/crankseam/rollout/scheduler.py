"""Queue of waiting samples before the places at a pool's samplers.

Owns who waits and how many run. Relies on `step_rules` for the order; equal positions are served in
the order in which they came. A cancelled waiter gives its place on.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from crankseam.rollout.step_rules import QueuePosition


@dataclass(order=True)
class _Waiting:
    position: QueuePosition
    number: int
    granted: asyncio.Future[None] = field(compare=False)


class PoolScheduler:
    """A queue in order of position before the places that this node may fill at a pool.

    Parameters
    ==========

    capacity : how many samples may run at the pool from this node, asked anew each time.
    """

    def __init__(self, capacity: Callable[[], int]) -> None:
        self._capacity = capacity
        self._numbers = itertools.count()
        self._queue: list[_Waiting] = []
        self.running = 0

    @asynccontextmanager
    async def place(self, position: QueuePosition) -> AsyncIterator[None]:
        """Hold one place; lower positions are served first."""
        await self._acquire(position)
        try:
            yield
        finally:
            self.running -= 1
            self._grant()

    async def _acquire(self, position: QueuePosition) -> None:
        granted = asyncio.get_running_loop().create_future()
        waiting = _Waiting(position, next(self._numbers), granted)
        heapq.heappush(self._queue, waiting)
        self._grant()
        try:
            await waiting.granted
        except asyncio.CancelledError:
            if waiting.granted.done() and not waiting.granted.cancelled():
                self.running -= 1  # granted in the same turn in which it was cancelled
                self._grant()
            raise

    def _grant(self) -> None:
        capacity = self._capacity()
        while self._queue and self.running < capacity:
            waiting = heapq.heappop(self._queue)
            if not waiting.granted.done():
                self.running += 1
                waiting.granted.set_result(None)
