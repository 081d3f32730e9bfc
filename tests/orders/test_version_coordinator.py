import asyncio
from dataclasses import replace

import pytest

from crankseam.orders import loads as loads_module
from crankseam.orders import version_coordinator as coordinator_module
from crankseam.orders.demand import UnknownDemand
from crankseam.orders.messages import RunningRequests, SamplerReport
from crankseam.orders.version_coordinator import VersionCoordinator
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from tests.support.clock import FakeClock
from tests.support.waiting import eventually

MODELS = ["a", "b", "c"]


class HeldDuty:
    """Duty that this process always holds."""

    def is_vacant(self):
        return False

    def may_acquire(self):
        return False

    def fence(self):
        return 7


class StalledSamplerControl:
    """Records the orders to samplers, whose loads never end."""

    def __init__(self):
        self.loading = {}

    async def report(self, back_end):
        busy = back_end.record.id in self.loading
        return SamplerReport(dict(back_end.record.versions), busy, 0)

    async def order_version(self, back_end, order):
        assert back_end.record.id not in self.loading
        self.loading[back_end.record.id] = order.model


class FixedDemand(UnknownDemand):
    """Demand of jobs that any version from `needed` on may serve."""

    def __init__(self, needed):
        self.needed = needed

    def min_usable_version(self, model):
        return self.needed


def make_coordinator(samplers, models, demand=None):
    registry = BackEndRegistry()
    for number in range(samplers):
        versions = dict.fromkeys(models, 1)
        registry.update(
            BackEndRecord(f"i-{number:02d}", "svc", "127.0.0.1:1", "z", 8, versions=versions)
        )
    control = StalledSamplerControl()
    running = RunningRequests.BREAK_OFF
    return VersionCoordinator(
        registry, control, HeldDuty(), "p", lambda _: running, demand=demand
    ), control


@pytest.mark.parametrize(("samplers", "models", "max_loads"), [(5, 2, 2), (6, 1, 2), (23, 3, 6)])
async def test_loads_at_a_time_grow_with_the_service(samplers, models, max_loads):
    coordinator, control = make_coordinator(samplers, MODELS[:models])
    for model in MODELS[:models]:
        coordinator.version_announced(model, 2)
    running = asyncio.create_task(coordinator.run())
    try:
        await eventually(lambda: len(control.loading) >= max_loads)
        for _ in range(5):
            await asyncio.sleep(0.1)
            assert len(control.loading) == max_loads
    finally:
        running.cancel()


async def test_a_model_that_is_named_later_keeps_its_share_of_the_fast_samplers():
    coordinator, control = make_coordinator(24, MODELS)
    fast = {f"i-{number:02d}" for number in range(16)}
    coordinator._paces.update_from_process("runner", {key: 0.05 for key in fast})
    slow = {f"i-{number:02d}": 0.066 for number in range(16, 24)}
    coordinator._paces.update_from_process("other", slow)
    coordinator.version_announced("a", 2)
    running = asyncio.create_task(coordinator.run())
    try:
        await eventually(lambda: coordinator._assignment().get("a"))
        assigned = {back_end.record.id for back_end in coordinator._assignment()["a"]}
        assert len(assigned) == 8 and len(assigned & fast) in (5, 6)
        await eventually(lambda: control.loading)
        assert control.loading.keys() <= assigned - fast, "slow samplers load first"
    finally:
        running.cancel()


def due_ids(coordinator, model="a"):
    coordinator._newest[model] = replace(coordinator._newest[model], load_after=0.0)
    back_ends = coordinator._registry.of_service("svc")
    return [back_end.record.id for back_end in coordinator._find_due(model, back_ends)]


async def test_where_jobs_allow_an_older_version_a_part_of_the_samplers_loads_each():
    """If a load serves two jobs, half as many loads are needed and half as many runs broken off."""
    demand = FixedDemand(needed=1)
    coordinator, _ = make_coordinator(6, MODELS[:1], demand)
    coordinator.version_announced("a", 2)
    first = due_ids(coordinator)
    assert len(first) == 3, "half of them, so that not all samplers are due at the same time"
    for key in first:
        coordinator._registry.by_id(key).observed_versions["a"] = 2
    assert due_ids(coordinator) == []
    demand.needed = 2
    coordinator.version_announced("a", 3)
    second = due_ids(coordinator)
    assert set(second) == {f"i-{number:02d}" for number in range(6)} - set(first)


@pytest.mark.parametrize(("models", "late"), [(1, 12), (2, 6)])
async def test_late_in_a_step_as_many_load_as_cost_nothing(monkeypatch, models, late):
    """Without late loads, half of the samplers have too old a version when the next step begins.

    They would then load as that step begins.
    """
    clock = FakeClock()
    monkeypatch.setattr(coordinator_module, "time", clock)
    coordinator, _ = make_coordinator(12, MODELS[:models], FixedDemand(needed=1))
    coordinator.version_announced("a", 1)
    clock.now += 10.0
    coordinator.version_announced("a", 2)
    clock.now += 0.5 * loads_module.LATE_STEP_FRACTION * 10.0
    assert len(due_ids(coordinator)) == 6
    for key in due_ids(coordinator):
        coordinator._registry.by_id(key).observed_versions["a"] = 2
    assert due_ids(coordinator) == []
    clock.now += 0.6 * loads_module.LATE_STEP_FRACTION * 10.0
    assert len(due_ids(coordinator)) == late - 6


async def test_a_sampler_that_can_not_serve_the_newest_job_loads_without_delay():
    coordinator, _ = make_coordinator(6, MODELS[:1], FixedDemand(needed=2))
    coordinator.version_announced("a", 3)
    back_ends = coordinator._registry.of_service("svc")
    back_ends[0].observed_versions["a"] = 2
    assert coordinator._newest["a"].load_after > 0.0 and back_ends[0] not in coordinator._find_due(
        "a", back_ends
    )
    assert len(coordinator._find_due("a", back_ends)) == 5


@pytest.mark.parametrize("needed", [2, 7, None])
async def test_without_an_older_version_allowed_all_samplers_load(needed):
    coordinator, _ = make_coordinator(6, MODELS[:1], FixedDemand(needed))
    coordinator.version_announced("a", 2)
    assert len(due_ids(coordinator)) == 6


async def test_a_model_that_no_sampler_carries_any_more_stops_no_other_model(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(coordinator_module, "time", clock)
    coordinator, control = make_coordinator(4, ["a"])
    for version in (1, 2):
        coordinator.version_announced("gone", version)
        clock.now += 10.0
    coordinator.version_announced("a", 2)
    await coordinator._reconcile()
    await eventually(lambda: control.loading)
    assert set(control.loading.values()) == {"a"}
