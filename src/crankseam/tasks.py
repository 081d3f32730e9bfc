"""Runs the background tasks of a component, logs their failures, and cancels them together.

No task is restarted. A task that fails is logged and marks its owner as failed; the owner's
`on_failure` decides what follows.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Owns background tasks and holds references to them while they run.

    Attributes
    ==========

    failed : whether any task has ended with an exception.
    on_failure : called after each such failure.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self.failed = False
        self.on_failure: Callable[[], None] = lambda: None

    def start(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run `work` in the background; an exception is logged with its traceback."""
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
