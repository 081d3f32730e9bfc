import asyncio
from dataclasses import replace

import pytest

from crankseam.orders import loads as loads_module
from crankseam.orders import version_coordinator as module
from crankseam.orders.demand import UnknownDemand
from crankseam.orders.messages import RunningRequests, SamplerReport
from crankseam.orders.version_coordinator import VersionCoordinator
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from tests.support.clock import FakeClock
from tests.support.waiting import eventually

MODELS = ["a", "b", "c"]


class Holder:
    """The right to give orders, always held."""

    def is_vacant(self):
        return False

    def may_try(self):
        return False

    def fence(self):
        return 7


class Loads:
    """Samplers whose loads never end; remembers which were ordered."""

    def __init__(self):
        self.loading = {}

    async def report(self, back_end):
        busy = back_end.record.id in self.loading
        return SamplerReport(dict(back_end.record.versions), busy, 0)

    async def order_version(self, back_end, order):
        assert back_end.record.id not in self.loading
        self.loading[back_end.record.id] = order.model


class Demand(UnknownDemand):
    """Jobs that any version from `needed` on may serve."""

    def __init__(self, needed):
        self.needed = needed

    def needed_version(self, model):
        return self.needed


def coordinator_of(samplers, models, demand=None):
    registry = BackEndRegistry()
    for number in range(samplers):
        versions = dict.fromkeys(models, 1)
        registry.update(
            BackEndRecord(f"i-{number:02d}", "svc", "127.0.0.1:1", "z", 8, versions=versions)
        )
    loads = Loads()
    running = RunningRequests.BREAK_OFF
    return VersionCoordinator(
        registry, loads, Holder(), "p", lambda _: running, demand=demand
    ), loads


@pytest.mark.parametrize(("samplers", "models", "at_once"), [(5, 2, 2), (6, 1, 2), (23, 3, 6)])
async def test_loads_at_a_time_grow_with_the_service(samplers, models, at_once):
    coordinator, loads = coordinator_of(samplers, MODELS[:models])
    for model in MODELS[:models]:
        coordinator.version_named(model, 2)
    running = asyncio.create_task(coordinator.run())
    try:
        await eventually(lambda: len(loads.loading) >= at_once)
        for _ in range(5):
            await asyncio.sleep(0.1)
            assert len(loads.loading) == at_once
    finally:
        running.cancel()


async def test_a_model_that_is_named_later_keeps_its_share_of_the_fast_samplers():
    coordinator, loads = coordinator_of(24, MODELS)
    fast = {f"i-{number:02d}" for number in range(16)}
    coordinator._paces.told("runner", {key: 0.05 for key in fast})
    slow = {f"i-{number:02d}": 0.066 for number in range(16, 24)}
    coordinator._paces.told("other", slow)
    coordinator.version_named("a", 2)
    running = asyncio.create_task(coordinator.run())
    try:
        await eventually(lambda: coordinator._carriers().get("a"))
        carriers = {one.record.id for one in coordinator._carriers()["a"]}
        assert len(carriers) == 8 and len(carriers & fast) in (5, 6)
        await eventually(lambda: loads.loading)
        assert loads.loading.keys() <= carriers - fast, "slow ones are loaded first"
    finally:
        running.cancel()


def due_ids(coordinator, model="a"):
    coordinator._named[model] = replace(coordinator._named[model], load_not_before=0.0)
    back_ends = coordinator._registry.of_service("svc")
    return [one.record.id for one in coordinator._due(model, back_ends)]


async def test_where_jobs_allow_an_older_version_a_part_of_the_samplers_loads_each():
    """A load that serves two jobs is needed half as often, and breaks off half as many runs."""
    demand = Demand(needed=1)
    coordinator, _ = coordinator_of(6, MODELS[:1], demand)
    coordinator.version_named("a", 2)
    first = due_ids(coordinator)
    assert len(first) == 3, "half, so that not all come due at once"
    for key in first:
        coordinator._registry.by_id(key).observed_versions["a"] = 2
    assert due_ids(coordinator) == []
    demand.needed = 2
    coordinator.version_named("a", 3)
    second = due_ids(coordinator)
    assert set(second) == {f"i-{number:02d}" for number in range(6)} - set(first)


@pytest.mark.parametrize(("models", "late"), [(1, 12), (2, 6)])
async def test_late_in_a_step_as_many_load_as_cost_nothing(monkeypatch, models, late):
    """Else half of the samplers would be too old for the next step, and load as it begins."""
    clock = FakeClock()
    monkeypatch.setattr(module, "time", clock)
    coordinator, _ = coordinator_of(12, MODELS[:models], Demand(needed=1))
    coordinator.version_named("a", 1)
    clock.now += 10.0
    coordinator.version_named("a", 2)
    clock.now += 0.5 * loads_module.LATE_STEP_FRACTION * 10.0
    assert len(due_ids(coordinator)) == 6
    for key in due_ids(coordinator):
        coordinator._registry.by_id(key).observed_versions["a"] = 2
    assert due_ids(coordinator) == []
    clock.now += 0.6 * loads_module.LATE_STEP_FRACTION * 10.0
    assert len(due_ids(coordinator)) == late - 6


async def test_a_sampler_that_can_not_serve_the_newest_job_loads_without_delay():
    coordinator, _ = coordinator_of(6, MODELS[:1], Demand(needed=2))
    coordinator.version_named("a", 3)
    back_ends = coordinator._registry.of_service("svc")
    back_ends[0].observed_versions["a"] = 2
    assert coordinator._named["a"].load_not_before > 0.0 and back_ends[0] not in coordinator._due(
        "a", back_ends
    )
    assert len(coordinator._due("a", back_ends)) == 5


@pytest.mark.parametrize("needed", [2, 7, None])
async def test_without_an_older_version_allowed_all_samplers_load(needed):
    coordinator, _ = coordinator_of(6, MODELS[:1], Demand(needed))
    coordinator.version_named("a", 2)
    assert len(due_ids(coordinator)) == 6


async def test_a_model_that_no_sampler_carries_any_more_stops_no_other_model(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(module, "time", clock)
    coordinator, loads = coordinator_of(4, ["a"])
    for version in (1, 2):
        coordinator.version_named("gone", version)
        clock.now += 10.0
    coordinator.version_named("a", 2)
    await coordinator._look()
    await eventually(lambda: loads.loading)
    assert set(loads.loading.values()) == {"a"}
