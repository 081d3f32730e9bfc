"""When an ended job is removed from the store, and by which process.

Inputs: the keys of ended jobs, as this process follows them; when it first saw each, by its own
monotonic clock; the time for which the deployment lets callers ask for ended jobs.
Rule: a job is removed KEPT_FACTOR times that long after this process first saw its end, plus a
random delay of up to SPREAD_S, by the processes that watch the store for others.
Protects: callers that still ask; the store, which would else grow for ever.
Shown by: `job_removed`, `job_not_removed`. Held by: tests/jobs/test_retention.py.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable

from crankseam.coordination.follower import PrefixFollower
from crankseam.errors import KeyValueError
from crankseam.jobs.repository import ENDED_PREFIX, JobRepository

log = logging.getLogger(__name__)

LOOK_S = 5.0
"""Seconds between two looks for jobs to remove. Origin not recorded."""
SPREAD_S = 30.0
"""Processes that may remove the same job come to it within so long of each other: the first does
it, and the others see that it is gone. Origin not recorded."""
KEPT_FACTOR = 2.0
"""An ended job is kept this many times as long as the deployment allows it to be asked for. A
choice, not measured."""


class JobRetention:
    """Bounds what ended jobs take up.

    Explanation
    ===========

    A job's end leaves a key. Each process notes when it first saw that key by its own monotonic
    clock, so a job is never removed too early, whatever clocks say; a process that starts anew
    counts from its start.

    Parameters
    ==========

    state : follows the prefix of jobs' states.
    keep_s : seconds from a job's end to its removal.
    is_allowed : whether this process is among those that remove jobs.
    look_s : seconds between two looks.
    """

    def __init__(
        self,
        repository: JobRepository,
        state: PrefixFollower,
        keep_s: float,
        is_allowed: Callable[[], bool],
        look_s: float = LOOK_S,
    ) -> None:
        self._repository = repository
        self._state = state
        self._keep_s = keep_s
        self._spread_s = min(SPREAD_S, keep_s)
        self._is_allowed = is_allowed
        self._look_s = look_s
        self._due_at: dict[str, float] = {}
        """Monotonic time from which a job may be removed, by the key of its end."""

    def waiting(self) -> list[str]:
        """Keys of the ends of jobs that are still kept."""
        return list(self._due_at)

    async def run(self) -> None:
        """Look for jobs to remove until cancelled."""
        while True:
            await asyncio.sleep(self._look_s)
            self._note_ends()
            if self._is_allowed():
                await self._remove_due()

    def _note_ends(self) -> None:
        ended = {key for key in self._state.entries if key.startswith(ENDED_PREFIX)}
        for key in [key for key in self._due_at if key not in ended]:
            del self._due_at[key]
        now = time.monotonic()
        for key in ended - self._due_at.keys():
            self._due_at[key] = now + self._keep_s + random.uniform(0.0, self._spread_s)

    async def _remove_due(self) -> None:
        now = time.monotonic()
        for key in [key for key, due_at in self._due_at.items() if due_at <= now]:
            job_id = key.removeprefix(ENDED_PREFIX)
            try:
                await self._repository.remove(job_id)
            except KeyValueError as error:
                log.warning("job_not_removed", extra={"job": job_id, "error": type(error).__name__})
                return
            log.info("job_removed", extra={"job": job_id})
