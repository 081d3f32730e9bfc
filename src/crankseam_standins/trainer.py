"""Stand-in for a trainer: opens steps, reads their samples, trains and publishes weights.

The trainer trains on step k while the samples of later steps are generated. For each step it sends
the weight version that it will have when it trains on that step. It writes each sample to a journal
before it counts the sample as received; after a crash it restores its state from the journal.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from crankseam.rollout.cursor import format_cursor
from crankseam.rollout.messages import OpenStep, SampleRequest, SampleResult
from crankseam_standins.account import Account, read_account
from crankseam_standins.sampler import sample_length
from crankseam_standins.sampler_parameters import SamplerParameters

FIRST_VERSION = 1
"""Version of the weights that samplers serve when they start."""
RETRY_DELAY_S = 0.2
"""Delay before a failed call is retried."""
STREAM_READ_TIMEOUT_S = 30.0
"""A stream of samples that delivers nothing for this long is reopened."""


@dataclass(frozen=True)
class TrainerPlan:
    """Workload of the trainer and the addresses of the systems that it uses."""

    name: str
    nodes: list[str]
    store: str
    pool: str
    steps: int
    groups_per_step: int
    samples_per_group: int
    max_tokens: int
    train_seconds: float
    seed: int = 0
    open_ahead: int = 2
    """Number of steps that are open at the same time, including the one that is needed next."""
    hints: bool = False
    """Whether to send the exact length of each sample in advance, as only an oracle could."""
    median_length: int = 200
    """The samplers' parameter of the same name, needed to compute the hints."""


@dataclass
class TrainerReport:
    """Measurements of one run. Times are in seconds."""

    idle: float = 0.0
    first_idle: float = 0.0
    """The part of `idle` before the first step, when there is nothing yet to train on."""
    training: float = 0.0
    step_seconds: list[float] = field(default_factory=list)
    received: int = 0
    reconnects: int = 0
    staleness: list[int] = field(default_factory=list)
    """For each sample, the trainer's version when training on it minus that of its oldest token."""


class TrainerStandin:
    """Runs the workload of a plan, resuming from the journal if there is one."""

    def __init__(self, plan: TrainerPlan, journal: Path | None) -> None:
        self._plan = plan
        self._journal_path = journal
        self._journal = Account(journal)
        self._nodes = itertools.cycle(plan.nodes)
        self._node = next(self._nodes)
        self._received: dict[int, set[int]] = {}
        self._opened_at: dict[int, int] = {}
        self._first_step = 0
        self.version = FIRST_VERSION
        self._collecting: dict[int, asyncio.Task[None]] = {}
        self._oldest_versions: dict[int, list[int]] = {}
        self.report = TrainerReport()

    def _restore(self) -> None:
        """Restore the state of an earlier run from the journal."""
        for entry in read_account(self._journal_path) if self._journal_path else []:
            if entry["event"] == "opened":
                self._opened_at[entry["step"]] = entry["at_ms"]
            if entry["event"] == "sample":
                self._received.setdefault(entry["step"], set()).add(entry["index"])
            if entry["event"] == "version":
                self.version = entry["version"]
            if entry["event"] == "trained":
                self._first_step = entry["step"] + 1

    async def run(self) -> TrainerReport:
        """Run all remaining steps of the plan and return the report."""
        self._restore()
        async with aiohttp.ClientSession() as self._session:
            await self._publish()
            for step in range(self._first_step, self._plan.steps):
                self._start_collecting(step)
                waited_from = time.monotonic()
                await self._collecting.pop(step)
                waited = time.monotonic() - waited_from
                self.report.idle += waited
                if step == self._first_step:
                    self.report.first_idle = waited
                self._start_collecting(step + 1)
                # Yield to the event loop, so that later steps are requested before training starts.
                await asyncio.sleep(0)
                await self._train(step)
        self._journal.close()
        return self.report

    def _start_collecting(self, step: int) -> None:
        """Start collecting this step and the next ones, `open_ahead` steps in total."""
        last = min(step + self._plan.open_ahead, self._plan.steps)
        for number in range(step, last):
            if number not in self._collecting:
                self._collecting[number] = asyncio.create_task(self._collect(number))

    def version_for(self, step: int) -> int:
        """Return the version that the trainer will have at a step; staleness is relative to it."""
        return FIRST_VERSION + step

    async def _train(self, step: int) -> None:
        oldest = self._oldest_versions.pop(step, [])
        self.report.staleness += [self.version - version for version in oldest]
        await asyncio.sleep(self._plan.train_seconds)
        self.report.training += self._plan.train_seconds
        self._journal.append({"event": "trained", "step": step, "at": time.time()})
        self.version = self.version_for(step + 1)
        self._journal.append({"event": "version", "version": self.version, "at": time.time()})
        await self._publish()

    async def _publish(self) -> None:
        url = f"http://{self._plan.store}/_publish/{self._plan.pool}/{self.version}"
        while True:
            try:
                async with self._session.post(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass  # retried until the store accepts the version
            await asyncio.sleep(RETRY_DELAY_S)

    # --- one step

    def samples(self, step: int) -> list[SampleRequest]:
        """Return the sample requests of a step, which depend only on the plan and the step."""
        samples: list[SampleRequest] = []
        for group in range(self._plan.groups_per_step):
            # Groups recur in later steps, as the prompts of a data set recur in later epochs.
            group_name = f"{self._plan.name}-{self._plan.seed}-{(step * 7 + group) % 97}"
            for member in range(self._plan.samples_per_group):
                shared = " ".join(f"{group_name}w{word}" for word in range(32))
                prompt = f"{group_name}|{shared} step {step} member {member}"
                samples.append(
                    SampleRequest(
                        len(samples),
                        prompt,
                        group_name,
                        self._plan.max_tokens,
                        self._length_hint(prompt),
                    )
                )
        return samples

    def _length_hint(self, prompt: str) -> int:
        if not self._plan.hints:
            return 0
        parameters = SamplerParameters(median_length=self._plan.median_length)
        return sample_length(parameters, prompt, self._plan.max_tokens)

    async def _collect(self, step: int) -> None:
        """Open the step and read until all samples are received, trying the nodes in turn."""
        started = time.monotonic()
        samples = self.samples(step)
        if step not in self._opened_at:
            self._opened_at[step] = time.time_ns() // 1_000_000
            self._journal.append(
                {
                    "event": "opened",
                    "step": step,
                    "at_ms": self._opened_at[step],
                    "samples": len(samples),
                }
            )
        received = self._received.setdefault(step, set())
        while len(received) < len(samples):
            node = self._node
            is_complete = await self._read_once(node, step, samples, received)
            if not is_complete and len(received) < len(samples):
                self.report.reconnects += 1
                if node == self._node:
                    self._node = next(self._nodes)
                await asyncio.sleep(RETRY_DELAY_S)
        await self._acknowledge(step, received)
        self.report.step_seconds.append(time.monotonic() - started)

    async def _read_once(
        self, node: str, step: int, samples: list[SampleRequest], received: set[int]
    ) -> bool:
        """Open the step and read its samples at one node; return whether all were received."""
        version = self.version_for(step)
        base = f"http://{node}/trainers/{self._plan.name}/steps"
        query = {"version": str(version), "after": format_cursor(received)}
        opening = OpenStep(step, self._opened_at[step], samples)
        timeout = aiohttp.ClientTimeout(total=None, sock_read=STREAM_READ_TIMEOUT_S)
        try:
            body = msgspec.json.encode(opening)
            async with self._session.post(base, params=query, data=body, timeout=timeout) as answer:
                if answer.status != 200:
                    return False
            url = f"{base}/{step}/samples"
            async with self._session.get(url, params=query, timeout=timeout) as answer:
                if answer.status != 200:
                    return False
                async for line in answer.content:
                    self._record_sample(line, step, version, received)
        except (aiohttp.ClientError, TimeoutError, ConnectionError, ValueError):
            return False  # the stream broke; the caller requests the rest from another node
        return len(received) == len(samples)

    def _record_sample(self, line: bytes, step: int, version: int, received: set[int]) -> None:
        result = msgspec.json.decode(line, type=SampleResult)
        # Written to the journal before it counts; duplicates too, so that the auditor sees them.
        self._journal.append(
            {
                "event": "sample",
                "step": step,
                "index": result.index,
                "tokens": result.tokens,
                "segments": [[s.version, s.start, s.end] for s in result.segments],
                "trainer_version": version,
                "at": time.time(),
            }
        )
        received.add(result.index)
        self.report.received += 1
        self._oldest_versions.setdefault(step, []).append(min(s.version for s in result.segments))

    async def _acknowledge(self, step: int, received: set[int]) -> None:
        url = f"http://{self._node}/trainers/{self._plan.name}/steps/{step}/ack"
        body = msgspec.json.encode({"cursor": format_cursor(received)})
        try:
            async with self._session.post(url, data=body):
                pass
        except aiohttp.ClientError:
            pass  # an acknowledgement only lets the node free memory earlier
