"""Runs the items of one job in the process that owns it.

Runs a task for each item without a result, and periodically saves the partial texts, so that
another process can resume them. ItemMaker produces each item's result, ResultListing lists it in
the store, and JobUrgency ranks the items.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from crankseam.errors import KeyValueError
from crankseam.jobs.earlier_outputs import JobOutputs
from crankseam.jobs.item_maker import ItemMaker
from crankseam.jobs.item_retry import give_up_at
from crankseam.jobs.job_memory import JobMemory, is_large, without_body
from crankseam.jobs.job_urgency import JobUrgency
from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText
from crankseam.jobs.repository import JobRepository
from crankseam.jobs.result_listing import ResultListing
from crankseam.jobs.urgency import long_hint_threshold

log = logging.getLogger(__name__)

SAVE_INTERVAL_S = 0.8
"""Seconds between two saves of the partial texts: up to this much of each item's run is repeated
after its process was killed. Without saved texts, all of its run is repeated."""
ITEM_RESTART_DELAY_S = 0.5
"""Delay before an item is restarted whose task failed with an unexpected exception."""


class _Timer:
    """A timer that may be started again by its own callback."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    def start(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a delay."""
        self._handle = asyncio.get_running_loop().call_later(delay_s, callback)

    def cancel(self) -> None:
        """Do not call back any more."""
        if self._handle is not None:
            self._handle.cancel()


class JobRunner:
    """Runs all items of one job.

    Args:
        listed: results that are listed already, chunk by chunk.
        kept: partial texts from an earlier run, by item id.
        finished: results that are known already but may not be listed yet.
        maker: produces the items' results.
        memory: counts the bodies of large jobs, which are dropped once their items are listed.
    """

    def __init__(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        kept: dict[str, PartialText],
        finished: list[ItemResult],
        repository: JobRepository,
        maker: ItemMaker,
        memory: JobMemory | None = None,
    ) -> None:
        self.job = job
        self.is_large = is_large(job)
        self._memory = memory or JobMemory()
        self._repository = repository
        self._maker = maker
        self._started_at = time.monotonic()
        self.accepted = asyncio.Event()
        """Set once the job is accepted; nothing is listed or saved before."""
        self._texts = {item.id: kept.get(item.id) or PartialText() for item in job.items}
        self._long_hint_threshold = long_hint_threshold(job)
        self._saved_event_count = 0
        due_at = self._started_at + maker.due_s(job)
        self.listing = ResultListing(job, listed, due_at, repository, self._cancel_item)
        self._urgency = JobUrgency(
            job, self._started_at, due_at, maker.urgency_sources(), self._texts, self.listing
        )
        self._item_tasks: dict[str, asyncio.Task[None]] = {}
        for result in finished:
            if not self.listing.is_listed(result.id):
                self.listing.finish(result)

    def unlisted_count(self) -> int:
        """Number of items whose results are not listed yet."""
        return len(self.job.items) - len(self.listing.results)

    # --- items

    async def run(self) -> None:
        """Run all items and list their results; returns when all are listed."""
        try:
            for index, item in enumerate(self.job.items):
                if not self.listing.has_result(item.id) and item.id not in self._item_tasks:
                    run_item = self._run_item(index, item)
                    self._item_tasks[item.id] = asyncio.create_task(run_item)
            saving = asyncio.create_task(self._save_periodically())
            try:
                while not self.listing.is_complete():
                    await self.accepted.wait()
                    await self.listing.list_next()
                    self._drop_listed_bodies()
            finally:
                saving.cancel()
            log.info("job_done", extra={"job": self.job.id, "results": len(self.listing.results)})
        finally:
            await self._cancel_items()

    def _drop_listed_bodies(self) -> None:
        if not self.is_large:
            return
        for index, item in enumerate(self.job.items):
            if item.body and self.listing.is_listed(item.id):
                self.job.items[index] = without_body(item)
        self._memory.shrink(self.job)

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
            result = await self._make_result(index, item)
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("item_task_failed", extra={"job": self.job.id, "item": item.id})
            await asyncio.sleep(ITEM_RESTART_DELAY_S)
            self._item_tasks[item.id] = asyncio.create_task(self._run_item(index, item))
            return
        self.listing.finish(result)

    async def _make_result(self, index: int, item: ItemDefinition) -> ItemResult:
        urgency = self._urgency.of_item(index)
        is_long = item.length_hint > self._long_hint_threshold
        text = self._texts[item.id]
        try:
            async with asyncio.timeout(None) as limit:
                timer = self._give_up_when_due(limit)
                try:
                    return await self._maker.make(self.job, item, urgency, text, is_long)
                finally:
                    timer.cancel()
        except TimeoutError:
            log.warning("item_given_up", extra={"job": self.job.id, "item": item.id})
            return ItemResult(item.id, False)

    def _give_up_when_due(self, limit: asyncio.Timeout) -> _Timer:
        """Let a limit pass once an item may be given up.

        The route's time is read again when it is over, since the operator may have prolonged it.
        """
        timer = _Timer()

        def check() -> None:
            left_s = self._give_up_at() - time.monotonic()
            if left_s > 0.0:
                timer.start(left_s, check)
            else:
                limit.reschedule(asyncio.get_running_loop().time())

        check()
        return timer

    def _give_up_at(self) -> float:
        return give_up_at(self._started_at, self._maker.item_timeout_s(self.job))

    async def list_pending(self) -> None:
        """List the pending results if the job is accepted; see ResultListing.list_pending."""
        if self.accepted.is_set():
            await self.listing.list_pending()

    # --- texts

    async def _save_periodically(self) -> None:
        await self.accepted.wait()
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save_progress()

    async def save_progress(self) -> None:
        """Save the partial texts of running items.

        A failed save is only logged: it leaves the last saved texts to resume from.
        """
        texts = {
            item_id: text
            for item_id, text in self._texts.items()
            if text.events and not self.listing.is_listed(item_id)
        }
        event_count = sum(len(text.events) + text.whole for text in texts.values())
        if not texts or event_count == self._saved_event_count:
            return
        try:
            await self._repository.save_progress(self.job.id, texts)
            self._saved_event_count = event_count
        except KeyValueError as error:
            log.warning(
                "progress_not_saved", extra={"job": self.job.id, "error": type(error).__name__}
            )

    def outputs(self) -> JobOutputs:
        """All outputs that have been generated so far, listed or not."""
        finished = {one.id: one for one in self.listing.listed_and_pending() if one.completed}
        partial = {
            item_id: text
            for item_id, text in self._texts.items()
            if text.events and item_id not in finished
        }
        return JobOutputs(finished, partial)
