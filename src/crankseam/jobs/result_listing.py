"""Lists one job's results in the store, and knows which of them others may have seen.

Owns what this process knows of the job's chunks: results that are listed, by whomever, and results
that are finished and wait for their listing. Positions are agreed by the store: a chunk of a number
is created once (see repository.py), so two processes that list the same job never disagree. Relies
on ListingSchedule for when to list.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.errors import ResultsConflict
from crankseam.jobs.listing_moments import ListingSchedule
from crankseam.jobs.model import ItemResult, JobDefinition
from crankseam.jobs.repository import JobRepository, first_chunk

log = logging.getLogger(__name__)

UNCERTAIN_S = 0.4
"""A listing without an answer may have taken effect; after this its runner no longer knows what
readers of the store have seen. Set after results that had been read were missing from an owner's
answer; a call of the store is given up after 1 s."""
UNCHECKED_S = 0.9
"""The same while a former owner's last listing may still take effect, since the last look: more
than FORMER_OWNER_POLL_INTERVAL_S of take_over.py, so that one look in time keeps a runner
certain. A choice."""
RETRY_BASE_S = 0.05
"""First pause between two tries of a listing; see Backoff. Origin not recorded."""
RETRY_CAP_S = 0.5
"""Longest such pause. Origin not recorded."""


class ResultListing:
    """The results of one job.

    Parameters
    ==========

    listed : results that are listed already, chunk by chunk.
    due_at : monotonic time; see ListingSchedule.
    on_listed : called with the id of each item whose result gets listed, by whomever.

    Attributes
    ==========

    chunks : how many chunks are listed.
    results : what is listed, by position.
    checked_at : time of promises of the last look for others' listings; None if there can be none.
    """

    def __init__(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        due_at: float,
        repository: JobRepository,
        on_listed: Callable[[str], None],
    ) -> None:
        self._job_id = job.id
        self._repository = repository
        self._on_listed = on_listed
        self.chunks = len(listed)
        self.results: list[ItemResult] = [result for chunk in listed for result in chunk]
        self._listed_ids = {result.id for result in self.results}
        self._finished_ids: set[str] = set()
        self._pending: list[ItemResult] = []
        self._item_ids = {item.id for item in job.items}
        self._group_of = {item.id: item.group for item in job.items}
        self._schedule = ListingSchedule(job, self._listed_ids, due_at)
        self._listed_more = asyncio.Event()
        self._listing_since: float | None = None
        """Time of promises of the first call of a listing that may have taken effect unseen."""
        self.checked_at: float | None = None

    # --- what is known

    def is_listed(self, item_id: str) -> bool:
        """Whether an item's result is listed."""
        return item_id in self._listed_ids

    def has_result(self, item_id: str) -> bool:
        """Whether an item has its result, listed or not."""
        return item_id in self._listed_ids or item_id in self._finished_ids

    def is_complete(self) -> bool:
        """Whether the results of all items are listed."""
        return len(self._listed_ids) >= len(self._item_ids)

    def known(self) -> list[ItemResult]:
        """All results, those that wait for their listing last."""
        return [*self.results, *self._pending]

    def is_certain(self) -> bool:
        """Whether readers of the store can not have seen results that are not known here.

        What is listed only moments ago need not be known everywhere.
        """
        now = clocks.promised_s()
        if self._listing_since is not None and now - self._listing_since > UNCERTAIN_S:
            return False
        return self.checked_at is None or now - self.checked_at <= UNCHECKED_S

    async def wait_for(self, position: int, wait_s: float) -> None:
        """Return when a result stands at `position`, or after so many seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while len(self.results) <= position:
                    listed_more = self._listed_more
                    await listed_more.wait()
        except TimeoutError:
            # The caller sees by the results that there is none.
            return

    # --- listing

    def finish(self, result: ItemResult) -> None:
        """Take an item's result, to be listed soon."""
        self._finished_ids.add(result.id)
        self._pending.append(result)
        self._schedule.finished(self._group_of[result.id])

    async def list_next(self) -> None:
        """Wait for the moment, then list what is finished as the next chunk."""
        await self._schedule.wait()
        await self._list_pending()

    async def list_rest(self) -> None:
        """List what is finished at once; also by a process that no longer owns the job.

        Listing is agreed by the store, so a new owner finds these results instead of making
        them again.
        """
        if self._pending:
            await self._list_pending()

    async def _list_pending(self) -> None:
        """List until all of it is listed, whoever else lists meanwhile."""
        batch = self._unlisted(self._pending)
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        may_be_done = False
        while batch:
            number = self.chunks
            if self._listing_since is None:
                self._listing_since = clocks.promised_s()
            part = first_chunk(batch)
            try:
                await self._repository.append(self._job_id, number, part)
                if number == self.chunks:
                    self._take_chunk(part)
            except ResultsConflict as conflict:
                log.warning("results_conflict", extra={"job": self._job_id, "chunk": number})
                if number == self.chunks:
                    self._take_chunk(conflict.winner)
            except KeyValueError as error:
                if isinstance(error, KeyValueUnavailable) and not may_be_done:
                    self._listing_since = None
                else:
                    may_be_done = True
                log.warning(
                    "results_not_listed",
                    extra={"job": self._job_id, "error": type(error).__name__},
                )
                await asyncio.sleep(backoff.next_delay())
            # A chunk that was read meanwhile may be this batch, listed by a lost call.
            batch = self._unlisted(batch)
        self._pending = self._unlisted(self._pending)

    def _unlisted(self, results: list[ItemResult]) -> list[ItemResult]:
        return [result for result in results if result.id not in self._listed_ids]

    def take_chunks(self, first_number: int, chunks: list[list[ItemResult]]) -> None:
        """Take chunks as read from the store, the first of that number.

        This process may itself have listed some of them while they were read.
        """
        for number, chunk in enumerate(chunks, start=first_number):
            if number == self.chunks:
                self._take_chunk(chunk)

    def _take_chunk(self, chunk: list[ItemResult]) -> None:
        first = len(self.results)
        self._listing_since = None
        self.chunks += 1
        self.results += chunk
        for result in chunk:
            self._listed_ids.add(result.id)
            self._on_listed(result.id)
        log.info(
            "results_listed",
            extra={
                "job": self._job_id,
                "chunk": self.chunks - 1,
                "first_position": first,
                "items": [result.id for result in chunk],
            },
        )
        listed_more, self._listed_more = self._listed_more, asyncio.Event()
        listed_more.set()
