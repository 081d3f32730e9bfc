"""Runs one job in the process that owns it, and lists its results."""

from __future__ import annotations

import asyncio
import logging
import time

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.earlier_outputs import JobOutputs
from crankseam.jobs.errors import ResultsConflict
from crankseam.jobs.item_maker import ItemMaker
from crankseam.jobs.item_retry import give_up_at
from crankseam.jobs.listing_moments import ListingMoments
from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText
from crankseam.jobs.repository import JobRepository, fitting_one_chunk
from crankseam.jobs.urgency import long_hint, rank_of

log = logging.getLogger(__name__)

UNCERTAIN_S = 0.4
"""A listing without an answer may have taken effect; after this its runner no longer knows what
readers of the store have seen."""
UNCHECKED_S = 0.9
"""The same while a former owner's last listing may still take effect, since the last look."""
RETRY_BASE_SECONDS = 0.05
RETRY_CAP_SECONDS = 0.5
SAVE_INTERVAL_SECONDS = 0.8
RESTART_PAUSE_SECONDS = 0.5


class JobRunner:
    """All items of one job.

    Args:
        listed: results that are listed already, chunk by chunk.
        kept: texts of items that an earlier run has begun.
        finished: results that are known already and not listed.
        maker: makes the items' results.
    """

    def __init__(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        kept: dict[str, PartialText],
        finished: list[ItemResult],
        repository: JobRepository,
        maker: ItemMaker,
    ) -> None:
        self.job = job
        self._repository = repository
        self._maker = maker
        self._started_at = time.monotonic()
        self.accepted = asyncio.Event()
        """Nothing is listed or saved before the job lasts."""
        self.chunks = len(listed)
        self.results: list[ItemResult] = [result for chunk in listed for result in chunk]
        self._listed_ids = {result.id for result in self.results}
        self._kept = {item.id: kept.get(item.id) or PartialText() for item in job.items}
        self._long_hint = long_hint(job)
        self._saved_events = 0
        self._pending: list[ItemResult] = []
        self._group_of = {item.id: item.group for item in job.items}
        due_at = self._started_at + maker.due_s(job)
        self._moments = ListingMoments(job, self._listed_ids, due_at)
        self._listed_more = asyncio.Event()
        self._listing_since: float | None = None
        """Time of promises of the first call of a listing that may have taken effect unseen."""
        self.checked_at: float | None = None
        """Time of promises of the last look for others' listings; None if there can be none."""
        self._item_tasks: dict[str, asyncio.Task[None]] = {}
        self._finished_ids: set[str] = set()
        for result in self._unlisted(finished):
            self._finish(result)

    def is_certain(self) -> bool:
        """Whether readers of the store can not have seen results that this runner doesn't know.

        What is listed only moments ago need not be known everywhere.
        """
        now = clocks.promised_s()
        if self._listing_since is not None and now - self._listing_since > UNCERTAIN_S:
            return False
        return self.checked_at is None or now - self.checked_at <= UNCHECKED_S

    def unlisted_count(self) -> int:
        """How many items have no result yet."""
        return len(self.job.items) - len(self.results)

    async def wait_for(self, position: int, wait: float) -> None:
        """Return when a result stands at `position`, or after `wait` seconds."""
        try:
            async with asyncio.timeout(wait):
                while len(self.results) <= position:
                    listed_more = self._listed_more
                    await listed_more.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Run all items and list their results; returns when all are listed."""
        try:
            for index, item in enumerate(self.job.items):
                if item.id not in self._listed_ids | self._finished_ids | self._item_tasks.keys():
                    work = self._run_item(index, item)
                    self._item_tasks[item.id] = asyncio.create_task(work)
            saving = asyncio.create_task(self._save_now_and_then())
            try:
                while len(self._listed_ids) < len(self._item_ids()):
                    await self._list_pending()
            finally:
                saving.cancel()
            log.info("job_done", extra={"job": self.job.id, "results": len(self.results)})
        finally:
            await self._cancel_items()

    async def _save_now_and_then(self) -> None:
        await self.accepted.wait()
        while True:
            await asyncio.sleep(SAVE_INTERVAL_SECONDS)
            await self.save_progress()

    async def save_progress(self) -> None:
        """Keep the texts of running items; a failure costs only what was made meanwhile."""
        texts = {
            item_id: text
            for item_id, text in self._kept.items()
            if text.events and item_id not in self._listed_ids
        }
        made = sum(len(text.events) + text.whole for text in texts.values())
        if not texts or made == self._saved_events:
            return
        try:
            await self._repository.save_progress(self.job.id, texts)
            self._saved_events = made
        except KeyValueError as error:
            log.warning(
                "progress_not_saved", extra={"job": self.job.id, "error": type(error).__name__}
            )

    def _item_ids(self) -> set[str]:
        return {item.id for item in self.job.items}

    async def _cancel_items(self) -> None:
        tasks = list(self._item_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_item(self, index: int, item: ItemDefinition) -> None:
        try:
            result = await self._result_of(index, item)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("item_task_failed", extra={"job": self.job.id, "item": item.id})
            await asyncio.sleep(RESTART_PAUSE_SECONDS)
            self._item_tasks[item.id] = asyncio.create_task(self._run_item(index, item))
            return
        self._finish(result)

    def _finish(self, result: ItemResult) -> None:
        """Take an item's result, to be listed soon."""
        self._finished_ids.add(result.id)
        self._pending.append(result)
        self._moments.finished(self._group_of[result.id])

    def outputs(self) -> JobOutputs:
        """Everything that was made so far, listed or not."""
        finished = {one.id: one for one in [*self.results, *self._pending] if one.completed}
        partial = {
            item_id: text
            for item_id, text in self._kept.items()
            if text.events and item_id not in finished
        }
        return JobOutputs(finished, partial)

    async def _result_of(self, index: int, item: ItemDefinition) -> ItemResult:
        rank = rank_of(self.job, self._started_at, item, index)
        is_long = item.length_hint > self._long_hint
        end_at = give_up_at(self._started_at, self._maker.longest_queue_s(self.job))
        try:
            async with asyncio.timeout(end_at - time.monotonic()):
                return await self._maker.make(self.job, item, rank, self._kept[item.id], is_long)
        except TimeoutError:
            log.warning("item_given_up", extra={"job": self.job.id, "item": item.id})
            return ItemResult(item.id, False)

    async def _list_pending(self) -> None:
        """List what is finished as the next chunk, whoever else lists meanwhile."""
        await self.accepted.wait()
        await self._moments.wait()
        await self._list_batch()

    async def _list_batch(self) -> None:
        batch = self._unlisted(self._pending)
        backoff = Backoff(RETRY_BASE_SECONDS, RETRY_CAP_SECONDS)
        may_be_done = False
        while batch:
            number = self.chunks
            if self._listing_since is None:
                self._listing_since = clocks.promised_s()
            part = fitting_one_chunk(batch)
            try:
                await self._repository.append(self.job.id, number, part)
                if number == self.chunks:
                    self._take_chunk(part)
            except ResultsConflict as conflict:
                log.warning("results_conflict", extra={"job": self.job.id, "chunk": number})
                if number == self.chunks:
                    self._take_chunk(conflict.winner)
            except KeyValueError as error:
                if isinstance(error, KeyValueUnavailable) and not may_be_done:
                    self._listing_since = None
                else:
                    may_be_done = True
                log.warning(
                    "results_not_listed",
                    extra={"job": self.job.id, "error": type(error).__name__},
                )
                await asyncio.sleep(backoff.next_delay())
            # A chunk that was read meanwhile may be this batch, listed by a lost call.
            batch = self._unlisted(batch)
        self._pending = self._unlisted(self._pending)

    def _unlisted(self, results: list[ItemResult]) -> list[ItemResult]:
        return [result for result in results if result.id not in self._listed_ids]

    async def list_rest(self) -> None:
        """List what is finished, once; also by a process that no longer owns the job.

        Listing is agreed by the store, so a new owner finds these results instead of making
        them again.
        """
        if self._pending and self.accepted.is_set():
            await self._list_batch()

    def take_chunks(self, first_number: int, chunks: list[list[ItemResult]]) -> None:
        """Take chunks as read from the store, the first of that number.

        This runner may itself have listed some of them while they were read.
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
            task = self._item_tasks.get(result.id)
            if task is not None:
                task.cancel()
        log.info(
            "results_listed",
            extra={
                "job": self.job.id,
                "chunk": self.chunks - 1,
                "first_position": first,
                "items": [result.id for result in chunk],
            },
        )
        listed_more, self._listed_more = self._listed_more, asyncio.Event()
        listed_more.set()
