import asyncio

from crankseam.jobs.dispatcher import Dispatcher, MoveNeed
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from tests.support.waiting import eventually


async def test_long_items_go_to_the_fastest_samplers_and_others_to_the_least_loaded():
    registry = BackEndRegistry()
    for name in ("fast", "slower"):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 8, versions={"m": 1}))
    fast, slower = registry.of_service("svc")
    dispatcher = Dispatcher(registry, "z")
    for _ in range(20):
        dispatcher.paces.seen(fast, 0.037)
        dispatcher.paces.seen(slower, 0.048)
    fast.in_flight = 5
    giving = asyncio.create_task(dispatcher.run())
    try:
        assert await dispatcher.acquire((0.0,), "svc", "m", 1, is_long=True) is fast
        assert await dispatcher.acquire((0.0,), "svc", "m", 1) is slower
        fast.in_flight = 8
        assert await dispatcher.acquire((0.0,), "svc", "m", 1, is_long=True) is slower, "full"
    finally:
        giving.cancel()


async def test_a_long_run_does_not_leave_for_room_that_waiting_items_are_about_to_take():
    registry = BackEndRegistry()
    for name in ("fast", "slower"):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 8, versions={"m": 1}))
    fast, slower = registry.of_service("svc")
    dispatcher = Dispatcher(registry, "z")
    dispatcher.paces.seen(fast, 0.050)
    dispatcher.paces.seen(slower, 0.066)
    long_need, short_need = MoveNeed("m", 1, True, 20), MoveNeed("m", 1, False, 20)
    wish = dispatcher.wish_to_move(None, slower, long_need)
    assert wish.granted is fast and fast.in_flight == 1
    dispatcher.release(dispatcher.end_wish(wish))
    wish = dispatcher.wish_to_move(None, slower, short_need)
    assert wish.granted is None and dispatcher.end_wish(wish) is None, "not that slow"
    assert fast.in_flight == 0


async def test_the_longest_run_moves_first():
    registry = BackEndRegistry()
    for name in ("fast", "slow"):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 2, versions={"m": 1}))
    fast, slow = registry.of_service("svc")
    fast.in_flight = 2
    dispatcher = Dispatcher(registry, "z")
    dispatcher.paces.seen(fast, 0.050)
    dispatcher.paces.seen(slow, 0.066)
    wishes = [
        dispatcher.wish_to_move(None, slow, MoveNeed("m", 1, True, count)) for count in (20, 90, 50)
    ]
    giving = asyncio.create_task(dispatcher.run())
    try:
        dispatcher.release(fast)
        await eventually(lambda: wishes[1].granted is fast)
        assert wishes[0].granted is None and wishes[2].granted is None
    finally:
        giving.cancel()


async def test_a_long_run_goes_to_a_sampler_that_need_not_load_soon():
    registry = BackEndRegistry()
    for name, version in (("behind", 1), ("newest", 2)):
        registry.update(BackEndRecord(name, "svc", "1.1.1.1:1", "z", 8, versions={"m": version}))
    behind, newest = registry.of_service("svc")
    newest.in_flight = 3
    dispatcher = Dispatcher(registry, "z")
    giving = asyncio.create_task(dispatcher.run())
    try:
        assert await dispatcher.acquire((0.0,), "svc", "m", 1, is_long=True) is newest
        assert await dispatcher.acquire((0.0,), "svc", "m", 1) is behind
    finally:
        giving.cancel()
