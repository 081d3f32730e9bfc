"""Runs background tasks, and restarts them with exponential back-off when they fail.

Owns every task of a process that outlives a request. Relies on the tasks to end when cancelled.
Every failure is logged.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from crankseam import clocks
from crankseam.backoff import Backoff

log = logging.getLogger(__name__)

RESTART_BASE_S = 0.2
"""Longest pause, in seconds, before a task is restarted after its first failure. The limit doubles
with each further failure."""
RESTART_CAP_S = 2.0
"""Upper limit of the pause, in seconds."""
FAILING_WINDOW_S = 10.0
"""Seconds for which a task counts as failing after a failure; several times `RESTART_CAP_S`."""


class Supervisor:
    """Owns the long-running tasks of this process. A failed task never ends the process."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._failed_at: dict[str, float] = {}
        """Monotonic time, in seconds, of the last failure of each kept task, by name."""

    def failing_count(self) -> int:
        """Return the number of kept tasks that failed within the last `FAILING_WINDOW_S`.

        It stays above zero while a task is restarted in vain.
        """
        since = clocks.monotonic_s() - FAILING_WINDOW_S
        return sum(failed_at > since for failed_at in self._failed_at.values())

    def keep(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        """Run `work`, and call it again after a pause each time that it fails.

        `work` is not called again once it returns without an error.
        """
        self._track(asyncio.create_task(self._run_with_restarts(work, name), name=name))

    def once(self, work: Callable[[], Awaitable[None]], name: str) -> asyncio.Task[None]:
        """Run `work` once; a failure is logged and not retried."""
        task = asyncio.create_task(self._run_once(work, name), name=name)
        self._track(task)
        return task

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_with_restarts(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        backoff = Backoff(RESTART_BASE_S, RESTART_CAP_S)
        while True:
            try:
                await work()
                return
            except Exception:
                self._failed_at[name] = clocks.monotonic_s()
                log.exception("task_failed", extra={"task": name})
            await asyncio.sleep(backoff.next_delay())

    async def _run_once(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        try:
            await work()
        except Exception:
            log.exception("task_failed", extra={"task": name})

    async def stop(self) -> None:
        """Cancel all tasks, and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
