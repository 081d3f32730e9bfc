"""Priority queue that limits how many samples this node runs at a pool of samplers.

The scheduler keeps the waiting samples and the number of running ones. `step_rules` defines the
order; samples with equal positions run in the order in which they arrived. If a waiting sample is
cancelled, its slot goes to the next one in the queue.
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
class _WaitingSample:
    """An entry of the queue; `number` is the order of arrival among equal positions."""

    position: QueuePosition
    number: int
    granted: asyncio.Future[None] = field(compare=False)


class PoolScheduler:
    """Grants the slots that this node may use at a pool, in the order of queue positions.

    Parameters
    ==========

    capacity : returns how many samples this node may run at the pool. It is called whenever slots
        are granted, because the configuration may change.
    """

    def __init__(self, capacity: Callable[[], int]) -> None:
        self._capacity = capacity
        self._arrival_numbers = itertools.count()
        self._queue: list[_WaitingSample] = []
        self.running = 0

    @asynccontextmanager
    async def hold_slot(self, position: QueuePosition) -> AsyncIterator[None]:
        """Wait for a slot and hold it in the `async with` block; lower positions come first."""
        await self._acquire(position)
        try:
            yield
        finally:
            self.running -= 1
            self._grant_free_slots()

    async def _acquire(self, position: QueuePosition) -> None:
        granted = asyncio.get_running_loop().create_future()
        waiting = _WaitingSample(position, next(self._arrival_numbers), granted)
        heapq.heappush(self._queue, waiting)
        self._grant_free_slots()
        try:
            await waiting.granted
        except asyncio.CancelledError:
            if waiting.granted.done() and not waiting.granted.cancelled():
                # The slot was granted before this task could process its cancellation.
                self.running -= 1
                self._grant_free_slots()
            raise

    def _grant_free_slots(self) -> None:
        capacity = self._capacity()
        while self._queue and self.running < capacity:
            waiting = heapq.heappop(self._queue)
            if not waiting.granted.done():
                self.running += 1
                waiting.granted.set_result(None)
