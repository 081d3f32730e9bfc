import asyncio
from contextlib import AsyncExitStack

import pytest

from crankseam.coordination.duty import Duty, DutyRefused, DutyUnanswered
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import Put, Transaction
from crankseam.coordination.process_lease import ProcessLease
from crankseam.scaling import actor as actor_module
from crankseam.scaling import demand as demand_module
from crankseam.scaling import ordering as ordering_module
from crankseam.scaling import supply as supply_module
from crankseam.scaling.actor import SamplerAutoscaler
from crankseam.scaling.model import OrderConflict, ScalingBounds
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.routes import Configuration, ServiceDefinition
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually

ZONES = ("a", "b")
BOUNDS = ScalingBounds(1, 4, 0.05, 0.2, {"a": 1.0, "b": 0.8})
CONFIGURATION = Configuration(1, services={"llm": ServiceDefinition("llm", scaling=BOUNDS)})


class FakeProvisioner:
    """Accepts orders as the platform does; samplers serve at once, unless the zone is exhausted."""

    def __init__(self, registries):
        self.registries = registries
        self.calls = []
        self.desired = {}
        self.highest_fences = {}
        self.exhausted = set()
        self.failures = []

    async def order_samplers(self, order, holder, fence):
        failure = self.failures.pop(0) if self.failures else None
        if failure is DutyRefused:
            raise DutyRefused("throttled")
        subject = (order.service, order.zone)
        if fence < self.highest_fences.get(subject, 0):
            raise OrderConflict
        self.highest_fences[subject] = fence
        self.calls.append((holder, fence, order.zone, order.kind, order.count))
        if order.zone in self.exhausted:
            raise OrderConflict
        self.desired[order.zone] = order.count
        self.fill(order.zone)
        if failure is DutyUnanswered:
            raise DutyUnanswered("lost")

    def fill(self, zone):
        for registry in self.registries:
            for number in range(self.desired[zone]):
                registry.update(record(f"spot-{zone}-{number}", zone, is_spot=True))

    def reclaim(self, zone):
        for registry in self.registries:
            for number in range(self.desired[zone]):
                registry.remove(f"spot-{zone}-{number}")


def record(name, zone, is_spot=False):
    return BackEndRecord(name, "llm", "10.0.0.1:1", zone, 8, versions={"m": 1}, is_spot=is_spot)


class Process:
    def __init__(self, store, name, provisioner):
        self.name = name
        self.items = 24
        self.registry = BackEndRegistry()
        for zone in ZONES:
            self.registry.update(record(f"standing-{zone}", zone))
        provisioner.registries.append(self.registry)
        self.lease = ProcessLease(store)
        self.state = PrefixFollower(store, "state/", lambda key, entry: None)
        self.duty = Duty(store, self.state, self.lease, name, "scaling", 0.2, lambda: ["p", "q"])
        self.lease.reliance_checks.append(self.duty.is_holder)
        self.scaling = SamplerAutoscaler(
            store,
            self.duty,
            self.registry,
            provisioner,
            name,
            lambda: CONFIGURATION,
            lambda model: self.items,
        )

    async def __aenter__(self):
        work = (self.lease, self.state, self.scaling)
        self.tasks = [asyncio.create_task(one.run()) for one in work]
        return self

    async def __aexit__(self, *_):
        self.kill()

    def kill(self):
        for task in self.tasks:
            task.cancel()


@pytest.fixture
async def two_processes(monkeypatch):
    monkeypatch.setattr(actor_module, "RECONCILE_INTERVAL_S", 0.05)
    monkeypatch.setattr(ordering_module, "EXHAUSTED_ZONE_PAUSE_S", 0.3)
    monkeypatch.setattr(supply_module, "SETTLE_TIME_S", 0.1)
    monkeypatch.setattr(demand_module, "STABILIZATION_WINDOW_S", 0.3)
    monkeypatch.setattr(ordering_module, "ARRIVAL_GRACE_S", 0.5)
    store, provisioner = MemoryStore(), FakeProvisioner([])
    async with AsyncExitStack() as stack:
        processes = [
            await stack.enter_async_context(Process(store, name, provisioner)) for name in "pq"
        ]
        await eventually(lambda: any(one.duty.is_holder() for one in processes))
        yield store, provisioner, processes


async def test_one_process_orders_what_is_missing_and_then_nothing_more(two_processes):
    _, provisioner, _ = two_processes
    await eventually(
        lambda: sum(provisioner.desired.values()) == 6,
        "the largest number before the work is known",
    )
    await eventually(
        lambda: sum(provisioner.desired.values()) == 1, "24 items, 8 slots, 2 standing"
    )
    calls = len(provisioner.calls)
    await asyncio.sleep(0.5)
    assert len(provisioner.calls) == calls
    assert len({holder for holder, *_ in provisioner.calls}) == 1


async def test_a_need_that_grows_is_met(two_processes):
    _, provisioner, processes = two_processes
    await eventually(lambda: sum(provisioner.desired.values()) == 1)
    for process in processes:
        process.items = 64
    await eventually(
        lambda: provisioner.desired == {"a": 3, "b": 3}, "never more than the largest number"
    )


@pytest.mark.parametrize("failure", [DutyRefused, DutyUnanswered])
async def test_an_order_that_fails_is_given_again(two_processes, failure):
    _, provisioner, _ = two_processes
    provisioner.failures = [failure] * 3
    await eventually(lambda: sum(provisioner.desired.values()) == 1 and not provisioner.failures)


async def test_what_an_exhausted_zone_lacks_comes_from_another_and_it_is_asked_again(two_processes):
    _, provisioner, processes = two_processes
    provisioner.exhausted = {"b"}
    for process in processes:
        process.items = 40
    await eventually(
        lambda: provisioner.desired.get("a") == 3, "all missing samplers from the other zone"
    )
    provisioner.exhausted = set()
    await eventually(lambda: provisioner.desired.get("b", 0) >= 1)
    holder = next(one for one in processes if one.duty.is_holder())
    assert holder.duty._refused_fence == 0, "an exhausted zone must not count as a newer holder"


async def test_samplers_that_were_taken_away_are_ordered_again(two_processes):
    _, provisioner, processes = two_processes
    for process in processes:
        process.items = 64
    await eventually(lambda: provisioner.desired == {"a": 3, "b": 3})
    calls = len(provisioner.calls)
    provisioner.reclaim("b")
    await eventually(lambda: len(provisioner.calls) > calls)
    assert provisioner.calls[-1][2:] == provisioner.calls[-1][2:3] + provisioner.calls[-1][3:4] + (
        3,
    )


async def test_a_newer_holder_ends_the_orders_of_the_old_one(two_processes):
    store, provisioner, processes = two_processes
    await eventually(lambda: provisioner.calls)
    holder = next(one for one in processes if one.duty.is_holder())
    other = next(one for one in processes if one is not holder)
    fence = provisioner.calls[-1][1]
    await store.commit(Transaction(puts=[Put("state/scaling/holder", b"somebody")]))
    for subject in provisioner.highest_fences:
        provisioner.highest_fences[subject] = fence + 1000
    for process in processes:
        process.items = 64
    await asyncio.sleep(0.5)
    assert all(call[1] <= fence for call in provisioner.calls)
    assert holder.duty.fence() is None and other.duty.fence() is None


async def test_a_standing_sampler_that_crashes_and_returns_costs_no_spot_sampler(
    two_processes, monkeypatch
):
    _, provisioner, processes = two_processes
    for process in processes:
        process.items = 64
    await eventually(lambda: provisioner.desired == {"a": 3, "b": 3})
    monkeypatch.setattr(demand_module, "STABILIZATION_WINDOW_S", 60.0)
    calls = len(provisioner.calls)
    for process in processes:
        process.registry.remove("standing-a")
    await asyncio.sleep(0.3)
    for process in processes:
        process.registry.update(record("standing-a", "a"))
    await asyncio.sleep(0.3)
    assert len(provisioner.calls) == calls
