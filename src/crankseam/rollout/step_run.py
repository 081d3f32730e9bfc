"""Runs one step on its driver: generates the missing samples, commits them, and delivers them.

A `StepRun` keeps this node's view of the step: the committed results, the samples that the trainer
has, and the samples under generation. `sample_records` makes the nodes agree on each result: the
first complete result that is committed is kept, whichever node generated it. `step_rules` and the
scheduler determine when a sample runs. The trainer's cursor determines which samples are delivered.
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
from crankseam.tasks import BackgroundTasks

log = logging.getLogger(__name__)

DRIVER_CHECK_INTERVAL_S = 1.0
"""Interval at which a driver checks whether another node took over the step. Correctness does not
depend on it."""
START_POLL_INTERVAL_S = 0.02
"""Interval at which a step checks whether its samples may start."""
MAX_CONCURRENT_RECORD_READS = 64
"""Maximum number of records that are read concurrently when this node takes over a step."""
RECORD_RETRY_BASE_DELAY_S = 0.05
"""Minimum delay after a failed change of a sample's record, and upper bound of the random jitter
that is added to the first delay."""
RECORD_RETRY_MAX_JITTER_S = 1.0
"""Upper bound of the random jitter that is added to any delay."""


class StepRun:
    """Drives one step.

    Parameters
    ==========

    open_step : the trainer's request to open the step.
    scheduler : grants the slots at the pool's samplers; shared by all steps of the pool on this
        node.
    target : returns the current trainer, pool and versions; its argument is the version that the
        trainer will have when it trains on this step.
    may_start : whether the earlier steps lack few enough samples for this step to start.
    """

    def __init__(
        self,
        open_step: OpenStep,
        records: SampleRecords,
        generator: SampleGenerator,
        lengths: LengthEstimator,
        scheduler: PoolScheduler,
        target: Callable[[int], GenerationTarget],
        may_start: Callable[[], bool],
    ) -> None:
        self.open_step = open_step
        self.trainer_version = 0
        self.superseded = False
        self._records = records
        self._generator = generator
        self._lengths = lengths
        self._scheduler = scheduler
        self._target = target
        self._may_start = may_start
        self._requests = {sample.index: sample for sample in open_step.samples}
        self._generations: dict[int, int] = {}
        self._committed: dict[int, SampleResult] = {}
        self._acknowledged: set[int] = set()
        self._generating: dict[int, asyncio.Task[None]] = {}
        self._changed = asyncio.Condition()
        self._tasks = BackgroundTasks()
        self.dropped_stale = 0

    # --- start and stop

    async def start(self, trainer_version: int, received: set[int]) -> None:
        """Become the driver of the step and generate its missing samples.

        A sample is missing if the trainer has not received it and no result is committed.

        Raises
        ======

        RecordError : a record of the step could not be read or changed.
        """
        self.trainer_version = trainer_version
        self._acknowledged |= received
        step = await self._records.become_driver()
        if step.term > 1:
            await self._read_committed()
        self._tasks.start(self._start_when_allowed(), "step begin")
        self._tasks.start(self._watch_driver(), "step driver")

    async def _start_when_allowed(self) -> None:
        """Start the samples as soon as the earlier steps and the staleness bound allow it."""
        while True:
            target = self._target(self.trainer_version)
            if self._may_start() and self._generator.has_eligible_sampler(target):
                break
            await asyncio.sleep(START_POLL_INTERVAL_S)
        for index in self._requests:
            if index not in self._acknowledged and index not in self._committed:
                self._start_sample(self._requests[index])

    async def stop(self) -> None:
        """Stop generating; committed results stay committed."""
        await self._tasks.stop()

    async def _read_committed(self) -> None:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_RECORD_READS)

        async def read(index: int) -> None:
            async with semaphore:
                record = await self._records.read(index)
            if record is not None:
                self._apply_record(index, record)

        await asyncio.gather(*(read(i) for i in self._requests if i not in self._acknowledged))

    async def _watch_driver(self) -> None:
        while True:
            await asyncio.sleep(DRIVER_CHECK_INTERVAL_S)
            try:
                is_driver = await self._records.is_driver()
            except RecordError:
                continue  # unknown for now; correctness does not depend on a single driver
            if not is_driver:
                log.info("step taken over by another node", extra={"step": self.open_step.step})
                self.superseded = True
                async with self._changed:
                    self._changed.notify_all()
                for task in self._generating.values():
                    task.cancel()
                return

    # --- generation

    def _start_sample(self, request: SampleRequest) -> None:
        if request.index in self._generating:
            return
        name = f"sample {self.open_step.step}/{request.index}"
        self._generating[request.index] = self._tasks.start(self._generate_sample(request), name)

    async def _generate_sample(self, request: SampleRequest) -> None:
        try:
            async with self._scheduler.hold_slot(self._queue_position(request)):
                result = await self._generator.generate(
                    SampleJob(self.open_step.step, request),
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
        return queue_position(trainer, self.open_step.step, request.index, expected_tokens)

    async def _commit(self, result: SampleResult) -> None:
        record = await self._retry_until_recorded(lambda: self._records.commit(result))
        if record is None:
            return
        self._apply_record(result.index, record)
        async with self._changed:
            self._changed.notify_all()

    async def _retry_until_recorded(
        self, change: Callable[[], Awaitable[SampleRecord]]
    ) -> SampleRecord | None:
        """Retry a change of a record until it succeeds; return None if the step is too old."""
        backoff = Backoff(RECORD_RETRY_BASE_DELAY_S, RECORD_RETRY_MAX_JITTER_S)
        while True:
            try:
                return await change()
            except RecordExpired:
                log.warning("step is too old to record", extra={"step": self.open_step.step})
                return None
            except RecordError:
                await asyncio.sleep(RECORD_RETRY_BASE_DELAY_S + backoff.next_delay())

    def _apply_record(self, index: int, record: SampleRecord) -> None:
        self._generations[index] = record.generation
        if record.result is not None:
            self._committed[index] = msgspec.json.decode(record.result, type=SampleResult)

    def remaining(self) -> int:
        """Return the number of samples that are neither committed nor acknowledged."""
        return len(self._requests) - len(self._committed.keys() | self._acknowledged)

    # --- delivery

    async def deliver(
        self, received: set[int], trainer_version: int
    ) -> AsyncIterator[SampleResult]:
        """Yield each sample that the trainer has not received, once, until it has all samples.

        The trainer does not change its `trainer_version` while it reads this stream, so the
        staleness bound that is checked here still holds when the trainer receives the sample.
        """
        self.trainer_version = trainer_version
        received = set(received)
        self._acknowledged |= received
        while len(received) < len(self._requests):
            ready = [index for index in self._committed if index not in received]
            for index in ready:
                result = self._committed[index]
                if self._is_stale(result, trainer_version):
                    await self._regenerate(result)
                    continue
                received.add(index)
                result.cursor = format_cursor(received)
                yield result
            if not ready or all(index in received for index in ready):
                await self._wait_for_change(received)
            if self.superseded:
                return

    async def _wait_for_change(self, received: set[int]) -> None:
        async with self._changed:
            if len(received) < len(self._requests) and not self.superseded:
                if not any(index not in received for index in self._committed):
                    await self._changed.wait()

    def _is_stale(self, result: SampleResult, trainer_version: int) -> bool:
        bound = self._target(trainer_version).oldest_allowed
        return oldest_version(result.segments) < bound

    async def _regenerate(self, result: SampleResult) -> None:
        """Drop a committed result that has become too old, and generate the sample again."""
        self.dropped_stale += 1
        log.info(
            "sample dropped as too old",
            extra={"step": result.step, "index": result.index, "generation": result.generation},
        )
        record = await self._retry_until_recorded(
            lambda: self._records.drop_stale(result.index, result.generation)
        )
        self._committed.pop(result.index, None)
        if record is None:
            return
        self._apply_record(result.index, record)
        if result.index not in self._committed:
            self._start_sample(self._requests[result.index])

    def acknowledge(self, received: set[int]) -> bool:
        """Discard the results that the trainer has stored; return whether it has all samples."""
        self._acknowledged |= received
        for index in received:
            self._committed.pop(index, None)
        return len(self._acknowledged) >= len(self._requests)
