"""Answers the load of a large tenant's backlog before a small tenant's first item."""

import asyncio
import time

from hypothesis import given
from hypothesis import strategies as st

from crankseam.coordination.interface import Entry
from crankseam.fairness.round_order import RoundOrder
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.places import AssignmentRound, PlaceNeed, PlaceRequest
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.routes import Configuration
from tests.fairness.factories import Shares, configuration
from tests.support.virtual_clock import VirtualClockLoop


def need(tenant, rank=(0.0, 0.0), work_s=1.0, **more):
    return PlaceNeed(rank, "m", tenant=tenant, work_s=work_s, **more)


class Places:
    """A real dispatcher with one sampler; each place that it grants is recorded."""

    def __init__(self, fairness, slots=1, models=("m",)):
        self.registry = BackEndRegistry()
        versions = dict.fromkeys(models, 1)
        self.registry.update(BackEndRecord("s", "svc", "1.1.1.1:1", "z", slots, versions=versions))
        self.dispatcher = Dispatcher(self.registry, "z", fairness=fairness)
        self.granted = []
        self.tasks = []

    async def _hold(self, wanted):
        back_end = await self.dispatcher.acquire(wanted, "svc")
        self.granted.append(wanted.tenant)
        await asyncio.sleep(1.0)
        self.dispatcher.release(back_end)

    def want(self, wanted):
        self.tasks.append(asyncio.create_task(self._hold(wanted)))

    async def finish(self, then=lambda: None, after_s=0.0):
        dispatching = asyncio.create_task(self.dispatcher.run())
        await asyncio.sleep(after_s)
        then()
        await asyncio.gather(*self.tasks)
        dispatching.cancel()
        return self.granted


def on_a_virtual_clock(scenario):
    loop = VirtualClockLoop()
    try:
        return loop.run_until_complete(scenario)
    finally:
        loop.close()


def test_a_large_tenants_backlog_does_not_go_before_eighty_small_first_items():
    async def scenario():
        small = [f"small-{number}" for number in range(80)]
        places = Places(Shares("large", *small).fairness)
        for index in range(200):
            places.want(need("large", (0.0, 0.0, float(index))))
        await asyncio.sleep(0)
        for tenant in small:
            places.want(need(tenant, (0.0, 0.0, 1000.0)))
        return await places.finish()

    granted = on_a_virtual_clock(scenario())
    assert len(set(granted[:82])) == 81 and granted.count("large") == 200


def test_an_item_of_a_more_urgent_priority_goes_before_all_shares():
    async def scenario():
        places = Places(Shares("a", "b").fairness)
        for _ in range(5):
            places.want(need("a", (0.0, 1.0)))
        for _ in range(5):
            places.want(need("b", (0.0, 0.0)))
        return await places.finish()

    assert on_a_virtual_clock(scenario()) == ["b"] * 5 + ["a"] * 5


def test_within_a_tenant_items_go_by_rank():
    shares = Shares("a", "b")
    ranks = [(0.0, 0.0, 2.0), (0.0, 0.0, 0.0), (0.0, 0.0, 1.0)]
    waiting = [
        PlaceRequest(rank, number, need(tenant, rank), "svc", 0, None)
        for number, (tenant, rank) in enumerate((t, r) for t in "ab" for r in ranks)
    ]
    order = RoundOrder(sorted(waiting), shares.fairness)
    tried = []
    while (request := order.next()) is not None:
        order.granted(request)
        tried.append((request.need.tenant, request.rank[2]))
    assert [rank for tenant, rank in tried if tenant == "a"] == [0.0, 1.0, 2.0]
    assert [tenant for tenant, _ in tried] == list("ababab")


def test_a_model_that_was_granted_much_is_not_starved_by_one_that_is_new():
    """Guards against comparing the virtual times of two models: that of a new one begins at zero,
    and where both run at the same samplers, its items all went first."""

    async def scenario():
        shares = Shares("a", "b")
        shares.fairness.granted("a", "old", 500.0)
        shares.fairness.granted("a", "old", 500.0)
        places = Places(shares.fairness, models=("old", "new"))
        for index in range(5):
            places.want(PlaceNeed((0.0, 0.0, float(index)), "old", tenant="a", work_s=1.0))
            places.want(PlaceNeed((0.0, 0.0, float(index)), "new", tenant="b", work_s=1.0))
        return await places.finish()

    assert on_a_virtual_clock(scenario()) == ["a", "b"] * 5


def test_without_tenants_items_go_by_rank_and_arrival():
    async def scenario():
        shares = Shares("a")
        shares.configure(Configuration(1))
        places = Places(shares.fairness)
        for tenant in ("a", "a", "a", "b"):
            places.want(need(tenant))
        return await places.finish()

    assert on_a_virtual_clock(scenario()) == ["a", "a", "a", "b"]


def test_a_tenant_that_leaves_in_the_middle_frees_its_share_and_loses_no_item():
    async def scenario():
        shares = Shares("a", "b", "c")
        places = Places(shares.fairness)
        for _ in range(10):
            for tenant in ("a", "b", "c"):
                places.want(need(tenant))

        def leave():
            shares.configure(configuration(2, "a", "c"))

        return await places.finish(leave, after_s=5.5)

    granted = on_a_virtual_clock(scenario())
    assert set(granted[6:22]) == {"a", "c"}
    assert granted.count("b") == 10


def test_a_request_without_room_is_passed_over_for_one_that_has_room():
    """Work conserving: the tenant whose turn it is needs a version that no sampler has."""

    async def scenario():
        places = Places(Shares("a", "b").fairness)
        unplaceable = asyncio.create_task(
            places.dispatcher.acquire(need("a", (0.0, 0.0, 0.0), min_version=9), "svc")
        )
        places.want(need("a", (0.0, 0.0, 1.0)))
        places.want(need("b", (0.0, 0.0, 2.0)))
        granted = await places.finish()
        unplaceable.cancel()
        return granted

    assert on_a_virtual_clock(scenario()) == ["a", "b"]


@given(
    waiting=st.lists(
        st.builds(
            PlaceNeed,
            rank=st.tuples(st.just(0.0), st.sampled_from([0.0, 1.0]), st.integers(0, 9).map(float)),
            model=st.sampled_from(["m", "n", ""]),
            min_version=st.integers(0, 2),
            avoided=st.sampled_from(["", "s0"]),
            is_long=st.booleans(),
            slots_share=st.sampled_from([0.5, 0.84, 1.0]),
            tenant=st.sampled_from("abc"),
            work_s=st.floats(0.1, 9.0),
        ),
        max_size=40,
    ),
    slots=st.lists(st.integers(1, 6), max_size=4),
)
def test_no_request_waits_after_a_round_for_which_a_sampler_has_room(waiting, slots):
    """Work conserving, whatever kinds of requests wait; each of them is placed or still waits."""

    async def scenario():
        registry = BackEndRegistry()
        for number, count in enumerate(slots):
            versions = {"m": number, "n": 1}
            registry.update(
                BackEndRecord(f"s{number}", "svc", "1.1.1.1:1", "z", count, versions=versions)
            )
        dispatcher = Dispatcher(registry, "z", fairness=Shares("a", "b").fairness)
        tasks = [asyncio.create_task(dispatcher.acquire(need, "svc")) for need in waiting]
        await asyncio.sleep(0)
        dispatcher._assign_places()
        after = AssignmentRound(registry, dispatcher.paces, "z")
        assert not any(after.assign(request) for request in dispatcher._waiting)
        placed = sum(back_end.in_flight for back_end in registry.of_service("svc"))
        assert placed + len(dispatcher._waiting) == len(waiting)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(scenario())


@given(
    items=st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 1), st.floats(0.1, 9.0)), max_size=20
    ),
    opened=st.lists(st.tuples(st.sampled_from("xyz"), st.binary(max_size=20)), max_size=6),
    configured=st.lists(st.sets(st.sampled_from("abc")), max_size=4),
)
def test_old_and_wrong_views_cost_order_never_a_request(items, opened, configured):
    """Guards against a view that excludes a request for good: keys of open jobs that are missing,
    unreadable or of another build, and configurations without the tenants that wait."""

    async def scenario():
        shares = Shares("a")
        places = Places(shares.fairness, slots=2)
        for tenant, priority, work_s in items:
            places.want(need(tenant, (0.0, float(priority)), work_s))

        async def disturb():
            for number, names in enumerate(configured):
                shares.configure(configuration(number + 2, *names))
                await asyncio.sleep(1.0)

        for key, value in opened:
            shares.work.state_changed(key, Entry(key, value, 1, 1))
        disturbing = asyncio.create_task(disturb())
        granted = await places.finish()
        disturbing.cancel()
        return granted

    granted = on_a_virtual_clock(scenario())
    assert sorted(granted) == sorted(tenant for tenant, _, _ in items)


def test_a_long_wait_is_reported_once_for_all_items_of_a_tenant(caplog):
    caplog.set_level("INFO")

    async def scenario():
        shares = Shares("a", "b", clock=time.monotonic)
        places = Places(shares.fairness)
        for _ in range(5):
            places.want(need("b", since_s=time.monotonic() - 2.0))
        return await places.finish()

    on_a_virtual_clock(scenario())
    (line,) = [record for record in caplog.records if record.msg == "tenant_waited"]
    assert (line.tenant, line.waiting, line.share) == ("b", 4, 1.0)
