"""Leader election by a lease with a fencing token."""

import asyncio

import pytest

from crankseam.clients.key_value import KeyValueClient
from crankseam.clients.sampler import OrderRefused, SamplerClient
from crankseam.controllers.duty import Duty
from crankseam_standins.faults import FaultOrder
from crankseam_standins.sampler import SamplerStandin
from crankseam_standins.sampler_parameters import SamplerParameters
from tests.support.harness import MemoryAccount, Platform, eventually, serve


@pytest.fixture
async def platform():
    running = Platform()
    await running.start(apps=0)
    yield running
    await running.stop()


@pytest.fixture
async def compete(platform):
    tasks, clients = [], []

    def start(holder):
        client = KeyValueClient([platform.key_value_address])
        duty = Duty(client, "weights/pool", holder, term=1.0, margin=0.1)
        clients.append(client)
        tasks.append(asyncio.create_task(duty.run()))
        return duty

    yield start
    for task in tasks:
        task.cancel()
    for client in clients:
        await client.close()


async def test_one_holds_it_and_another_takes_over_with_a_higher_fence(platform, compete):
    first = compete("a@1")
    await eventually(first.is_held)
    second = compete("b@1")
    fence = first.fence
    await first.release()
    first._renew_or_acquire = lambda: asyncio.sleep(0)  # paused, competes no more
    await eventually(second.is_held)
    assert second.fence > fence
    assert not first.is_held()


async def test_a_holder_whose_lease_lapsed_stops_by_itself(platform, compete):
    duty = compete("a@1")
    await eventually(duty.is_held)
    platform.key_value.faults.down_until = float("inf")
    await eventually(lambda: not duty.is_held(), "gave up while the service was down")
    platform.key_value._on_fault_order(FaultOrder(lapse_leases=True))
    platform.key_value.faults.down_until = 0.0
    fence = duty.fence
    await eventually(lambda: duty.is_held() and duty.fence != fence, "acquired anew")


async def test_a_coordinator_that_wakes_late_is_refused_by_the_samplers():
    import aiohttp

    sampler = SamplerStandin("s", SamplerParameters(time_scale=1000), 1, MemoryAccount())
    sampler._loaded = [1, 2]
    runner, address = await serve(sampler.application())
    async with aiohttp.ClientSession() as session:
        client = SamplerClient(session, 1.0)
        await client.switch(address, 2, fence=20)
        with pytest.raises(OrderRefused):
            await client.switch(address, 1, fence=10)
    assert sampler.serving == 2
    await runner.cleanup()
