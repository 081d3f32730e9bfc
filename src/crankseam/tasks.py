"""Keeps a component's background tasks, restarts none silently, and stops them together.

Owns the tasks started through it. A failed one is logged and marks the owner as failed; what
follows from that is up to `on_failure`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)


class TaskGroupOwner:
    """Holds references to tasks for as long as they run."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failed = False
        self.on_failure: Callable[[], None] = lambda: None

    def start(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run `work` in the background; a failure is logged with its traceback."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", extra={"task": task.get_name()}, exc_info=task.exception())
            self.failed = True
            self.on_failure()

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
