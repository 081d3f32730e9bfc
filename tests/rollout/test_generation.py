"""A sample during which samplers crash repeatedly is held back, unless it received new tokens."""

import asyncio
import random

import pytest

from crankseam.cluster.digest import DigestTable
from crankseam.config.kinds import BackEnd, SamplerPool, Trainer
from crankseam.peers.messages import CompletionOutcome
from crankseam.quarantine import holding
from crankseam.rollout import generation
from crankseam.rollout.generation import GenerationTarget, SampleGenerator, SampleJob
from crankseam.rollout.messages import SampleRequest
from crankseam.routing import Router
from crankseam_standins.memory_store import MemoryStore
from tests.quarantine.factories import Process

POOL = SamplerPool(
    kind="SamplerPool",
    name="pool",
    home_region="home",
    samplers=[
        BackEnd(name=f"s-{number}", address=f"127.0.0.1:{number + 1}", zone="z")
        for number in range(6)
    ],
)
TRAINER = Trainer(kind="Trainer", name="trainer", pool="pool", staleness_bound=1)
CRASH = CompletionOutcome([], [], broke="connection lost")


class ScriptedExecutors:
    """Returns the given outcomes in turn; after the last one, each run completes its sample."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)
        self.runs = 0

    async def run(self, address, completion):
        self.runs += 1
        if self.outcomes:
            return self.outcomes.pop(0)
        remaining = completion.max_tokens
        return CompletionOutcome([1] * remaining, [(1, 0, remaining)], finished=True)


class Decisions:
    node = "n"

    def new_id(self):
        return "d"

    def record(self, decision):
        pass


class Probe:
    async def may_receive_work(self, back_end):
        return True


@pytest.fixture
async def process(monkeypatch):
    async def refuses(address):
        return True

    monkeypatch.setattr(generation, "refuses_connections", refuses)
    monkeypatch.setattr("crankseam.routing.CONNECTION_FAILURE_S", 0.0)
    monkeypatch.setattr(holding, "PROBE_RETRY_S", 0.02)
    quarantine_process = await Process(MemoryStore()).ready()
    yield quarantine_process
    await quarantine_process.stop()


async def generate(process, executors):
    router = Router(DigestTable("home"), "z", random.Random(1))
    generator = SampleGenerator(
        executors, router, Decisions(), lambda: True, None, Probe(), process.quarantine
    )
    job = SampleJob(0, SampleRequest(0, "prompt", "", 4))
    target = GenerationTarget(TRAINER, POOL, 1, 1)
    return await generator.generate(job, 0, lambda: target)


async def test_three_ends_without_a_token_hold_it_until_a_probe(process, monkeypatch):
    monkeypatch.setattr(holding, "FIRST_HOLD_S", 0.3)
    executors = ScriptedExecutors([CRASH] * 3)
    running = asyncio.create_task(generate(process, executors))
    await asyncio.sleep(0.2)
    assert executors.runs == 3 and process.table.held_count() == 1
    async with asyncio.timeout(10):
        result = await running
    assert len(result.tokens) == 4 and not len(process.table)


async def test_a_sample_that_made_tokens_in_between_is_no_suspect(process):
    tokens_then_crash = CompletionOutcome([1], [(1, 0, 1)], broke="connection lost")
    executors = ScriptedExecutors([CRASH, CRASH, tokens_then_crash, CRASH, CRASH])
    async with asyncio.timeout(10):
        result = await generate(process, executors)
    assert len(result.tokens) == 4 and not len(process.table)
