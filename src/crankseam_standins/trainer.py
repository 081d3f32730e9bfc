"""Stand-in of a trainer: opens steps, reads their samples, trains, publishes weights.

It trains on step k while the steps after it are generated, and states for each step the version it
will have when it trains on it. What it received it writes to a journal before it
counts it as received; after a crash the journal is its truth.
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
"""The weights that samplers serve when they start."""
RETRY_S = 0.2
"""Before a call that failed is made again."""
STREAM_SILENCE_S = 30.0
"""A stream of samples that is silent for so long is opened anew."""


@dataclass(frozen=True)
class TrainerPlan:
    """What the trainer does."""

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
    """Steps that are asked for at a time: the one that is needed next, and those after it."""
    hints: bool = False
    """Whether to tell each sample's exact length beforehand, as only an oracle could."""
    median_length: int = 200
    """The samplers' parameter, needed for hints."""


@dataclass
class TrainerReport:
    """Times of one run, in seconds."""

    idle: float = 0.0
    first_idle: float = 0.0
    """The part of it before the first step, which nothing can be trained on meanwhile."""
    training: float = 0.0
    step_seconds: list[float] = field(default_factory=list)
    received: int = 0
    reconnects: int = 0
    staleness: list[int] = field(default_factory=list)
    """For each sample, versions between its oldest token and the trainer when it trained on it."""


class TrainerStandin:
    """Runs a plan to its end."""

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
        self._oldest: dict[int, list[int]] = {}
        self.report = TrainerReport()

    def _restore(self) -> None:
        """Take up from the journal what an earlier run received."""
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
        """Carry the plan out."""
        self._restore()
        async with aiohttp.ClientSession() as self._session:
            await self._publish()
            for step in range(self._first_step, self._plan.steps):
                self._collect_ahead(step)
                waited_from = time.monotonic()
                await self._collecting.pop(step)
                waited = time.monotonic() - waited_from
                self.report.idle += waited
                if step == self._first_step:
                    self.report.first_idle = waited
                self._collect_ahead(step + 1)
                # One turn, so that the steps ahead are asked for before training begins.
                await asyncio.sleep(0)
                await self._train(step)
        self._journal.close()
        return self.report

    def _collect_ahead(self, step: int) -> None:
        """Ask for this step and those after it, as far ahead as the plan says."""
        last = min(step + self._plan.open_ahead, self._plan.steps)
        for number in range(step, last):
            if number not in self._collecting:
                self._collecting[number] = asyncio.create_task(self._collect(number))

    def version_for(self, step: int) -> int:
        """The version that the trainer has when it trains on a step: the bound is held to it."""
        return FIRST_VERSION + step

    async def _train(self, step: int) -> None:
        oldest = self._oldest.pop(step, [])
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
                pass  # the store did not take it: tried again until it does
            await asyncio.sleep(RETRY_S)

    # --- one step

    def samples(self, step: int) -> list[SampleRequest]:
        """The samples of a step; the same for the same plan."""
        samples: list[SampleRequest] = []
        for group in range(self._plan.groups_per_step):
            # Groups come back in later steps, as prompts of a data set do in later epochs.
            group_name = f"{self._plan.name}-{self._plan.seed}-{(step * 7 + group) % 97}"
            for member in range(self._plan.samples_per_group):
                shared = " ".join(f"{group_name}w{word}" for word in range(32))
                prompt = f"{group_name}|{shared} step {step} member {member}"
                samples.append(
                    SampleRequest(
                        len(samples), prompt, group_name, self._plan.max_tokens, self._hint(prompt)
                    )
                )
        return samples

    def _hint(self, prompt: str) -> int:
        if not self._plan.hints:
            return 0
        parameters = SamplerParameters(median_length=self._plan.median_length)
        return sample_length(parameters, prompt, self._plan.max_tokens)

    async def _collect(self, step: int) -> None:
        """Open the step and read until it is whole, through whatever node answers."""
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
            came_through = await self._read_once(node, step, samples, received)
            if not came_through and len(received) < len(samples):
                self.report.reconnects += 1
                if node == self._node:
                    self._node = next(self._nodes)
                await asyncio.sleep(RETRY_S)
        await self._acknowledge(step, received)
        self.report.step_seconds.append(time.monotonic() - started)

    async def _read_once(
        self, node: str, step: int, samples: list[SampleRequest], received: set[int]
    ) -> bool:
        """Open and read through one node; False when it broke off."""
        version = self.version_for(step)
        base = f"http://{node}/trainers/{self._plan.name}/steps"
        query = {"version": str(version), "after": format_cursor(received)}
        opening = OpenStep(step, self._opened_at[step], samples)
        timeout = aiohttp.ClientTimeout(total=None, sock_read=STREAM_SILENCE_S)
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
                    self._take(line, step, version, received)
        except (aiohttp.ClientError, TimeoutError, ConnectionError, ValueError):
            return False  # the stream broke: the caller asks another node for what is missing
        return len(received) == len(samples)

    def _take(self, line: bytes, step: int, version: int, received: set[int]) -> None:
        result = msgspec.json.decode(line, type=SampleResult)
        # Journalled first, duplicates too: the auditor must be able to see them.
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
        self._oldest.setdefault(step, []).append(min(s.version for s in result.segments))

    async def _acknowledge(self, step: int, received: set[int]) -> None:
        url = f"http://{self._node}/trainers/{self._plan.name}/steps/{step}/ack"
        body = msgspec.json.encode({"cursor": format_cursor(received)})
        try:
            async with self._session.post(url, data=body):
                pass
        except aiohttp.ClientError:
            pass  # acknowledging only frees memory early
