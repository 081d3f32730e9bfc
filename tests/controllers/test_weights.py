"""The weight coordinator: staging, switching, failed loads, and the load on the weight store."""

import aiohttp
import pytest

from crankseam.config.kinds import BackEnd, SamplerPool, WeightPolicy
from crankseam.node import Node
from crankseam_standins.sampler import SamplerStandin
from crankseam_standins.sampler_parameters import SamplerParameters
from crankseam_standins.weight_store import WeightStoreStandin
from tests.support.harness import (
    ZONES,
    MemoryAccount,
    Platform,
    eventually,
    serve,
    settings_for,
)

PARAMETERS = SamplerParameters(time_scale=200.0, report_lag=0.0)
SAMPLERS = 4


class Weights:
    """A node, a weight store and samplers under one weight policy."""

    def __init__(self) -> None:
        self.platform = Platform()
        self.store = WeightStoreStandin()
        self.samplers: list[SamplerStandin] = []
        self.runners: list = []

    async def start(self, data_folder) -> None:
        await self.platform.start(apps=1)
        runner, store_address = await serve(self.store.application())
        self.runners.append(runner)
        back_ends = []
        for number in range(SAMPLERS):
            sampler = SamplerStandin(f"sampler-{number}", PARAMETERS, 1, MemoryAccount())
            runner, address = await serve(sampler.application())
            self.runners.append(runner)
            self.samplers.append(sampler)
            back_ends.append(BackEnd(name=sampler.name, address=address, zone=ZONES[0]))
        pool = SamplerPool(kind="SamplerPool", name="pool", home_region="home", samplers=back_ends)
        policy = WeightPolicy(
            kind="WeightPolicy", name="weights", pool="pool", store=store_address, load_attempts=2
        )
        await self.platform.apply([pool, policy])
        settings = settings_for(0, self.platform, [], data_folder=data_folder)
        timing = settings.timing.model_copy(update={"weights_poll": 0.05})
        self.node = Node(settings.model_copy(update={"timing": timing}))
        await self.node.start()
        await eventually(self.node.is_ready)
        self.store_address = store_address

    async def publish(self, version: int) -> None:
        async with aiohttp.ClientSession() as session:
            await session.post(f"http://{self.store_address}/_publish/pool/{version}")

    def serving(self) -> list[int]:
        return [sampler.serving for sampler in self.samplers]

    def candidates(self):
        pool = self.node.agent.lease.snapshot.pools["pool"]
        return {c.name: c for c in self.node.router.choose("pool", pool.samplers).candidates}

    async def stop(self) -> None:
        await self.node.close()
        for runner in self.runners:
            await runner.cleanup()
        await self.platform.stop()


@pytest.fixture
async def weights():
    running = Weights()
    await running.start(None)
    yield running
    await running.stop()


@pytest.fixture
async def caching(tmp_path):
    running = Weights()
    await running.start(tmp_path)
    yield running
    await running.stop()


async def test_a_published_version_is_staged_and_served_by_all(weights):
    await weights.publish(2)
    await eventually(lambda: weights.serving() == [2] * SAMPLERS, "all switched")


async def test_failed_loads_are_retried_then_the_sampler_is_set_aside_with_a_reason(weights):
    weights.samplers[0].faults.fail_loads = 10_000
    await weights.publish(2)
    await eventually(lambda: weights.serving()[1:] == [2] * (SAMPLERS - 1), "others switched")
    await eventually(
        lambda: "set aside" in (weights.candidates()["sampler-0"].refused or ""), "set aside"
    )
    [decision, *_] = await weights.node.decisions.find("sampler-0")
    assert decision.kind == "set_aside"
    assert "loads of 2 failed" in decision.reason
    weights.samplers[0].faults.fail_loads = 0
    await eventually(lambda: weights.serving() == [2] * SAMPLERS, "brought back")
    await eventually(lambda: weights.candidates()["sampler-0"].refused is None, "in routing")


async def test_caching_nodes_spare_the_store(caching):
    before = caching.store.reads
    await caching.publish(2)
    await eventually(lambda: caching.serving() == [2] * SAMPLERS, "all switched")
    assert caching.store.reads - before == 1


async def test_a_store_that_throttles_delays_and_loses_nothing(weights):
    weights.store.faults.rate = 2.0
    await weights.publish(2)
    await eventually(lambda: weights.serving() == [2] * SAMPLERS, "all switched")


async def test_a_sampler_that_was_started_anew_gets_the_weights_again(weights):
    await weights.publish(2)
    await eventually(lambda: weights.serving() == [2] * SAMPLERS, "all switched")
    weights.samplers[1].serving = 1
    weights.samplers[1]._loaded = [1]
    await eventually(lambda: weights.serving() == [2] * SAMPLERS, "switched again")


async def test_samplers_are_not_asked_while_nothing_changes(weights):
    """Guards against queries in every round: docs/CAPACITY.md showed that 200 samplers were queried
    all the time."""
    await weights.publish(2)
    await eventually(lambda: weights.serving() == [2] * SAMPLERS, "all switched")
    [(coordinator, _task)] = weights.node.weights._coordinators.values()
    asked = []
    state = coordinator._sampler.state

    async def count(address):
        asked.append(address)
        return await state(address)

    coordinator._sampler.state = count
    rounds = []
    target_version = coordinator._target_version

    async def count_rounds(policy):
        rounds.append(policy)
        return await target_version(policy)

    coordinator._target_version = count_rounds
    await eventually(lambda: len(rounds) > 20)
    assert asked == []
