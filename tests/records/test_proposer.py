"""Creating, changing, reading and moving single records through the proposer."""

import pytest

from crankseam.errors import NoQuorum, RecordExpired
from crankseam.peers.messages import FAST_BALLOT, Accept, Install, ReplicaSet, Seal
from crankseam.records import replica
from crankseam.records.proposer import RecordKey
from tests.support.memory_cluster import MemoryCluster

MEMBERS = ["a@1", "b@1", "c@1"]
RECORD = RecordKey(0, "record", 1000)


@pytest.fixture
def cluster() -> MemoryCluster:
    return MemoryCluster(MEMBERS)


async def test_fast_round_needs_one_round_trip_and_all_replicas(cluster):
    client = cluster.client("p@1", cluster.found(MEMBERS))
    reserved = await client.proposer.create(RECORD, b"one")
    assert reserved is not None
    assert [store.operations for store in cluster.stores.values()] == [1, 1, 1]
    assert await client.proposer.overwrite(RECORD, reserved, b"two")
    assert await client.proposer.read(RECORD) == b"two"


async def test_fast_round_on_two_of_three_replicas_is_not_enough(cluster):
    client = cluster.client("p@1", cluster.found(MEMBERS))
    cluster.lose_request = lambda caller, target, message: target == "c@1"
    assert await client.proposer.create(RECORD, b"one") is None


async def test_second_creator_sees_what_the_first_created(cluster):
    replica_set = cluster.found(MEMBERS)
    first, second = cluster.client("p@1", replica_set), cluster.client("q@1", replica_set)
    await first.proposer.create(RECORD, b"one")
    assert await second.proposer.create(RECORD, b"two") is None
    assert await second.proposer.change(RECORD, lambda value: value or b"two") == b"one"


async def test_overtaken_owner_is_refused(cluster):
    replica_set = cluster.found(MEMBERS)
    first, second = cluster.client("p@1", replica_set), cluster.client("q@1", replica_set)
    reserved = await first.proposer.create(RECORD, b"one")
    await second.proposer.change(RECORD, lambda value: b"changed")
    assert not await first.proposer.overwrite(RECORD, reserved, b"two")
    assert await second.proposer.read(RECORD) == b"changed"


async def test_overwrite_without_a_majority_is_no_error_but_not_done(cluster):
    """NoQuorum used to escape from `overwrite` as status 500 (experiments/faults.toml, seed 3)."""
    client = cluster.client("p@1", cluster.found(MEMBERS))
    reserved = await client.proposer.create(RECORD, b"one")
    cluster.lose_request = lambda caller, target, message: target != "a@1"
    assert not await client.proposer.overwrite(RECORD, reserved, b"two")


async def test_promises_do_not_outlive_their_epoch(cluster):
    replica_set = cluster.found(MEMBERS)
    first, second = cluster.client("p@1", replica_set), cluster.client("q@1", replica_set)
    reserved = await first.proposer.create(RECORD, b"one")
    cluster.add("d@1")
    moved = await second.reconfigurer.move(replica_set, ["a@1", "b@1", "d@1"])
    first.slots.update(moved)
    assert not await first.proposer.overwrite(RECORD, reserved, b"two")


async def test_no_majority_is_told_as_such(cluster):
    client = cluster.client("p@1", cluster.found(MEMBERS))
    cluster.lose_request = lambda caller, target, message: target != "a@1"
    with pytest.raises(NoQuorum):
        await client.proposer.change(RECORD, lambda value: b"x")


async def test_an_id_older_than_what_is_remembered_is_refused(cluster):
    client = cluster.client("p@1", cluster.found(MEMBERS))
    await client.proposer.change(RECORD, lambda value: b"x")
    for store in cluster.stores.values():
        store.drop_before(2000)
    with pytest.raises(RecordExpired):
        await client.proposer.change(RECORD, lambda value: b"y")
    assert await client.proposer.change(RecordKey(0, "new", 2001), lambda value: b"z") == b"z"


async def test_a_read_does_not_trust_a_fast_value_that_two_replicas_hold(cluster):
    """The third replica may hold a different value, so neither value is agreed."""
    replica_set = cluster.found(MEMBERS)
    cluster.lose_request = lambda caller, target, message: (
        isinstance(message, Accept) and message.ballot == FAST_BALLOT and target == "c@1"
    )
    first, second = cluster.client("p@1", replica_set), cluster.client("q@1", replica_set)
    await first.proposer.create(RECORD, b"one")
    cluster.lose_request = lambda caller, target, message: False
    value = await second.proposer.read(RECORD)
    assert value == b"one"  # the read itself made this value agreed
    promised = [store.slots[0].registers["record"].accepted for store in cluster.stores.values()]
    assert sum(ballot is not None and ballot.round > 0 for ballot in promised) >= 2


async def test_a_value_survives_the_move_of_two_replicas_and_the_death_of_the_mover(cluster):
    replica_set = cluster.found(MEMBERS)
    client = cluster.client("p@1", replica_set)
    await client.proposer.create(RECORD, b"one")
    del cluster.stores["c@1"]
    cluster.add("d@1")
    # The moving node fails after installing on one new member: its other Installs are lost.

    cluster.lose_request = lambda caller, target, message: (
        isinstance(message, Install) and target != "a@1"
    )
    with pytest.raises(NoQuorum):
        await client.reconfigurer.move(replica_set, ["a@1", "b@1", "d@1"])
    cluster.lose_request = lambda caller, target, message: False
    [(old, agreed)] = cluster.stores["b@1"].sealed_slots()
    other = cluster.client("q@1", agreed)
    await other.reconfigurer.finish(old, agreed)
    assert await other.proposer.read(RECORD) == b"one"


async def test_a_dropped_slot_is_not_started_again_by_old_news(cluster):
    """A replica that has lost its registers of an epoch must not vote in that epoch again."""
    replica_set = cluster.found(MEMBERS)
    cluster.add("d@1")
    client = cluster.client("p@1", replica_set)
    await client.reconfigurer.move(replica_set, ["a@1", "b@1", "d@1"])
    cluster.stores["c@1"].drop_sealed_slot(0)
    cluster.stores["c@1"].start_founded_epoch(replica_set)
    assert 0 not in cluster.stores["c@1"].slots


async def test_a_move_needs_the_state_of_a_majority(cluster):
    replica_set = cluster.found(MEMBERS)
    client = cluster.client("p@1", replica_set)
    cluster.lose_request = lambda caller, target, message: target == "c@1"
    await client.proposer.change(RECORD, lambda value: b"one")
    cluster.add("d@1")
    cluster.lose_request = lambda caller, target, message: (
        isinstance(message, Seal) and target != "c@1"
    )
    with pytest.raises(NoQuorum):
        await client.reconfigurer.move(replica_set, ["a@1", "b@1", "d@1"])


async def test_a_large_slot_moves_in_pages(cluster, monkeypatch):
    """At the two-year size (docs/CAPACITY.md) a slot's state exceeds the maximum frame size."""
    monkeypatch.setattr(replica, "PAGE_BYTES", 300)
    replica_set = cluster.found(MEMBERS)
    client = cluster.client("p@1", replica_set)
    records = [RecordKey(0, f"record-{number:03d}", 1000) for number in range(40)]
    for number, record in enumerate(records):
        await client.proposer.change(record, lambda _value, n=number: b"%d" % n * 20)
    store = cluster.add("d@1")
    pages = []
    install = store.on_install

    async def count_pages(peer, message):
        pages.append(message)
        return await install(peer, message)

    store.on_install = count_pages
    moved = await client.reconfigurer.move(replica_set, ["a@1", "b@1", "d@1"])
    reader = cluster.client("q@1", moved)
    for number, record in enumerate(records):
        assert await reader.proposer.read(record) == b"%d" % number * 20
    assert len(pages) > 5
    assert store.record_count() == 40


async def test_a_slot_founded_anew_ends_the_old_epoch_on_replicas_that_hear_of_it(cluster):
    """Surviving replicas of the old set would otherwise continue to vote in the old epoch."""
    replica_set = cluster.found(MEMBERS)
    client = cluster.client("p@1", replica_set)
    await client.proposer.create(RECORD, b"one")
    cluster.add("d@1")
    founded_again = ReplicaSet(0, 1001, ["d@1"], floor=5000, founded=True)
    for store in cluster.stores.values():
        store.start_founded_epoch(founded_again)
    with pytest.raises(NoQuorum):
        await client.proposer.change(RECORD, lambda value: b"two")
    later = cluster.client("q@1", founded_again)
    with pytest.raises(RecordExpired):
        await later.proposer.change(RECORD, lambda value: b"three")
    after_floor = RecordKey(0, "new", 5001)
    assert await later.proposer.change(after_floor, lambda value: b"four") == b"four"
