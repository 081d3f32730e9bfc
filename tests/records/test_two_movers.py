"""Two nodes (movers) that move one slot must not lose agreed values or create two sets per epoch.

First failure: two replicas hold the agreed value `v`; the third holds a value that its proposer
could write only there, at a high ballot. One mover reads the first two replicas and installs `v`.
In the new epoch `w` is agreed after it, at a low ballot because its proposer has just started. A
second mover, whose probes got no answer, reads the third replica and installs its value on the
lagging member. Ballots of the two epochs were compared with each other, so a later round continued
with the value of the old epoch: a reader of two members got `v,x` after `v,w` had been agreed.

Second failure: a replica that received neither the Seal nor the Install message learns of the new
set and moves the slot as well. Since the proposer follows a slot to the newest epoch that it knows,
the replica's choice of the next set was agreed in the new epoch, and two sets of one epoch served.
"""

import pytest

from crankseam.errors import RecordError
from crankseam.peers.messages import Accept, Ballot, Install, Prepare, ReadRecord, Seal
from crankseam.records.proposer import RecordKey
from tests.support.memory_cluster import MemoryCluster

RECORD = RecordKey(0, "record", 1000)
OLD = ["a@1", "b@1", "c@1"]


@pytest.fixture
def cluster() -> MemoryCluster:
    return MemoryCluster([*OLD, "d@1", "e@1", "f@1", "g@1"])


def lose_messages(kind, *targets):
    return lambda _caller, target, message: isinstance(message, kind) and target in targets


async def _accept_on_one_replica(cluster, value):
    """Let a proposer at a high round get promises from a majority and reach one with its Accept."""
    ballot = Ballot(10, "x@1")
    for target in ("a@1", "b@1"):
        message = Prepare(0, 1, RECORD.key, RECORD.dated, ballot)
        await cluster.deliver("x@1", target, message)
    accept = Accept(0, 1, RECORD.key, RECORD.dated, ballot, value)
    await cluster.deliver("x@1", "a@1", accept)


@pytest.mark.parametrize("readers", [("b@1", "e@1"), ("d@1", "e@1"), ("b@1", "d@1")])
async def test_a_second_mover_does_not_bring_back_what_the_new_epoch_overtook(cluster, readers):
    first_set = cluster.found(OLD)
    writer = cluster.client("p@1", first_set)
    await writer.proposer.change(RECORD, lambda _current: b"v")
    await _accept_on_one_replica(cluster, b"v,x")

    cluster.lose_request = lambda caller, target, message: (
        lose_messages(Seal, "a@1")(caller, target, message)
        or lose_messages(Install, "e@1")(caller, target, message)
    )
    moved = await writer.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])
    new_client = cluster.client("young@1", moved)
    assert await new_client.proposer.change(RECORD, lambda current: current + b",w") == b"v,w"

    cluster.lose_request = lambda caller, target, message: (
        lose_messages(ReadRecord, *moved.members)(caller, target, message)
        or lose_messages(Seal, "b@1")(caller, target, message)
    )
    await cluster.client("late@1", moved).reconfigurer.finish(first_set, moved)

    others = [member for member in moved.members if member not in readers]
    cluster.lose_request = lambda _caller, target, _message: target in others
    assert await cluster.client("r@1", moved).proposer.read(RECORD) == b"v,w"


async def test_a_replica_that_missed_a_move_does_not_found_a_second_set_of_its_epoch(cluster):
    first_set = cluster.found(OLD)
    mover = cluster.client("p@1", first_set)
    await mover.proposer.change(RECORD, lambda _current: b"v")
    cluster.lose_request = lambda caller, target, message: (
        isinstance(message, Seal | Install) and target == "b@1"
    )
    moved = await mover.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])

    cluster.lose_request = lambda *_args: False
    lagging = cluster.client("b@1", first_set)
    lagging.slots.update(moved)
    with pytest.raises(RecordError):
        await lagging.reconfigurer.move(first_set, ["b@1", "f@1", "g@1"])
    held = [store.slots[0].replica_set for store in cluster.stores.values() if 0 in store.slots]
    assert {tuple(s.members) for s in held if s.epoch == moved.epoch} == {tuple(moved.members)}


async def test_a_member_that_the_move_missed_is_brought_in_by_what_another_member_holds(cluster):
    first_set = cluster.found(OLD)
    mover = cluster.client("p@1", first_set)
    await mover.proposer.change(RECORD, lambda _current: b"v")
    cluster.lose_request = lambda _caller, target, message: (
        isinstance(message, Seal | Install) and target == "b@1"
    )
    moved = await mover.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])
    await mover.proposer.change(RECORD, lambda current: current + b",w")

    cluster.lose_request = lambda *_args: False
    cluster.stores["b@1"].seal_for_newer_set(moved)
    [(old, agreed)] = cluster.stores["b@1"].sealed_slots()
    await cluster.client("b@1", moved).reconfigurer.finish(old, agreed)
    assert cluster.stores["b@1"].sealed_slots() == []
    cluster.lose_request = lambda _caller, target, _message: target == "d@1"
    assert await cluster.client("r@1", moved).proposer.read(RECORD) == b"v,w"


async def test_a_sealed_replica_keeps_to_the_set_that_sealed_it(cluster):
    first_set = cluster.found(OLD)
    mover = cluster.client("p@1", first_set)
    cluster.lose_request = lose_messages(Install, *cluster.stores)
    with pytest.raises(RecordError):
        await mover.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])
    sealed = cluster.stores["a@1"].slots[0].sealed_by
    other = type(sealed)(0, 2, ["a@1", "f@1", "g@1"], 0)
    await cluster.deliver("q@1", "a@1", Seal(0, 1, other, ""))
    assert cluster.stores["a@1"].slots[0].sealed_by == sealed


async def test_a_promised_ballot_writes_once(cluster):
    """Two values at one ballot could not be told apart, so the second write must be refused."""
    replica_set = cluster.found(OLD)
    owner, other = cluster.client("p@1", replica_set), cluster.client("q@1", replica_set)
    owned = await owner.proposer.create(RECORD, b"one")
    cluster.lose_request = lambda _caller, target, _message: target != "a@1"
    assert not await owner.proposer.overwrite(RECORD, owned, b"two")
    cluster.lose_request = lambda *_args: False
    assert not await owner.proposer.overwrite(RECORD, owned, b"three")
    assert await other.proposer.read(RECORD) in (b"one", b"two")
