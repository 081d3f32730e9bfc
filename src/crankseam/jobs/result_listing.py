"""Lists the results of one job in the store, and tracks which results are listed.

A result is listed once it is part of a stored chunk, which fixes its position for readers. This
module keeps the results that are known to be listed, by this process or another, and the finished
results that are still to be listed. The store creates a chunk of each number only once (see
repository.py), so two processes that list results of the same job agree on all positions.
ListingSchedule decides when to list.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.errors import ResultsConflict
from crankseam.jobs.listing_schedule import ListingSchedule
from crankseam.jobs.model import ItemResult, JobDefinition
from crankseam.jobs.repository import JobRepository, first_chunk

log = logging.getLogger(__name__)

UNCERTAIN_AFTER_S = 0.4
"""Seconds after which a listing without an answer makes a runner uncertain of what readers of the
store have seen, since the listing may have taken effect. Without this limit, results that had
already been read from the store were missing from an owner's answer; a store call times out only
after 1 s."""
MAX_CHECK_AGE_S = 0.9
"""Seconds after the last poll for a former owner's results at which a runner becomes uncertain,
while the former owner's last listing may still take effect. Must exceed
FORMER_OWNER_POLL_INTERVAL_S of take_over.py, so that polling in time keeps the runner certain."""
RETRY_BASE_S = 0.05
"""Initial delay before a failed listing is retried; see Backoff."""
RETRY_CAP_S = 0.5
"""Upper bound of the delay between retries."""


class ResultListing:
    """The listed and pending results of one job.

    Parameters
    ==========

    listed : results that are listed already, chunk by chunk.
    due_at : monotonic time; see ListingSchedule.
    on_listed : called with the id of each item whose result is listed, by any process.

    Attributes
    ==========

    chunks : number of listed chunks.
    results : the listed results, by position.
    former_owner_polled_at : time (`clocks.boottime_s`) of the last poll for results that a former
        owner listed; None if no listing of a former owner can take effect any more.
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
        self._lost_ids = {result.id for result in self.results if not result.completed}
        self._pending: list[ItemResult] = []
        self._item_ids = {item.id for item in job.items}
        self._group_by_item = {item.id: item.group for item in job.items}
        self._schedule = ListingSchedule(job, self._listed_ids, due_at)
        self._results_added = asyncio.Event()
        self._unconfirmed_since: float | None = None
        """Time (`clocks.boottime_s`) of the first write that may have taken effect unnoticed."""
        self.former_owner_polled_at: float | None = None

    # --- state

    def is_listed(self, item_id: str) -> bool:
        """Whether an item's result is listed."""
        return item_id in self._listed_ids

    def has_result(self, item_id: str) -> bool:
        """Whether an item has its result, listed or pending."""
        return item_id in self._listed_ids or item_id in self._finished_ids

    def is_lost(self, item_id: str) -> bool:
        """Whether an item's result, listed or pending, says that the item was given up."""
        return item_id in self._lost_ids

    def is_complete(self) -> bool:
        """Whether the results of all items are listed."""
        return len(self._listed_ids) >= len(self._item_ids)

    def listed_and_pending(self) -> list[ItemResult]:
        """All results: the listed ones by position, then the pending ones."""
        return [*self.results, *self._pending]

    def is_certain(self) -> bool:
        """Whether this process knows all results that readers of the store can have seen.

        Results that were listed a moment ago are excepted: for up to UNCERTAIN_AFTER_S those whose
        write got no answer, and for up to MAX_CHECK_AGE_S those of a former owner.
        """
        now = clocks.boottime_s()
        if (
            self._unconfirmed_since is not None
            and now - self._unconfirmed_since > UNCERTAIN_AFTER_S
        ):
            return False
        return (
            self.former_owner_polled_at is None
            or now - self.former_owner_polled_at <= MAX_CHECK_AGE_S
        )

    async def wait_for(self, position: int, wait_s: float) -> None:
        """Return when a result is listed at `position`, or after `wait_s` seconds."""
        try:
            async with asyncio.timeout(wait_s):
                while len(self.results) <= position:
                    results_added = self._results_added
                    await results_added.wait()
        except TimeoutError:
            # The caller sees from the results that there is none.
            return

    # --- listing

    def finish(self, result: ItemResult) -> None:
        """Add a finished item's result, to be listed as the schedule says."""
        self._finished_ids.add(result.id)
        if not result.completed:
            self._lost_ids.add(result.id)
        self._pending.append(result)
        self._schedule.finished(self._group_by_item[result.id])

    async def list_next(self) -> None:
        """Wait until the schedule says so, then list the pending results."""
        await self._schedule.wait()
        await self._list_batch()

    async def list_pending(self) -> None:
        """List the pending results without waiting for the schedule.

        A process that no longer owns the job may list results too: the store resolves conflicts,
        and the new owner reads these results instead of generating them again.
        """
        if self._pending:
            await self._list_batch()

    async def _list_batch(self) -> None:
        """List the currently pending results; retries until this or another process has done so."""
        batch = self._unlisted(self._pending)
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        outcome_unknown = False
        while batch:
            number = self.chunks
            if self._unconfirmed_since is None:
                self._unconfirmed_since = clocks.boottime_s()
            part = first_chunk(batch)
            try:
                await self._repository.append(self._job_id, number, part)
                if number == self.chunks:
                    self._add_chunk(part)
            except ResultsConflict as conflict:
                log.warning("results_conflict", extra={"job": self._job_id, "chunk": number})
                if number == self.chunks:
                    self._add_chunk(conflict.winner)
            except KeyValueError as error:
                if isinstance(error, KeyValueUnavailable) and not outcome_unknown:
                    self._unconfirmed_since = None
                else:
                    outcome_unknown = True
                log.warning(
                    "results_not_listed",
                    extra={"job": self._job_id, "error": type(error).__name__},
                )
                await asyncio.sleep(backoff.next_delay())
            # A chunk that was read in the meantime may be this batch, listed by a write whose
            # answer was lost.
            batch = self._unlisted(batch)
        self._pending = self._unlisted(self._pending)

    def _unlisted(self, results: list[ItemResult]) -> list[ItemResult]:
        return [result for result in results if result.id not in self._listed_ids]

    def add_chunks(self, first_number: int, chunks: list[list[ItemResult]]) -> None:
        """Add consecutive chunks that were read from the store.

        Chunks that are known already are skipped: this process may have listed some of them while
        they were read.

        Parameters
        ==========

        first_number : number of the first chunk.
        """
        for number, chunk in enumerate(chunks, start=first_number):
            if number == self.chunks:
                self._add_chunk(chunk)

    def _add_chunk(self, chunk: list[ItemResult]) -> None:
        first = len(self.results)
        self._unconfirmed_since = None
        self.chunks += 1
        self.results += chunk
        for result in chunk:
            self._listed_ids.add(result.id)
            if result.completed:
                self._lost_ids.discard(result.id)
            else:
                self._lost_ids.add(result.id)
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
        results_added, self._results_added = self._results_added, asyncio.Event()
        results_added.set()
