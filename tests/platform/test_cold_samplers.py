"""A sampler that just started bears few requests a second until it is warm.

All fronts together keep to that, whatever the number of its free slots.
"""

import asyncio

import msgspec

from tests.platform.deployment import Deployment
from tests.support.waiting import eventually

BORNE_PER_S = 12
"""Requests a second that a cold sampler bears; at well above that it falls over."""
OVER = 2
"""Taken as well above."""
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
        assert len(sampler.ran) <= BORNE_PER_S * OVER
