import asyncio
from contextlib import asynccontextmanager

from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import Put, Transaction
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually


def put(key, value=b"x"):
    return Transaction(puts=[Put(key, value)])


@asynccontextmanager
async def following(store, prefix="a/", wait=2.0):
    seen = []
    follower = PrefixFollower(store, prefix, lambda key, entry: seen.append((key, entry)), wait)
    task = asyncio.create_task(follower.run())
    try:
        yield follower, seen
    finally:
        task.cancel()


async def test_what_was_there_and_what_comes_is_seen_and_other_prefixes_are_not():
    store = MemoryStore()
    for number in range(7):
        await store.commit(put(f"a/{number}"))
    await store.commit(put("b/1"))
    async with following(store) as (follower, seen):
        await follower.wait_synchronized()
        assert len(follower.entries) == 7
        await store.commit(put("a/new"))
        await store.commit(Transaction(removals=["a/0"]))
        await eventually(lambda: "a/new" in follower.entries and "a/0" not in follower.entries)
        assert ("a/0", None) in seen
        assert all(key.startswith("a/") for key, _ in seen)


async def test_a_key_that_went_while_history_was_dropped_is_noticed():
    store = MemoryStore()
    await store.commit(put("a/stays"))
    await store.commit(put("a/goes"))
    async with following(store) as (follower, seen):
        await follower.wait_synchronized()
        store.faults.down = True
        await eventually(lambda: store.calls > 2)
        store._remove("a/goes")
        store.log.clear()
        store.faults.compacted = True
        store.faults.down = False
        await eventually(lambda: "a/goes" not in follower.entries)
        assert ("a/goes", None) in seen and "a/stays" in follower.entries


async def test_an_outage_is_outlived_and_an_older_state_never_replaces_a_newer_one():
    store = MemoryStore()
    await store.commit(put("a/k", b"1"))
    async with following(store) as (follower, seen):
        await follower.wait_synchronized()
        store.faults.down = True
        await eventually(lambda: store.calls > 3)
        store.faults.down = False
        await store.commit(put("a/k", b"2"))
        await eventually(lambda: follower.entries["a/k"].value == b"2")
        follower._apply_entry(store.log[0])
        assert follower.entries["a/k"].value == b"2"


async def test_a_watch_that_hears_nothing_is_given_up_within_its_bound():
    store = MemoryStore()
    store.faults.deaf = True
    async with following(store, wait=0.2) as (follower, _):
        await follower.wait_synchronized()
        await store.commit(put("a/k"))
        store.faults.deaf = False
        await eventually(lambda: "a/k" in follower.entries)


async def test_restart_asks_anew_while_a_watch_waits():
    store = MemoryStore()
    async with following(store) as (follower, _):
        await follower.wait_synchronized()
        asked_at = follower.confirmed_at
        calls = store.calls
        follower.restart()
        await eventually(lambda: store.calls > calls)
        assert follower.confirmed_at >= asked_at


async def test_what_a_watch_that_heard_nothing_missed_is_seen_by_the_next():
    store = MemoryStore()
    async with following(store, wait=0.05) as (follower, _):
        await follower.wait_synchronized()
        store.faults.hears_nothing = True
        await store.commit(put("a/missed"))
        calls = store.calls
        await eventually(lambda: store.calls > calls + 20)
        store.faults.hears_nothing = False
        await eventually(lambda: "a/missed" in follower.entries)
