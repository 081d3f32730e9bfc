"""When results that are finished are listed.

A trainer reads about twice a second, and a read that waits is answered by whatever is listed first:
so each listing that does not end its step may cost it half a second before it sees the one that
does.

Inputs: the job's groups and how many of them the trainer waits for, which items have their results,
the time at which the results are due (monotonic).
Rule: until so many groups are whole, what is finished is listed each SELDOM_LISTED_S. Once they
are, and also from the due time on, each further whole group is listed after GROUP_LISTED_S. Items
without groups count each by itself: they are listed after SINGLE_LISTED_S.
Protects: the trainer's reading pause at the end of a step, and writes to the store.
Shown by: `results_listed`. Held by: tests/jobs/test_listing_moments.py, test_runner.py.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter

from crankseam.jobs.model import JobDefinition

SELDOM_LISTED_S = 2.0
"""Results made within this time are listed by one write while the step can't end by them. Measured:
from the last listing to the end of the step 0.601 -> 0.379 s, calls of the store 4,326 -> 4,183 a
day."""
GROUP_LISTED_S = 0.08
"""Once it can, results that complete a group are listed after this, so that those which end at one
moment need one write. Measured only together with the choice of samplers."""
SINGLE_LISTED_S = 0.25
"""The same for jobs whose items have no groups: each counts by itself. Origin not recorded."""


class ListingMoments:
    """Decides for one job.

    Parameters
    ==========

    listed : ids of the items that have their results already.
    due_at : monotonic time from which on whole groups count less: each is listed soon.
    """

    def __init__(self, job: JobDefinition, listed: set[str], due_at: float) -> None:
        self._due_at = due_at
        self._has_groups = any(item.group for item in job.items)
        self._unfinished_of = Counter(item.group for item in job.items if item.id not in listed)
        """Items without a result by group."""
        groups = {item.group for item in job.items}
        self._wanted = min(job.desired, len(groups)) if job.desired else len(groups)
        self._whole = len(groups) - len(self._unfinished_of)
        self._something_finished = asyncio.Event()
        self._group_whole = asyncio.Event()
        self._step_may_end = asyncio.Event()
        self._note_whole()

    def finished(self, group: str) -> None:
        """An item of a group has its result."""
        self._something_finished.set()
        self._unfinished_of[group] -= 1
        if self._unfinished_of[group] == 0:
            self._whole += 1
            self._group_whole.set()
            self._note_whole()

    def _note_whole(self) -> None:
        if self._whole >= self._wanted:
            self._step_may_end.set()

    async def wait(self) -> None:
        """Return when what is finished is to be listed; at least one result is."""
        await self._something_finished.wait()
        if not self._has_groups:
            await asyncio.sleep(SINGLE_LISTED_S)
        elif self._step_may_end.is_set() or time.monotonic() >= self._due_at:
            await self._wait_for_group()
        else:
            await self._wait_for_step()
        self._something_finished.clear()
        self._group_whole.clear()

    async def _wait_for_group(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SELDOM_LISTED_S):
                await self._group_whole.wait()
                await asyncio.sleep(GROUP_LISTED_S)

    async def _wait_for_step(self) -> None:
        longest_s = min(SELDOM_LISTED_S, max(0.0, self._due_at - time.monotonic()))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_s):
                await self._step_may_end.wait()
