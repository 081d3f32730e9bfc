"""Runs the items of one job in the process that owns it.

Owns a task for each item without a result, and the items' texts, which it saves now and then so
that another process can go on from there. Relies on ItemMaker for each item's result and on
ResultListing for what becomes of it. Its order of items is that of urgency.py.
"""

from __future__ import annotations

import asyncio
import logging
import time

from crankseam.errors import KeyValueError
from crankseam.jobs.earlier_outputs import JobOutputs
from crankseam.jobs.item_maker import ItemMaker
from crankseam.jobs.item_retry import give_up_at
from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText
from crankseam.jobs.repository import JobRepository
from crankseam.jobs.result_listing import ResultListing
from crankseam.jobs.urgency import long_hint, rank_of

log = logging.getLogger(__name__)

SAVE_INTERVAL_S = 0.8
"""Seconds between two savings of texts: so much of each run is made again after a kill. Measured:
worth of a site 0.706 -> 0.892 by resuming at all; the interval was not varied."""
RESTART_PAUSE_S = 0.5
"""An item whose task failed by a fault of this program is begun again after this. Origin not
recorded."""


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
        self._kept = {item.id: kept.get(item.id) or PartialText() for item in job.items}
        self._long_hint = long_hint(job)
        self._saved_events = 0
        due_at = self._started_at + maker.due_s(job)
        self.listing = ResultListing(job, listed, due_at, repository, self._cancel_item)
        self._item_tasks: dict[str, asyncio.Task[None]] = {}
        for result in finished:
            if not self.listing.is_listed(result.id):
                self.listing.finish(result)

    def unlisted_count(self) -> int:
        """How many items have no result yet."""
        return len(self.job.items) - len(self.listing.results)

    # --- items

    async def run(self) -> None:
        """Run all items and list their results; returns when all are listed."""
        try:
            for index, item in enumerate(self.job.items):
                if not self.listing.has_result(item.id) and item.id not in self._item_tasks:
                    work = self._run_item(index, item)
                    self._item_tasks[item.id] = asyncio.create_task(work)
            saving = asyncio.create_task(self._save_now_and_then())
            try:
                while not self.listing.is_complete():
                    await self.accepted.wait()
                    await self.listing.list_next()
            finally:
                saving.cancel()
            log.info("job_done", extra={"job": self.job.id, "results": len(self.listing.results)})
        finally:
            await self._cancel_items()

    async def _cancel_items(self) -> None:
        tasks = list(self._item_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _cancel_item(self, item_id: str) -> None:
        task = self._item_tasks.get(item_id)
        if task is not None:
            task.cancel()

    async def _run_item(self, index: int, item: ItemDefinition) -> None:
        try:
            result = await self._result_of(index, item)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("item_task_failed", extra={"job": self.job.id, "item": item.id})
            await asyncio.sleep(RESTART_PAUSE_S)
            self._item_tasks[item.id] = asyncio.create_task(self._run_item(index, item))
            return
        self.listing.finish(result)

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

    async def list_pending(self) -> None:
        """List what is finished, once, if the job lasts; see ResultListing."""
        if self.accepted.is_set():
            await self.listing.list_pending()

    # --- texts

    async def _save_now_and_then(self) -> None:
        await self.accepted.wait()
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save_progress()

    async def save_progress(self) -> None:
        """Keep the texts of running items; a failure costs only what was made meanwhile."""
        texts = {
            item_id: text
            for item_id, text in self._kept.items()
            if text.events and not self.listing.is_listed(item_id)
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

    def outputs(self) -> JobOutputs:
        """Everything that was made so far, listed or not."""
        finished = {one.id: one for one in self.listing.listed_and_pending() if one.completed}
        partial = {
            item_id: text
            for item_id, text in self._kept.items()
            if text.events and item_id not in finished
        }
        return JobOutputs(finished, partial)
