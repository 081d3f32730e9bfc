"""A cold sampler receives no more requests per second than it can handle.

A sampler that just started handles few requests per second until it is warm, however many free
slots it has. All fronts together must keep to that rate.
"""

import asyncio

import msgspec

from tests.platform.deployment import Deployment
from tests.support.waiting import eventually

COLD_REQUESTS_PER_S = 12
"""Requests per second that a cold sampler can handle; it crashes at well above that rate."""
OVERLOAD_FACTOR = 2
"""The test fails if the rate exceeds the limit by this factor."""
SLOTS = 40


async def test_a_cold_sampler_gets_no_more_requests_in_a_second_than_it_bears():
    async with Deployment(samplers=1) as deployment:
        sampler = deployment.samplers[0]
        sampler.slots = SLOTS
        sampler.faults.delay = 30.0
        entry = msgspec.json.decode(sampler.entry()) | {"cold_left_ms": 3000}
        await deployment.put(f"servers/{sampler.instance}", msgspec.json.encode(entry))
        await deployment.configure()
        front = await deployment.start_front()
        await deployment.submit(front, items=SLOTS + 20)
        await eventually(lambda: sampler.ran, "the first item is sent")
        await asyncio.sleep(1.0)
        assert len(sampler.ran) <= COLD_REQUESTS_PER_S * OVERLOAD_FACTOR
