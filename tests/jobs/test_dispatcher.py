import asyncio

from crankseam.jobs.aging import AGED_PLACE_INTERVAL
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.places import PlaceNeed
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.engine_memory import EngineMemory, RunSize
from crankseam.serving.paces import SamplerPaces
from tests.jobs.factories import FixedUrgency, make_registry
from tests.support.waiting import eventually


def run_need(is_long, events):
    """Need of a run that has generated this many events."""
    return PlaceNeed((0.0,), "m", 1, is_long=is_long, size=RunSize(0, events))


async def test_long_items_go_to_the_fastest_samplers_and_others_to_the_least_loaded():
    registry = BackEndRegistry()
    for name in ("fast", "slower"):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 8, versions={"m": 1}))
    fast, slower = registry.of_service("svc")
    dispatcher = Dispatcher(registry, "z")
    for _ in range(20):
        dispatcher.paces.record_interval(fast, 0.037)
        dispatcher.paces.record_interval(slower, 0.048)
    fast.in_flight = 5
    dispatching = asyncio.create_task(dispatcher.run())
    try:
        assert await dispatcher.acquire(PlaceNeed((0.0,), "m", 1, is_long=True), "svc") is fast
        assert await dispatcher.acquire(PlaceNeed((0.0,), "m", 1), "svc") is slower
        fast.in_flight = 8
        need = PlaceNeed((0.0,), "m", 1, is_long=True)
        assert await dispatcher.acquire(need, "svc") is slower, "the fast sampler is full"
    finally:
        dispatching.cancel()


async def test_a_long_run_does_not_leave_for_room_that_waiting_items_are_about_to_take():
    registry = BackEndRegistry()
    for name in ("fast", "slower"):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 8, versions={"m": 1}))
    fast, slower = registry.of_service("svc")
    dispatcher = Dispatcher(registry, "z")
    dispatcher.paces.record_interval(fast, 0.050)
    dispatcher.paces.record_interval(slower, 0.066)
    long_need, short_need = run_need(True, 20), run_need(False, 20)
    request = dispatcher.request_migration(None, slower, long_need)
    assert request.granted is fast and fast.in_flight == 1
    dispatcher.release(dispatcher.end_migration(request))
    request = dispatcher.request_migration(None, slower, short_need)
    assert request.granted is None and dispatcher.end_migration(request) is None, "not slow enough"
    assert fast.in_flight == 0


async def test_the_longest_run_moves_first():
    registry = BackEndRegistry()
    for name in ("fast", "slow"):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 2, versions={"m": 1}))
    fast, slow = registry.of_service("svc")
    fast.in_flight = 2
    dispatcher = Dispatcher(registry, "z")
    dispatcher.paces.record_interval(fast, 0.050)
    dispatcher.paces.record_interval(slow, 0.066)
    requests = [
        dispatcher.request_migration(None, slow, run_need(True, count)) for count in (20, 90, 50)
    ]
    dispatching = asyncio.create_task(dispatcher.run())
    try:
        dispatcher.release(fast)
        await eventually(lambda: requests[1].granted is fast)
        assert requests[0].granted is None and requests[2].granted is None
    finally:
        dispatching.cancel()


async def test_a_long_run_goes_to_a_sampler_that_need_not_load_soon():
    registry = BackEndRegistry()
    for name, version in (("behind", 1), ("newest", 2)):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 8, versions={"m": version}))
    behind, newest = registry.of_service("svc")
    newest.in_flight = 3
    dispatcher = Dispatcher(registry, "z")
    dispatching = asyncio.create_task(dispatcher.run())
    try:
        assert await dispatcher.acquire(PlaceNeed((0.0,), "m", 1, is_long=True), "svc") is newest
        assert await dispatcher.acquire(PlaceNeed((0.0,), "m", 1), "svc") is behind
    finally:
        dispatching.cancel()


MEMORY = EngineMemory(10_000, 75)


def dispatcher_with_memory(registry, paces=None):
    return Dispatcher(registry, "z", paces, lambda service: MEMORY)


async def test_a_long_run_goes_where_its_memory_fits():
    registry = make_registry()
    full, free = registry.of_service("llm")
    full.runs = {"a": RunSize(250, 50)}
    full.in_flight, free.in_flight = 1, 2
    free.runs = {"b": RunSize(250, 0), "c": RunSize(250, 0)}
    dispatcher = dispatcher_with_memory(registry)
    running = asyncio.create_task(dispatcher.run())
    try:
        size = RunSize(250, 30)
        found = await dispatcher.acquire(PlaceNeed((0.0,), "m", 1, item="d", size=size), "llm")
        assert found is free and free.runs["d"] == size
        dispatcher.release(found, "d")
        assert "d" not in free.runs
        need = PlaceNeed((0.0,), "m", 1, item="e", size=RunSize(250, 0))
        short = await dispatcher.acquire(need, "llm")
        assert short is full, "the least loaded one with enough memory"
    finally:
        running.cancel()


async def test_where_no_memory_is_free_a_run_still_goes_somewhere():
    registry = make_registry(count=1)
    (only,) = registry.of_service("llm")
    only.runs, only.in_flight = {"a": RunSize(250, 100)}, 1
    dispatcher = dispatcher_with_memory(registry)
    running = asyncio.create_task(dispatcher.run())
    try:
        need = PlaceNeed((0.0,), "m", 1, item="b", size=RunSize(250, 90))
        assert await dispatcher.acquire(need, "llm") is only
    finally:
        running.cancel()


async def test_no_run_moves_to_a_sampler_that_would_preempt_it():
    registry = make_registry()
    slow, fast = registry.of_service("llm")
    paces = SamplerPaces()
    for _ in range(200):
        paces.record_interval(slow, 0.2)
        paces.record_interval(fast, 0.05)
    fast.runs, fast.in_flight = {"a": RunSize(250, 60)}, 1
    dispatcher = dispatcher_with_memory(registry, paces)
    need = PlaceNeed((0.0,), "m", 1, is_long=True, item="b", size=RunSize(250, 30))
    request = dispatcher.request_migration(None, slow, need)
    assert request is not None and request.granted is None
    fast.runs.clear()
    dispatcher.request_migration(request, slow, need)
    assert request.granted is fast and fast.runs["b"] == RunSize(250, 30)


class ChangingUrgency(FixedUrgency):
    """Urgency whose rank a test sets anew."""

    def set_rank(self, rank):
        self._rank = rank


async def test_an_item_that_became_more_urgent_while_it_waited_goes_first(monkeypatch):
    """Load: more items than places; guards against ranks that stay as they were on arrival."""
    monkeypatch.setattr("crankseam.jobs.dispatcher.RANK_INTERVAL_S", 0.0)
    registry = make_registry(count=1)
    (only,) = registry.of_service("llm")
    only.in_flight = 4
    dispatcher = Dispatcher(registry, "z")
    urgencies = [ChangingUrgency((float(number),)) for number in range(3)]
    waiting = [
        asyncio.create_task(dispatcher.acquire(PlaceNeed((0.0,)), "llm", urgency=urgency))
        for urgency in urgencies
    ]
    await asyncio.sleep(0)
    dispatcher._assign_places()
    urgencies[2].set_rank((-1.0,))
    dispatcher.release(only)
    dispatcher._assign_places()
    await asyncio.sleep(0)
    assert [task.done() for task in waiting] == [False, False, True]
    for task in waiting:
        task.cancel()


async def places_by_level(levels, grants):
    """Levels to which places go, one place at a time, where as many requests of each wait."""
    registry = make_registry(count=1)
    (only,) = registry.of_service("llm")
    dispatcher = Dispatcher(registry, "z")
    waiting = {}
    for number in range(grants):
        for level in levels:
            urgency = FixedUrgency((float(level), float(number)), level)
            request = dispatcher.acquire(PlaceNeed((0.0,)), "llm", urgency=urgency)
            waiting[asyncio.create_task(request)] = level
    await asyncio.sleep(0)
    order = []
    for _ in range(grants):
        only.in_flight = 3
        dispatcher._assign_places()
        await asyncio.sleep(0)
        (granted,) = [task for task in waiting if task.done()]
        order.append(waiting.pop(granted))
    for task in waiting:
        task.cancel()
    return order


async def test_while_urgent_items_keep_coming_one_place_in_an_interval_goes_to_the_others():
    """Load: a job of low priority beside urgent ones that want all places; it must not starve."""
    urgent, other = 0, 7
    order = await places_by_level([urgent, other], 3 * AGED_PLACE_INTERVAL)
    assert order.count(other) == 3
    assert order.index(other) == AGED_PLACE_INTERVAL - 1
