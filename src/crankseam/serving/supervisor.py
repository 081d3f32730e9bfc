"""Background tasks that are started again, with a back-off and a log line, when they fail.

Owns every task of a process that outlives a request. Relies on the tasks to end when cancelled.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from crankseam.backoff import Backoff

log = logging.getLogger(__name__)

RESTART_BASE_S = 0.2
"""Longest pause, in seconds, before a task that failed once is started again; it doubles with each
failure. Origin not recorded."""
RESTART_CAP_S = 2.0
"""Seconds that the pause does not exceed. Origin not recorded."""


class Supervisor:
    """Owns this process's long-running tasks. None of their failures ends the process."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def keep(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        """Run `work` for ever: each time it fails, it is called again after a pause."""
        self._own(asyncio.create_task(self._run_again(work, name), name=name))

    def once(self, work: Callable[[], Awaitable[None]], name: str) -> asyncio.Task[None]:
        """Call `work` and run it to its end; a failure is logged."""
        task = asyncio.create_task(self._run_once(work, name), name=name)
        self._own(task)
        return task

    def _own(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_again(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        backoff = Backoff(RESTART_BASE_S, RESTART_CAP_S)
        while True:
            try:
                await work()
                return
            except Exception:
                log.exception("task_failed", extra={"task": name})
            await asyncio.sleep(backoff.next_delay())

    async def _run_once(self, work: Callable[[], Awaitable[None]], name: str) -> None:
        try:
            await work()
        except Exception:
            log.exception("task_failed", extra={"task": name})

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
