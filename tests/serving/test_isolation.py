"""An error that concerns one back end, item or service ends neither a choice nor a round.

Guards against a single record whose evaluation fails: it ended the assignment of all items in each
round, and turned each request of its service into 500.
"""

import asyncio

import pytest

from crankseam.fairness.item_order import ItemFairness
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.places import PlaceNeed
from crankseam.serving import isolation
from crankseam.serving.back_ends import BackEnd, BackEndRecord, BackEndRegistry
from crankseam.serving.choice import choose_back_end
from crankseam.serving.log_interval import MAX_REMEMBERED_SUBJECTS, LogInterval
from crankseam.serving.supervisor import FAILING_WINDOW_S, Supervisor
from tests.support.waiting import eventually

UNHASHABLE_ZONE = {"name": "z"}


@pytest.fixture(autouse=True)
def _fresh_log_interval(monkeypatch):
    monkeypatch.setattr(isolation, "_log_interval", LogInterval(lambda: 0.0))


def registry_with_bad_record():
    registry = BackEndRegistry()
    registry.update(BackEndRecord("good", "s", "127.0.0.1:1", "z", 4))
    registry.update(BackEndRecord("bad", "s", "127.0.0.1:2", UNHASHABLE_ZONE, 4))
    return registry


def test_a_record_that_cannot_be_judged_is_left_out_of_its_service(caplog):
    registry = registry_with_bad_record()
    for _ in range(10):
        assert [one.record.id for one in registry.of_service("s")] == ["good"]
    lines = [record for record in caplog.records if record.message == "left_out"]
    assert [(line.subject, line.count) for line in lines] == [("bad", 1)], "once in an interval"
    assert lines[0].exc_info, "the line has the trace"


@pytest.mark.parametrize("time_factors", [None, {}])
def test_a_back_end_whose_cost_cannot_be_computed_is_not_chosen(time_factors):
    good = BackEnd(BackEndRecord("good", "s", "127.0.0.1:1", "z", 4), in_flight=3)
    bad = BackEnd(BackEndRecord("bad", "s", "127.0.0.1:2", "z", 4), in_flight=None)
    chosen = choose_back_end([bad, good], "z", 0.0, time_factors=time_factors)
    assert chosen is good
    assert choose_back_end([bad], "z", 0.0, time_factors=time_factors) is None


async def assigned(dispatcher, *needs):
    task = asyncio.create_task(dispatcher.run())
    places = [asyncio.create_task(dispatcher.acquire(need, "s")) for need in needs]
    try:
        await eventually(lambda: sum(place.done() for place in places) >= 2, "two places")
        return [place.result().record.id for place in places if place.done()]
    finally:
        for one in (task, *places):
            one.cancel()


async def test_items_are_placed_beside_a_back_end_whose_cost_cannot_be_computed():
    registry = BackEndRegistry()
    registry.update(BackEndRecord("good", "s", "127.0.0.1:1", "z", 4))
    registry.update(BackEndRecord("bad", "s", "127.0.0.1:2", "z", 4))
    registry.by_id("bad").reported_load = None
    registry.by_id("bad").reported_at = float("inf")
    needs = [PlaceNeed((0.0,), item=f"item-{number}") for number in range(2)]
    assert await assigned(Dispatcher(registry, "z"), *needs) == ["good", "good"]


async def test_an_item_whose_place_cannot_be_chosen_does_not_stop_the_others(caplog):
    registry = BackEndRegistry()
    registry.update(BackEndRecord("good", "s", "127.0.0.1:1", "z", 4))
    bad = PlaceNeed((0.0,), model="m", min_version="two", item="bad")
    needs = [bad, *(PlaceNeed((1.0,), item=f"item-{number}") for number in range(2))]
    assert await assigned(Dispatcher(registry, "z"), *needs) == ["good", "good"]
    lines = [record for record in caplog.records if record.message == "left_out"]
    assert [(line.decision, line.subject) for line in lines] == [("item_place", "bad")]


async def test_items_go_by_rank_if_the_order_among_tenants_fails(caplog):
    class BrokenFairness(ItemFairness):
        def __init__(self):
            pass

        def is_active(self):
            return True

        def start_of(self, *_):
            raise KeyError("a tenant")

        waits = property(lambda self: NoWaits())

    class NoWaits:
        def is_due(self):
            return False

    registry = BackEndRegistry()
    registry.update(BackEndRecord("good", "s", "127.0.0.1:1", "z", 4))
    needs = [PlaceNeed((0.0, 0.0, 0.0), item=f"item-{number}") for number in range(2)]
    dispatcher = Dispatcher(registry, "z", fairness=BrokenFairness())
    assert await assigned(dispatcher, *needs) == ["good", "good"]
    assert "order_of_tenants" in {getattr(line, "decision", "") for line in caplog.records}


async def test_a_task_that_is_restarted_in_vain_shows_until_it_has_run_for_a_while(monkeypatch):
    now = 0.0
    monkeypatch.setattr("crankseam.clocks.monotonic_s", lambda: now)
    supervisor = Supervisor()
    failures = iter([ValueError("x")])

    async def work():
        for failure in failures:
            raise failure
        await asyncio.Event().wait()

    supervisor.keep(work, "work")
    assert supervisor.failing_count() == 0
    await eventually(lambda: supervisor.failing_count() == 1, "it has failed")
    now = FAILING_WINDOW_S + 1.0
    assert supervisor.failing_count() == 0
    await supervisor.stop()


def test_what_is_remembered_of_problems_is_bounded():
    interval = LogInterval(lambda: 0.0)
    for number in range(5000):
        interval.count_if_due(str(number))
    assert interval.remembered() == MAX_REMEMBERED_SUBJECTS
