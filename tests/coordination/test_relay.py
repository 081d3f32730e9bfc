import asyncio

import msgspec
import pytest

from crankseam.coordination import store_route
from crankseam.coordination.interface import (
    Condition,
    HistoryCompacted,
    LeaseExpired,
    Put,
    Transaction,
    TransactionConflict,
    read_prefix,
)
from crankseam.coordination.relay import RelayedStore
from crankseam.coordination.relay_messages import RelayAnswer
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually


class FaultyStoreClient:
    """The client of one process for a shared store; it can fail independently of other clients."""

    def __init__(self, store):
        self._store = store
        self.error = None
        self.calls = 0

    def __getattr__(self, name):
        async def call(*arguments):
            self.calls += 1
            if self.error is not None:
                raise self.error
            return await getattr(self._store, name)(*arguments)

        return call


@pytest.fixture
def two_processes(monkeypatch):
    monkeypatch.setattr(store_route, "FAILING_AFTER_S", 0.0)
    monkeypatch.setattr(store_route, "PROBE_INTERVAL_S", 1000.0)
    store = MemoryStore()
    clients = [FaultyStoreClient(store), FaultyStoreClient(store)]
    stores = {}

    async def call_peer(address, raw, timeout_s):
        return await stores[address].serve(raw)

    for name, peer, client in (("a", "b", clients[0]), ("b", "a", clients[1])):
        stores[name] = RelayedStore(client, lambda peer=peer: [peer], call_peer)
    return store, clients, stores["a"]


async def test_a_process_that_the_store_refuses_works_through_a_peer(two_processes):
    store, (own_client, peers), relayed = two_processes
    own_client.error = KeyValueUnavailable("refused")
    await relayed.commit(Transaction(puts=[Put("a/1", b"\x00\xff")]))
    own_calls_before = own_client.calls
    lease, _ = await relayed.grant_lease(5.0)
    assert await relayed.renew_lease(lease) == 5.0
    await relayed.commit(Transaction(puts=[Put("a/2", b"", lease)], removals=["a/1"]))
    entries, revision = await read_prefix(relayed, "a/")
    assert [entry.key for entry in entries] == ["a/2"]
    assert (await relayed.get("a/2")).lease == lease and await relayed.get("a/1") is None
    await relayed.end_lease(lease)
    seen = await relayed.watch("a/", revision, 1.0)
    assert [change.key for change in seen.changes] == ["a/2"]
    assert own_client.calls == own_calls_before, "the direct route is only probed from time to time"


async def test_answers_keep_their_types_through_a_peer(two_processes):
    store, (own_client, _), relayed = two_processes
    await store.commit(Transaction(puts=[Put("k", b"1")]))
    own_client.error = KeyValueUnavailable("refused")
    with pytest.raises(TransactionConflict) as conflict:
        await relayed.commit(Transaction([Condition("k", 0)], [Put("k", b"2")]))
    assert conflict.value.found["k"].value == b"1"
    with pytest.raises(LeaseExpired):
        await relayed.renew_lease(99)
    store.faults.compacted = True
    with pytest.raises(HistoryCompacted):
        await relayed.watch("k", 0, 0.1)


async def test_a_change_whose_answer_was_lost_is_not_made_again_through_a_peer(two_processes):
    store, (own_client, _), relayed = two_processes
    own_client.error = KeyValueOutcomeUnknown("lost")
    with pytest.raises(KeyValueOutcomeUnknown):
        await relayed.commit(Transaction(puts=[Put("k", b"1")]))
    assert "k" not in store.entries


async def test_an_outage_for_all_costs_the_peer_no_call(two_processes):
    _, (own_client, peers), relayed = two_processes
    own_client.error = peers.error = KeyValueUnavailable("down")
    for _ in range(3):
        with pytest.raises(KeyValueUnavailable):
            await relayed.get("k")
    assert peers.calls <= 1


async def test_the_own_way_is_taken_again_when_it_works(two_processes, monkeypatch):
    _, (own_client, peers), relayed = two_processes
    own_client.error = KeyValueUnavailable("refused")
    await relayed.get("k")
    own_client.error = None
    monkeypatch.setattr(store_route, "PROBE_INTERVAL_S", 0.0)
    await relayed.get("k")
    peer_calls_before = peers.calls
    await relayed.get("k")
    assert not relayed.is_direct_failing() and peers.calls == peer_calls_before


async def test_a_watch_that_began_before_the_trouble_does_not_hide_it(two_processes):
    """The watch uses an older connection, so its answer does not show that new calls succeed."""
    store, (own_client, _), relayed = two_processes
    revision = await store.commit(Transaction(puts=[Put("a/1", b"")]))
    watching = asyncio.create_task(relayed.watch("a/", revision, 5.0))
    await eventually(lambda: own_client.calls == 1)
    own_client.error = KeyValueUnavailable("refused")
    await relayed.get("a/1")
    await store.commit(Transaction(puts=[Put("a/2", b"")]))
    assert [change.key for change in (await watching).changes] == ["a/2"]
    assert relayed.is_direct_failing()
    own_client.error = None
    await relayed.get("a/1")


async def test_only_what_the_store_answered_directly_tells_that_the_way_is_open(two_processes):
    _, (own_client, _), relayed = two_processes
    await relayed.get("a/1")
    answered_at = relayed.answered_at
    assert answered_at > float("-inf")
    own_client.error = KeyValueUnavailable("refused")
    await relayed.get("a/1")
    assert relayed.answered_at == answered_at, "an answer through a peer must not count"


async def test_a_peer_that_is_refused_too_is_passed_over_at_once(monkeypatch):
    monkeypatch.setattr(store_route, "FAILING_AFTER_S", 0.0)
    monkeypatch.setattr(store_route, "PROBE_INTERVAL_S", 1000.0)
    monkeypatch.setattr(store_route.random, "choice", lambda found: sorted(found)[0])
    store = MemoryStore()
    clients = {name: FaultyStoreClient(store) for name in "abcd"}
    stores = {}

    async def call_peer(address, raw, timeout_s):
        return await stores[address].serve(raw)

    for name, client in clients.items():
        others = [other for other in "abcd" if other != name]
        stores[name] = RelayedStore(client, lambda others=others: others, call_peer)
    for name in "abc":
        clients[name].error = KeyValueUnavailable("refused")
    await stores["a"].commit(Transaction(puts=[Put("k", b"1")]))
    assert store.entries["k"].value == b"1"
    assert (clients["b"].calls, clients["c"].calls, clients["d"].calls) == (1, 1, 1)
    await stores["a"].commit(Transaction(puts=[Put("k", b"2")]))
    assert (clients["b"].calls, clients["c"].calls) == (1, 1), (
        "peers that refused must be avoided for a while"
    )


async def test_where_all_are_refused_the_failure_is_told(monkeypatch):
    monkeypatch.setattr(store_route, "FAILING_AFTER_S", 0.0)
    store = MemoryStore()
    clients = {name: FaultyStoreClient(store) for name in "ab"}
    stores = {}

    async def call_peer(address, raw, timeout_s):
        return await stores[address].serve(raw)

    for name, client in clients.items():
        client.error = KeyValueUnavailable("refused")
        others = [other for other in "ab" if other != name]
        stores[name] = RelayedStore(client, lambda others=others: others, call_peer)
    with pytest.raises(KeyValueUnavailable):
        await stores["a"].commit(Transaction(puts=[Put("k", b"1")]))


async def test_a_peer_that_can_do_nothing_goes_before_one_that_is_silent(monkeypatch):
    """In an outage for all processes, a frozen peer must not be preferred to one that refuses."""
    monkeypatch.setattr(store_route, "FAILING_AFTER_S", 0.0)
    monkeypatch.setattr(store_route, "PROBE_INTERVAL_S", 1000.0)
    own_client = FaultyStoreClient(MemoryStore())
    own_client.error = KeyValueUnavailable("refused")
    asked = []

    async def call_peer(address, raw, timeout_s):
        asked.append((address, timeout_s))
        if address == "silent":
            raise KeyValueOutcomeUnknown("silent")
        return msgspec.msgpack.encode(RelayAnswer(KeyValueUnavailable.__name__))

    relayed = RelayedStore(own_client, lambda: ["silent", "refused"], call_peer)
    silent_peer_seen = False
    for _ in range(20):
        asked.clear()
        with pytest.raises((KeyValueUnavailable, KeyValueOutcomeUnknown)):
            await relayed.watch("a/", 0, 0.7)
        if silent_peer_seen:
            assert [address for address, _ in asked] == ["refused"]
        silent_peer_seen = silent_peer_seen or ("silent" in [address for address, _ in asked])
        assert max(timeout_s for _, timeout_s in asked) <= 0.7 + store_route.WATCH_SLACK_S
    assert silent_peer_seen
