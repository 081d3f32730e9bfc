"""Manages the steps that this node drives, and serves the HTTP interface for trainers.

The service keeps the runs of steps on this node and one scheduler for each pool. This node accepts
requests only while it holds the configuration lease. If the node fails, the trainer has to open its
steps again on another node.
"""

from __future__ import annotations

import logging

import msgspec
from aiohttp import web

from crankseam import clocks
from crankseam.cluster.agent import ClusterAgent
from crankseam.config.kinds import Trainer
from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.errors import BadRequest, NotFound, RecordError, StillRunning, Unavailable
from crankseam.requests import retry_after
from crankseam.requests.bodies import read_decoded
from crankseam.rollout.cursor import parse_cursor
from crankseam.rollout.generation import GenerationTarget, SampleGenerator
from crankseam.rollout.lengths import LengthEstimator
from crankseam.rollout.messages import Acknowledge, OpenStep
from crankseam.rollout.sample_records import STEP_RETENTION_MS, SampleRecords
from crankseam.rollout.scheduler import PoolScheduler
from crankseam.rollout.step_rules import allows_next_step
from crankseam.rollout.step_run import StepRun

log = logging.getLogger(__name__)

MAX_SAMPLES_PER_STEP = 16_384
"""Limits the memory that a step needs on a node and the size of the trainer's cursor."""
MAX_STEP_BYTES = 16 * 1024 * 1024
"""Largest body of a trainer's call."""
MAX_TRAINER_CLOCK_SKEW_MS = 60_000
"""Maximum time by which a trainer's clock may be ahead of the clock of this node."""
JSON_LINES_CONTENT_TYPE = "application/x-ndjson"


class RolloutService:
    """Opens steps, streams their samples and receives the trainers' acknowledgements."""

    def __init__(self, agent: ClusterAgent, generator: SampleGenerator) -> None:
        self._agent = agent
        self._generator = generator
        self._lengths = LengthEstimator()
        self._runs: dict[tuple[str, int], StepRun] = {}
        self._schedulers: dict[str, PoolScheduler] = {}
        self.open_streams = 0
        self.draining = False

    def add_routes(self, app: web.Application) -> None:
        """Register the HTTP routes of the trainer interface."""
        app.router.add_post("/trainers/{trainer}/steps", self.handle_open)
        app.router.add_get("/trainers/{trainer}/steps/{step}/samples", self.handle_stream)
        app.router.add_post("/trainers/{trainer}/steps/{step}/ack", self.handle_acknowledge)

    async def close(self) -> None:
        """Stop all steps; another node takes a step over when its trainer opens the step there."""
        for run in self._runs.values():
            await run.stop()

    # --- opening of steps

    async def handle_open(self, request: web.Request) -> web.Response:
        """POST: open a step on this node, for the first time or again. The body is an `OpenStep`.

        The query contains `version`, the weight version that the trainer will have when it trains
        on the step, and optionally `after`, the trainer's cursor.
        """
        trainer = self._require_trainer(request)
        version = self._read_version(request)
        received = self._read_cursor(request)
        try:
            open_step = msgspec.json.decode(
                await read_decoded(request, MAX_STEP_BYTES), type=OpenStep
            )
        except msgspec.DecodeError as error:
            raise BadRequest(f"step: {error}", OUTCOME_NOT_RUN)
        self._validate_open_step(open_step)
        run = self._runs.get((trainer.name, open_step.step))
        if run is None or run.superseded:
            run = await self._start(trainer, open_step, version, received)
        body = {
            "step": open_step.step,
            "samples": len(open_step.samples),
            "missing": run.remaining(),
        }
        return web.json_response(body)

    def _require_trainer(self, request: web.Request) -> Trainer:
        if self.draining:
            raise Unavailable("this node is stopping", OUTCOME_NOT_RUN, retry_after.STOPPING_S)
        if not self._agent.lease.is_held():
            detail = "this node cannot confirm its configuration"
            raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.CONFIGURATION_UNCONFIRMED_S)
        name = request.match_info["trainer"]
        trainer = self._agent.lease.snapshot.trainers.get(name)
        if trainer is None:
            raise NotFound(f"no trainer {name}", OUTCOME_NOT_RUN)
        return trainer

    @staticmethod
    def _read_version(request: web.Request) -> int:
        raw = request.query.get("version", "")
        if not raw.isdecimal():
            detail = "version: the weight version the trainer will have when it trains on the step"
            raise BadRequest(detail, OUTCOME_NOT_RUN)
        return int(raw)

    @staticmethod
    def _read_cursor(request: web.Request) -> set[int]:
        try:
            return parse_cursor(request.query.get("after", ""))
        except ValueError as error:
            raise BadRequest(f"after: {error}", OUTCOME_NOT_RUN)

    @staticmethod
    def _validate_open_step(open_step: OpenStep) -> None:
        if not 0 < len(open_step.samples) <= MAX_SAMPLES_PER_STEP:
            raise BadRequest(f"samples: 1 to {MAX_SAMPLES_PER_STEP}", OUTCOME_NOT_RUN)
        if [sample.index for sample in open_step.samples] != list(range(len(open_step.samples))):
            raise BadRequest("samples: indices from 0 without gaps", OUTCOME_NOT_RUN)
        age_ms = clocks.wall_ms() - open_step.opened_at_ms
        if age_ms > STEP_RETENTION_MS or age_ms < -MAX_TRAINER_CLOCK_SKEW_MS:
            raise BadRequest("opened_at_ms: a time within the retention", OUTCOME_NOT_RUN)

    async def _start(
        self, trainer: Trainer, open_step: OpenStep, version: int, received: set[int]
    ) -> StepRun:
        records = SampleRecords(self._agent, trainer.name, open_step.step, open_step.opened_at_ms)
        run = StepRun(
            open_step,
            records,
            self._generator,
            self._lengths,
            self._scheduler_for(trainer.pool),
            lambda trainer_version: self._generation_target(trainer.name, trainer_version),
            lambda: self._may_start(trainer.name, open_step.step),
        )
        self._runs[trainer.name, open_step.step] = run
        try:
            await run.start(version, received)
        except RecordError as error:
            del self._runs[trainer.name, open_step.step]
            await run.stop()
            raise Unavailable(
                f"step not recorded: {error}", OUTCOME_UNKNOWN, retry_after.RECORD_UNAVAILABLE_S
            )
        return run

    def _scheduler_for(self, pool_name: str) -> PoolScheduler:
        def capacity() -> int:
            pool = self._agent.lease.snapshot.pools[pool_name]
            return len(pool.samplers) * pool.max_running_per_sampler

        if pool_name not in self._schedulers:
            self._schedulers[pool_name] = PoolScheduler(capacity)
        return self._schedulers[pool_name]

    def _may_start(self, trainer_name: str, step: int) -> bool:
        """Whether all earlier steps of the trainer on this node allow this step to start."""
        trainer = self._agent.lease.snapshot.trainers[trainer_name]
        for (name, earlier), run in self._runs.items():
            if name != trainer_name or earlier >= step or run.superseded:
                continue
            samples = len(run.open_step.samples)
            if not allows_next_step(run.remaining(), samples, trainer.idle_weight):
                return False
        return True

    def _generation_target(self, trainer_name: str, trainer_version: int) -> GenerationTarget:
        snapshot = self._agent.lease.snapshot
        trainer = snapshot.trainers[trainer_name]
        pool = snapshot.pools[trainer.pool]
        limit = snapshot.limit_for(pool.name)
        return GenerationTarget(trainer, pool, trainer_version, snapshot.revision, limit)

    # --- streams and acknowledgements

    def _require_run(self, request: web.Request) -> StepRun:
        trainer = self._require_trainer(request)
        step = request.match_info["step"]
        run = self._runs.get((trainer.name, int(step))) if step.isdecimal() else None
        if run is None or run.superseded:
            raise StillRunning("the step is not open on this node: open it again", OUTCOME_UNKNOWN)
        return run

    async def handle_stream(self, request: web.Request) -> web.StreamResponse:
        """GET `?after=CURSOR&version=N`: stream the samples that are not in the cursor.

        Each sample is one JSON line.
        """
        run = self._require_run(request)
        version = self._read_version(request)
        received = self._read_cursor(request)
        response = web.StreamResponse(headers={"Content-Type": JSON_LINES_CONTENT_TYPE})
        await response.prepare(request)
        self.open_streams += 1
        try:
            async for result in run.deliver(received, version):
                await response.write(msgspec.json.encode(result) + b"\n")
            await response.write_eof()
        except ConnectionError:
            log.info("trainer left its stream", extra={"step": run.open_step.step})
        finally:
            self.open_streams -= 1
        return response

    async def handle_acknowledge(self, request: web.Request) -> web.Response:
        """POST: the trainer has stored these samples. The body is an `Acknowledge`."""
        run = self._require_run(request)
        try:
            body = msgspec.json.decode(
                await read_decoded(request, MAX_STEP_BYTES), type=Acknowledge
            )
            received = parse_cursor(body.cursor)
        except (msgspec.DecodeError, ValueError) as error:
            raise BadRequest(f"acknowledgement: {error}", OUTCOME_NOT_RUN)
        if run.acknowledge(received):
            key = (request.match_info["trainer"], run.open_step.step)
            self._runs.pop(key, None)
            await run.stop()
        return web.json_response({"missing": run.remaining()})
