"""Decides in which order waiting samples get a place at a pool's samplers."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field


@dataclass(order=True)
class _Waiting:
    key: tuple[float, ...]
    number: int
    granted: asyncio.Future[None] = field(compare=False)


class PoolScheduler:
    """A queue in order of key before the places that this node may fill at a pool.

    Samples of earlier steps go first, since a trainer waits for the earliest; within a step the
    longest go first, since the one that is started last should not be the one that runs longest.

    Args:
        capacity: how many samples may run at the pool from this node, asked anew each time.
    """

    def __init__(self, capacity: Callable[[], int]) -> None:
        self._capacity = capacity
        self._numbers = itertools.count()
        self._queue: list[_Waiting] = []
        self.running = 0

    @asynccontextmanager
    async def place(self, key: tuple[float, ...]) -> AsyncIterator[None]:
        """Hold one place; lower keys are served first."""
        await self._acquire(key)
        try:
            yield
        finally:
            self.running -= 1
            self._grant()

    async def _acquire(self, key: tuple[float, ...]) -> None:
        waiting = _Waiting(key, next(self._numbers), asyncio.get_running_loop().create_future())
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
