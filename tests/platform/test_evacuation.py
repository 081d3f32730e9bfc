"""Nothing more is sent to the samplers of an evacuated zone, until it is taken back.

What happened: the operator writes `op/evacuate/ZONE` to the store, and requests went on to the
zone's samplers. Why: nothing read that key. Found by reading, while it was looked for where else
samplers may come back cold.
"""

import msgspec

from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from tests.platform.deployment import Deployment
from tests.support.waiting import eventually


async def test_a_zone_that_is_evacuated_gets_nothing_until_it_is_taken_back():
    async with Deployment(samplers=2) as deployment:
        away, other = deployment.samplers
        for sampler, zone in ((away, "far"), (other, "z")):
            entry = msgspec.json.decode(sampler.entry()) | {"zone": zone}
            await deployment.put(f"servers/{sampler.instance}", msgspec.json.encode(entry))
        await deployment.configure()
        front = await deployment.start_front()
        await eventually(lambda: front.registry.count() == 2, "both are known")
        service = front.registry.by_id(away.instance).record.service
        await deployment.put("op/evacuate/far", b"{}")
        await eventually(lambda: len(front.registry.of_service(service)) == 1, "one is left")
        await deployment.submit(front, items=12)
        await eventually(lambda: len(other.ran) >= 12, "all went to the other zone")
        assert not away.ran
        await deployment.remove("op/evacuate/far")
        await eventually(lambda: len(front.registry.of_service(service)) == 2, "it is back")


def test_a_back_end_of_an_evacuated_zone_takes_no_new_work_and_stays_known():
    registry = BackEndRegistry()
    registry.update(BackEndRecord("a", "s", "a:1", "z1", 4))
    registry.update(BackEndRecord("b", "s", "a:2", "z2", 4))
    away = registry.by_id("a")
    registry.evacuate("z1")
    assert [one.record.id for one in registry.of_service("s")] == ["b"]
    assert not registry.is_current(away) and registry.is_staying(away)
    assert len(registry.staying_of("s")) == 2, "it counts as supply and carries its models"
    registry.take_back("z1")
    assert registry.is_current(away)
