"""Removes ended jobs from the store after their retention time.

Inputs: the keys of ended jobs in this process's copy of the store; the time on its own monotonic
clock at which it first saw each of them; the time for which the deployment lets callers query an
ended job (`job_status_seconds`).
Rule: a job is removed RETENTION_FACTOR times that long after this process first saw its end, plus a
random delay of up to REMOVAL_JITTER_S. Only the processes that watch the store for other processes
remove jobs.
Purpose: to let callers query ended jobs for the promised time, and to bound the size of the store.
Logged as: `job_removed`, `job_not_removed`.
Tested by: tests/jobs/test_retention.py.
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

SCAN_INTERVAL_S = 5.0
"""Seconds between two scans for jobs to remove."""
REMOVAL_JITTER_S = 30.0
"""Upper bound of the random delay before a removal. It spreads the processes that may remove a job:
the first one removes it, and the others see that it is gone."""
RETENTION_FACTOR = 2.0
"""Ratio of an ended job's retention time to the time for which callers may query it."""


class JobRetention:
    """Removes ended jobs whose retention time is over.

    Explanation
    ===========

    The end of a job creates a key. Each process measures the retention time with its own monotonic
    clock from the moment at which it first saw this key. So a wrong wall clock never causes an
    early removal, and a restarted process counts from its start.

    Parameters
    ==========

    state : follower of the job state prefix.
    retention_s : seconds from a job's end to its removal.
    may_remove : whether this process may remove jobs at present.
    scan_interval_s : seconds between two scans.
    """

    def __init__(
        self,
        repository: JobRepository,
        state: PrefixFollower,
        retention_s: float,
        may_remove: Callable[[], bool],
        scan_interval_s: float = SCAN_INTERVAL_S,
    ) -> None:
        self._repository = repository
        self._state = state
        self._retention_s = retention_s
        self._jitter_s = min(REMOVAL_JITTER_S, retention_s)
        self._may_remove = may_remove
        self._scan_interval_s = scan_interval_s
        self._due_at: dict[str, float] = {}
        """Monotonic time from which a job may be removed, by its key in `state/ended/`."""

    def waiting(self) -> list[str]:
        """Keys (in `state/ended/`) of the ended jobs that are not removed yet."""
        return list(self._due_at)

    async def run(self) -> None:
        """Scan for jobs to remove until cancelled."""
        while True:
            await asyncio.sleep(self._scan_interval_s)
            self._schedule_removals()
            if self._may_remove():
                await self._remove_due()

    def _schedule_removals(self) -> None:
        ended = {key for key in self._state.entries if key.startswith(ENDED_PREFIX)}
        for key in [key for key in self._due_at if key not in ended]:
            del self._due_at[key]
        now = time.monotonic()
        for key in ended - self._due_at.keys():
            self._due_at[key] = now + self._retention_s + random.uniform(0.0, self._jitter_s)

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
