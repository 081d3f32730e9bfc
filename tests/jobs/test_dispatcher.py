import asyncio

from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.places import PlaceNeed
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.engine_memory import EngineMemory, RunSize
from crankseam.serving.paces import SamplerPaces
from tests.jobs.factories import make_registry
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
