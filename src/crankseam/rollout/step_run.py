"""One step on the node that drives it: generates what is missing, commits, and delivers.

Owns what this node knows of the step: committed results, what the trainer has, what is being made.
Relies on `sample_records` for agreement (the first whole result committed wins, whoever made it),
on `step_rules` and the scheduler for when a sample runs, and on the trainer's cursor for what to
deliver.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec

from crankseam.backoff import Backoff
from crankseam.errors import RecordError, RecordExpired
from crankseam.rollout.cursor import format_cursor
from crankseam.rollout.generation import GenerationTarget, SampleGenerator, SampleJob
from crankseam.rollout.lengths import LengthEstimator
from crankseam.rollout.messages import (
    OpenStep,
    SampleRecord,
    SampleRequest,
    SampleResult,
    oldest_version,
)
from crankseam.rollout.sample_records import SampleRecords
from crankseam.rollout.scheduler import PoolScheduler
from crankseam.rollout.step_rules import QueuePosition, queue_position
from crankseam.tasks import TaskGroupOwner

log = logging.getLogger(__name__)

DRIVER_CHECK_S = 1.0
"""How often a driver looks whether another node took the step over. Nothing correct depends on it.
Origin not recorded."""
BEGIN_POLL_S = 0.02
"""How often a step looks whether it may start. Origin not recorded."""
READ_CONCURRENCY = 64
"""Records that are read at a time when a step is taken over. Origin not recorded."""
COMMIT_RETRY_BASE_S = 0.05
"""Shortest pause after a failed commit, and upper bound of what chance adds to the first one.
Origin not recorded."""
COMMIT_RETRY_CAP_S = 1.0
"""Upper bound of what chance adds to any pause. Origin not recorded."""


class StepRun:
    """Drives one step.

    Args:
        opening: what the trainer asked for.
        scheduler: the queue before the pool's samplers, shared by all steps on this node.
        target: trainer, pool and versions as they stand now, for the version that the trainer
            will have when it trains on this step.
        may_begin: whether the steps before this one are far enough.
    """

    def __init__(
        self,
        opening: OpenStep,
        records: SampleRecords,
        generator: SampleGenerator,
        lengths: LengthEstimator,
        scheduler: PoolScheduler,
        target: Callable[[int], GenerationTarget],
        may_begin: Callable[[], bool],
    ) -> None:
        self.opening = opening
        self.trainer_version = 0
        self.superseded = False
        self._records = records
        self._generator = generator
        self._lengths = lengths
        self._scheduler = scheduler
        self._target = target
        self._may_begin = may_begin
        self._requests = {sample.index: sample for sample in opening.samples}
        self._generations: dict[int, int] = {}
        self._committed: dict[int, SampleResult] = {}
        self._acknowledged: set[int] = set()
        self._generating: dict[int, asyncio.Task[None]] = {}
        self._changed = asyncio.Condition()
        self._tasks = TaskGroupOwner()
        self.dropped_stale = 0

    # --- life

    async def start(self, trainer_version: int, received: set[int]) -> None:
        """Become the step's driver and generate every sample that is neither received nor
        committed. Raises RecordError."""
        self.trainer_version = trainer_version
        self._acknowledged |= received
        step = await self._records.become_driver()
        if step.term > 1:
            await self._read_committed()
        self._tasks.start(self._begin(), "step begin")
        self._tasks.start(self._watch_driver(), "step driver")

    async def _begin(self) -> None:
        """Start the samples once steps before this one and the staleness bound allow it."""
        while True:
            target = self._target(self.trainer_version)
            if self._may_begin() and self._generator.has_eligible_sampler(target):
                break
            await asyncio.sleep(BEGIN_POLL_S)
        for index in self._requests:
            if index not in self._acknowledged and index not in self._committed:
                self._start_sample(self._requests[index])

    async def stop(self) -> None:
        """Stop generating; what is committed stays."""
        await self._tasks.stop()

    async def _read_committed(self) -> None:
        gate = asyncio.Semaphore(READ_CONCURRENCY)

        async def read(index: int) -> None:
            async with gate:
                record = await self._records.read(index)
            if record is not None:
                self._take(index, record)

        await asyncio.gather(*(read(i) for i in self._requests if i not in self._acknowledged))

    async def _watch_driver(self) -> None:
        while True:
            await asyncio.sleep(DRIVER_CHECK_S)
            try:
                is_driver = await self._records.is_driver()
            except RecordError:
                continue  # not known now; nothing correct depends on there being one driver
            if not is_driver:
                log.info("step taken over by another node", extra={"step": self.opening.step})
                self.superseded = True
                async with self._changed:
                    self._changed.notify_all()
                for task in self._generating.values():
                    task.cancel()
                return

    # --- generating

    def _start_sample(self, request: SampleRequest) -> None:
        if request.index in self._generating:
            return
        name = f"sample {self.opening.step}/{request.index}"
        self._generating[request.index] = self._tasks.start(self._make_sample(request), name)

    async def _make_sample(self, request: SampleRequest) -> None:
        try:
            async with self._scheduler.hold_slot(self._queue_position(request)):
                result = await self._generator.generate(
                    SampleJob(self.opening.step, request),
                    self._generations.get(request.index, 0),
                    lambda: self._target(self.trainer_version),
                )
            self._lengths.record_length(request.group, len(result.tokens))
            await self._commit(result)
        finally:
            self._generating.pop(request.index, None)

    def _queue_position(self, request: SampleRequest) -> QueuePosition:
        trainer = self._target(self.trainer_version).trainer
        expected_tokens = self._lengths.estimate(request)
        return queue_position(trainer, self.opening.step, request.index, expected_tokens)

    async def _commit(self, result: SampleResult) -> None:
        record = await self._until_recorded(lambda: self._records.commit(result))
        if record is None:
            return
        self._take(result.index, record)
        async with self._changed:
            self._changed.notify_all()

    async def _until_recorded(
        self, change: Callable[[], Awaitable[SampleRecord]]
    ) -> SampleRecord | None:
        """Make a change of a record until it holds; None if the step is too old for records."""
        backoff = Backoff(COMMIT_RETRY_BASE_S, COMMIT_RETRY_CAP_S)
        while True:
            try:
                return await change()
            except RecordExpired:
                log.warning("step is too old to record", extra={"step": self.opening.step})
                return None
            except RecordError:
                await asyncio.sleep(COMMIT_RETRY_BASE_S + backoff.next_delay())

    def _take(self, index: int, record: SampleRecord) -> None:
        self._generations[index] = record.generation
        if record.result is not None:
            self._committed[index] = msgspec.json.decode(record.result, type=SampleResult)

    def remaining(self) -> int:
        """Samples that are neither committed nor acknowledged."""
        return len(self._requests) - len(self._committed.keys() | self._acknowledged)

    # --- delivering

    async def deliver(
        self, received: set[int], trainer_version: int
    ) -> AsyncIterator[SampleResult]:
        """Yield each sample that the trainer lacks, once, until it has all.

        The trainer keeps `trainer_version` for as long as it reads this stream, so that the bound
        checked here is the bound that holds on receipt.
        """
        self.trainer_version = trainer_version
        received = set(received)
        self._acknowledged |= received
        while len(received) < len(self._requests):
            ready = [index for index in self._committed if index not in received]
            for index in ready:
                result = self._committed[index]
                if self._is_stale(result, trainer_version):
                    await self._make_again(result)
                    continue
                received.add(index)
                result.cursor = format_cursor(received)
                yield result
            if not ready or all(index in received for index in ready):
                await self._wait_for_news(received)
            if self.superseded:
                return

    async def _wait_for_news(self, received: set[int]) -> None:
        async with self._changed:
            if len(received) < len(self._requests) and not self.superseded:
                if not any(index not in received for index in self._committed):
                    await self._changed.wait()

    def _is_stale(self, result: SampleResult, trainer_version: int) -> bool:
        bound = self._target(trainer_version).oldest_allowed
        return oldest_version(result.segments) < bound

    async def _make_again(self, result: SampleResult) -> None:
        """Drop a result that is too old by now and generate it anew."""
        self.dropped_stale += 1
        log.info(
            "sample dropped as too old",
            extra={"step": result.step, "index": result.index, "generation": result.generation},
        )
        record = await self._until_recorded(
            lambda: self._records.drop_stale(result.index, result.generation)
        )
        self._committed.pop(result.index, None)
        if record is None:
            return
        self._take(result.index, record)
        if result.index not in self._committed:
            self._start_sample(self._requests[result.index])

    def acknowledge(self, received: set[int]) -> bool:
        """Forget samples that the trainer has for good; return whether it has all."""
        self._acknowledged |= received
        for index in received:
            self._committed.pop(index, None)
        return len(self._acknowledged) >= len(self._requests)
