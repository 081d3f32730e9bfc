import asyncio
import time
from contextlib import asynccontextmanager

import pytest

from crankseam import clocks
from crankseam.coordination import feed_messages, shared_watch, watch_roles, watch_times
from crankseam.coordination.feed import PrefixFeed
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import (
    Changes,
    Entry,
    HistoryCompacted,
    Put,
    Removal,
    Transaction,
    read_prefix,
)
from crankseam.coordination.shared_watch import SharedWatches
from crankseam.coordination.watch_roles import Peer
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable
from crankseam_standins.memory_store import MemoryStore
from tests.support.clock import FakeClock
from tests.support.waiting import eventually


class FaultyStoreClient:
    """The client of one process for the shared store; counts calls, and can fail on its own."""

    def __init__(self, store):
        self._store = store
        self.calls = 0
        self.down = False
        self.unanswered_since = float("inf")

    def answered_at(self):
        return float("-inf") if self.down else min(time.monotonic(), self.unanswered_since)

    def __getattr__(self, name):
        async def call(*arguments):
            self.calls += 1
            if self.down:
                raise KeyValueUnavailable("down")
            return await getattr(self._store, name)(*arguments)

        return call


class Fleet:
    """Several processes that follow the same prefix of one store."""

    def __init__(self, count, in_force_s=1.0):
        self.store = MemoryStore()
        self.peers = [Peer(f"p{number:02d}", f"a{number}", number) for number in range(count)]
        self.silent = set()
        self.clients, self.watches, self.followers = [], [], []
        for peer in self.peers:
            client = FaultyStoreClient(self.store)
            watches = SharedWatches(
                client, lambda: self.peers, peer.name, self.ask, in_force_s, client.answered_at
            )
            follower = PrefixFollower(watches, "a/", lambda key, entry: None, 5.0)
            watches.share(follower)
            self.clients.append(client)
            self.watches.append(watches)
            self.followers.append(follower)

    async def ask(self, address, body, timeout_s):
        number = int(address[1:])
        if number in self.silent:
            await asyncio.sleep(timeout_s)
            raise KeyValueOutcomeUnknown("silent")
        return await self.watches[number].serve(body)

    @asynccontextmanager
    async def following(self):
        tasks = [asyncio.create_task(follower.run()) for follower in self.followers]
        try:
            for follower in self.followers:
                await follower.wait_synchronized()
            yield self
        finally:
            for task in tasks:
                task.cancel()

    async def put(self, key, value=b"x"):
        await self.store.commit(Transaction(puts=[Put(key, value)]))

    def have(self, key, value=b"x"):
        return all(
            key in follower.entries and follower.entries[key].value == value
            for follower in self.followers
        )


async def test_changes_reach_all_while_few_call_the_store():
    async with Fleet(20).following() as fleet:
        await eventually(lambda: all(client.calls for client in fleet.clients[:2]))
        before = [client.calls for client in fleet.clients]
        for number in range(10):
            await fleet.put(f"a/{number}")
            await eventually(lambda number=number: fleet.have(f"a/{number}"))
        await fleet.store.commit(Transaction(removals=["a/3"]))
        await eventually(lambda: not any("a/3" in one.entries for one in fleet.followers))
        assert [client.calls for client in fleet.clients][2:] == before[2:]
        assert all(
            client.calls > calls
            for client, calls in zip(fleet.clients[:2], before[:2], strict=True)
        )


async def test_mirrors_answer_where_there_are_many_and_do_not_call_the_store(monkeypatch):
    monkeypatch.setattr(watch_roles, "PROCESSES_PER_FEED_SERVER", 5)
    async with Fleet(20).following() as fleet:
        mirrors = [one for one in fleet.watches if one.serves_readers() and not one.is_watcher()]
        assert [one._process for one in mirrors] == ["p02", "p03"]
        before = [client.calls for client in fleet.clients]
        asked = set()
        ask = fleet.ask

        async def recording_ask(address, body, timeout_s):
            asked.add(address)
            return await ask(address, body, timeout_s)

        for watches in fleet.watches:
            watches._ask = recording_ask
        for number in range(10):
            await fleet.put(f"a/{number}")
            await eventually(lambda number=number: fleet.have(f"a/{number}"))
        await asyncio.sleep(1.0)
        assert asked == {"a0", "a1", "a2", "a3"}, "both watchers and mirrors must serve readers"
        assert [client.calls for client in fleet.clients][2:] == before[2:], (
            "no calls to the store without changes either"
        )


async def test_readers_of_a_mirror_whose_watchers_are_silent_learn_in_time(monkeypatch):
    monkeypatch.setattr(watch_roles, "PROCESSES_PER_FEED_SERVER", 5)
    async with Fleet(20, in_force_s=0.3).following() as fleet:
        fleet.silent = {0, 1}
        await fleet.put("a/new")
        await eventually(lambda: fleet.have("a/new"))


async def test_readers_of_a_silent_watcher_turn_to_the_store():
    async with Fleet(20, in_force_s=0.3).following() as fleet:
        fleet.silent = {0, 1}
        await fleet.put("a/new")
        await eventually(lambda: fleet.have("a/new"))


async def test_readers_of_a_watcher_that_lost_the_store_turn_to_the_store():
    async with Fleet(20, in_force_s=0.3).following() as fleet:
        fleet.clients[0].down = fleet.clients[1].down = True
        await fleet.put("a/new")
        others = fleet.followers[2:]
        await eventually(lambda: all("a/new" in follower.entries for follower in others))


async def test_a_reader_that_is_too_far_behind_reads_all_from_a_watcher():
    async with Fleet(20).following() as fleet:
        await fleet.put("a/old")
        await eventually(lambda: fleet.have("a/old"))
        fleet.followers[0].feed.restart(fleet.store.revision + 5, asyncio.get_running_loop().time())
        with pytest.raises(HistoryCompacted):
            fleet.followers[0].feed.after(fleet.store.revision)
        calls = fleet.clients[5].calls
        entries, _ = await read_prefix(fleet.watches[5], "a/")
        assert [entry.key for entry in entries] == ["a/old"] and fleet.clients[5].calls == calls


async def test_large_values_come_from_the_store(monkeypatch):
    monkeypatch.setattr(feed_messages, "LARGE_VALUE_BYTES", 10)
    async with Fleet(20).following() as fleet:
        calls = fleet.clients[5].calls
        await fleet.put("a/large", b"y" * 11)
        await eventually(lambda: fleet.have("a/large", b"y" * 11))
        assert fleet.clients[5].calls == calls + 1


async def test_a_process_that_is_no_watcher_answers_nobody():
    fleet = Fleet(20)
    question = shared_watch.FeedQuestion("a/", 0, 0.0)
    raw = await fleet.watches[7].serve(shared_watch.msgspec.msgpack.encode(question))
    answer = shared_watch.msgspec.msgpack.decode(raw, type=shared_watch.FeedAnswer)
    assert answer.refusal == shared_watch.REFUSED_UNAVAILABLE


async def test_a_feed_gives_each_change_once_and_only_while_it_is_fresh():
    now = asyncio.get_running_loop().time()
    feed = PrefixFeed(max_age_s=60.0)
    feed.restart(10, now)
    feed.extend([Entry("a", b"", 11), Removal("b", 12)], 15, now)
    feed.extend([Entry("a", b"", 11), Entry("c", b"", 16)], 16, now)
    assert [change.revision for change in feed.after(10)] == [11, 12, 16]
    assert [change.revision for change in feed.after(12)] == [16]
    with pytest.raises(HistoryCompacted):
        feed.after(9)
    stale = PrefixFeed(max_age_s=0.0)
    stale.restart(10, now - 1.0)
    with pytest.raises(KeyValueUnavailable):
        await stale.wait_for_changes(10, 1.0)


async def test_a_lagging_watcher_takes_nothing_back(monkeypatch):
    """A reader that reads the prefix again must not drop keys that a watcher does not have yet."""
    async with Fleet(20).following() as fleet:
        await fleet.put("a/old")
        await eventually(lambda: fleet.have("a/old"))
        reader = fleet.followers[5]
        reader.revision += 5
        pages = fleet.clients[5].calls
        entries, revision = await read_prefix(fleet.watches[5], "a/")
        assert fleet.clients[5].calls > pages, "the store must be called"


async def test_the_age_of_an_answer_is_passed_on():
    async with Fleet(20, in_force_s=100.0).following() as fleet:
        fleet.store.faults.deaf = True
        for client in fleet.clients:
            client.unanswered_since = time.monotonic()
        page = await fleet.watches[5].page("a/")
        while page.age_s < 0.1:
            await asyncio.sleep(0.01)
            page = await fleet.watches[5].page("a/")
        assert fleet.followers[5].revision == page.revision


async def test_an_empty_watch_holds_for_as_long_as_it_waited(monkeypatch):
    """Otherwise the feed of a watcher would become stale just before each of its watches ends."""
    clock = [100.0]

    class Store:
        async def watch(self, prefix, after_revision, wait):
            clock[0] += wait
            return Changes([], 7) if after_revision else Changes([Entry("a/k", b"", 7)], 7)

    peers = [Peer(f"p{number:02d}", f"a{number}", number) for number in range(20)]
    watches = SharedWatches(Store(), lambda: peers, "p00", None, 1.0, lambda: float("-inf"))
    monkeypatch.setattr(clocks, "boottime_s", lambda: clock[0])
    timeout_s = watch_times.WATCH_FRACTION
    assert (await watches.watch("a/", 6, 5.0)).age_s == pytest.approx(-timeout_s)
    assert (await watches.watch("a/", 0, 5.0)).age_s == 0.0, (
        "changes may have been returned at once"
    )


async def test_a_waiting_watch_keeps_a_feed_fresh_while_the_store_answers_other_calls():
    """Otherwise a watcher would have to repeat its watch constantly, and each call costs money."""
    loop = asyncio.get_running_loop()
    answered_at = [loop.time()]
    feed = PrefixFeed(max_age_s=0.2, answered_at=lambda: answered_at[0])
    feed.restart(10, loop.time() - 1.0)
    with pytest.raises(KeyValueUnavailable):
        feed.check_fresh()
    feed.watch_began()
    feed.check_fresh()
    answered_at[0] -= 1.0
    feed.watch_ended(answered=False)
    feed._confirmed_at = loop.time() - 1.0
    with pytest.raises(KeyValueUnavailable):
        feed.check_fresh()


async def test_a_watch_that_failed_confirms_nothing():
    loop = asyncio.get_running_loop()
    feed = PrefixFeed(max_age_s=0.2, answered_at=loop.time)
    feed.restart(10, loop.time() - 1.0)
    feed.watch_began()
    feed.watch_ended(answered=False)
    with pytest.raises(KeyValueUnavailable):
        feed.check_fresh()


async def test_the_next_processes_watch_in_place_of_watchers_that_do_not_answer(monkeypatch):
    """Otherwise all readers would watch the store themselves until the watchers answer again."""
    monkeypatch.setattr(shared_watch, "INITIAL_AVOID_S", 0.2)
    monkeypatch.setattr(shared_watch, "MAX_AVOID_S", 1000.0)
    monkeypatch.setattr(watch_times, "ANSWER_SLACK_S", 0.05)

    async def calls_of_readers_for_ten_changes():
        before = [client.calls for client in fleet.clients]
        for number in range(10):
            await fleet.put(f"a/{number}", str(before).encode())
            await eventually(lambda number=number: fleet.have(f"a/{number}", str(before).encode()))
        return sum(
            client.calls - calls
            for client, calls in list(zip(fleet.clients, before, strict=True))[4:]
        )

    async with Fleet(20, in_force_s=0.3).following() as fleet:
        fleet.silent = {0, 1}
        async with asyncio.timeout(40):
            while await calls_of_readers_for_ten_changes() > 10:
                await asyncio.sleep(0.1)


async def test_a_watcher_that_fails_again_is_avoided_for_longer(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(shared_watch, "time", clock)
    fleet = Fleet(20)
    watches, peer = fleet.watches[7], fleet.peers[0]

    def avoided_s():
        began_at = clock.now
        while watches._is_avoided(peer):
            clock.now += 0.5
        return clock.now - began_at

    watches._record_failure(peer, "test")
    clock.now += 0.5
    watches._record_failure(peer, "at the same time")
    assert peer in watches._roles().watchers, "a single lost answer must not change the roles"
    assert avoided_s() == shared_watch.INITIAL_AVOID_S - 0.5
    watches._record_failure(peer, "again")
    assert peer not in watches._roles().watchers, "the next process must watch in its place"
    assert avoided_s() == 2 * shared_watch.INITIAL_AVOID_S


async def test_an_answer_that_comes_after_a_failure_ends_the_avoiding():
    """Several followers of a process may ask one watcher at once, and only some requests fail."""
    async with Fleet(20).following() as fleet:
        reader, peer = fleet.watches[7], fleet.peers[0]
        question = shared_watch.FeedQuestion("a/", 0, 0.0)
        reader._record_failure(peer, "another follower's question failed")
        assert reader._is_avoided(peer)
        assert await reader._ask_peer(peer, question) is not None
        assert not reader._is_avoided(peer) and peer in reader._roles().watchers


async def test_a_stale_watch_and_a_silent_feed_server_together_hide_no_change_for_too_long():
    """A reader that calls the store itself may get a stale watch, and then ask a frozen process."""
    fleet = Fleet(8, in_force_s=2.0)
    fleet.silent = {0, 1}
    waits = []

    class RecordingStoreClient(FaultyStoreClient):
        async def watch(self, prefix, after_revision, wait):
            waits.append(wait)
            return Changes([], after_revision)

    client = RecordingStoreClient(fleet.store)
    reader = SharedWatches(client, lambda: fleet.peers, "p07", fleet.ask, 2.0, client.answered_at)
    asked_at = time.monotonic()
    await reader.watch("a/", 0, 1.8)
    asked_s = time.monotonic() - asked_at
    assert len(waits) == 1
    assert waits[0] + asked_s < 2.0, "a stale watch and a silent feed server together"
    watcher = SharedWatches(client, lambda: fleet.peers, "p00", fleet.ask, 2.0, client.answered_at)
    await watcher.watch("a/", 0, 1.8)
    assert waits[1] > waits[0], "a watcher asks no other process first"
