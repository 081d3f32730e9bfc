"""The samplers of an evacuated zone get no new requests until the evacuation is withdrawn.

Guards against requests that still reach a zone after the operator wrote `op/evacuate/ZONE` to the
store, because no component reads that key.
"""

import msgspec

from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from tests.platform.deployment import Deployment
from tests.support.waiting import eventually


async def test_a_zone_that_is_evacuated_gets_nothing_until_it_is_taken_back():
    async with Deployment(samplers=2) as deployment:
        evacuated, other = deployment.samplers
        for sampler, zone in ((evacuated, "far"), (other, "z")):
            entry = msgspec.json.decode(sampler.entry()) | {"zone": zone}
            await deployment.put(f"servers/{sampler.instance}", msgspec.json.encode(entry))
        await deployment.configure()
        front = await deployment.start_front()
        await eventually(lambda: front.registry.count() == 2, "both samplers are known")
        service = front.registry.by_id(evacuated.instance).record.service
        await deployment.put("op/evacuate/far", b"{}")
        await eventually(
            lambda: len(front.registry.of_service(service)) == 1, "one sampler is left"
        )
        await deployment.submit(front, items=12)
        await eventually(lambda: len(other.ran) >= 12, "all items went to the other zone")
        assert not evacuated.ran
        await deployment.remove("op/evacuate/far")
        await eventually(
            lambda: len(front.registry.of_service(service)) == 2, "both samplers are back"
        )


def test_a_back_end_of_an_evacuated_zone_takes_no_new_work_and_stays_known():
    registry = BackEndRegistry()
    registry.update(BackEndRecord("a", "s", "a:1", "z1", 4))
    registry.update(BackEndRecord("b", "s", "a:2", "z2", 4))
    evacuated = registry.by_id("a")
    registry.evacuate("z1")
    assert [one.record.id for one in registry.of_service("s")] == ["b"]
    assert not registry.is_current(evacuated) and registry.is_not_leaving(evacuated)
    assert len(registry.not_leaving("s")) == 2, "it counts as supply and has its models"
    registry.revoke_evacuation("z1")
    assert registry.is_current(evacuated)
