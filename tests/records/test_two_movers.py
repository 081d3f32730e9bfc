"""Two movers of one slot must not lose what was agreed, nor bring about two sets of one epoch.

First story: a register has the agreed value `v` on two replicas, and on the third a value that one
proposer could only bring there, at a high ballot. A mover reads the first two and installs `v`; in
the new epoch `w` is agreed on top of it, at a low ballot, since its proposer is young. A second
mover, whose probes got no answer, reads the third replica and installs its value on the member
that lagged. Ballots of the old epoch and of the new one were compared, so that a later round
continued with the old value: `w` was lost. What showed it: a reader of two members was told `v,x`
after `v,w` had been agreed.

Second story: a replica that was reached by neither the seal nor the installation hears of the new
set, and moves the slot as well. Its choice of the next set was agreed in the new epoch, since the
proposer follows to the newest epoch that it knows; then two sets of one epoch served.
"""

import pytest

from crankseam.errors import RecordError
from crankseam.peers.messages import Accept, Ballot, Install, Prepare, ReadRecord, Seal
from crankseam.records.proposer import RecordKey
from tests.support.memory_cluster import MemoryCluster

WHERE = RecordKey(0, "record", 1000)
OLD = ["a@1", "b@1", "c@1"]


@pytest.fixture
def cluster() -> MemoryCluster:
    return MemoryCluster([*OLD, "d@1", "e@1", "f@1", "g@1"])


def lose(kind, *targets):
    return lambda _caller, target, message: isinstance(message, kind) and target in targets


async def _reached_one_replica_only(cluster, value):
    """A proposer of many rounds is promised by a majority, then reaches one replica."""
    ballot = Ballot(10, "x@1")
    for target in ("a@1", "b@1"):
        message = Prepare(0, 1, WHERE.key, WHERE.dated, ballot)
        await cluster.deliver("x@1", target, message)
    accept = Accept(0, 1, WHERE.key, WHERE.dated, ballot, value)
    await cluster.deliver("x@1", "a@1", accept)


@pytest.mark.parametrize("readers", [("b@1", "e@1"), ("d@1", "e@1"), ("b@1", "d@1")])
async def test_a_second_mover_does_not_bring_back_what_the_new_epoch_overtook(cluster, readers):
    first_set = cluster.found(OLD)
    writer = cluster.client("p@1", first_set)
    await writer.proposer.change(WHERE, lambda _standing: b"v")
    await _reached_one_replica_only(cluster, b"v,x")

    cluster.lose_request = lambda caller, target, message: (
        lose(Seal, "a@1")(caller, target, message) or lose(Install, "e@1")(caller, target, message)
    )
    moved = await writer.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])
    young = cluster.client("young@1", moved)
    assert await young.proposer.change(WHERE, lambda standing: standing + b",w") == b"v,w"

    cluster.lose_request = lambda caller, target, message: (
        lose(ReadRecord, *moved.members)(caller, target, message)
        or lose(Seal, "b@1")(caller, target, message)
    )
    await cluster.client("late@1", moved).reconfigurer.finish(first_set, moved)

    others = [member for member in moved.members if member not in readers]
    cluster.lose_request = lambda _caller, target, _message: target in others
    assert await cluster.client("r@1", moved).proposer.read(WHERE) == b"v,w"


async def test_a_replica_that_missed_a_move_does_not_found_a_second_set_of_its_epoch(cluster):
    first_set = cluster.found(OLD)
    mover = cluster.client("p@1", first_set)
    await mover.proposer.change(WHERE, lambda _standing: b"v")
    cluster.lose_request = lambda caller, target, message: (
        isinstance(message, Seal | Install) and target == "b@1"
    )
    moved = await mover.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])

    cluster.lose_request = lambda *_args: False
    lagging = cluster.client("b@1", first_set)
    lagging.slots.learn(moved)
    with pytest.raises(RecordError):
        await lagging.reconfigurer.move(first_set, ["b@1", "f@1", "g@1"])
    held = [store.slots[0].replica_set for store in cluster.stores.values() if 0 in store.slots]
    assert {tuple(s.members) for s in held if s.epoch == moved.epoch} == {tuple(moved.members)}


async def test_a_member_that_the_move_missed_is_brought_in_by_what_another_member_holds(cluster):
    first_set = cluster.found(OLD)
    mover = cluster.client("p@1", first_set)
    await mover.proposer.change(WHERE, lambda _standing: b"v")
    cluster.lose_request = lambda _caller, target, message: (
        isinstance(message, Seal | Install) and target == "b@1"
    )
    moved = await mover.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])
    await mover.proposer.change(WHERE, lambda standing: standing + b",w")

    cluster.lose_request = lambda *_args: False
    cluster.stores["b@1"].end_epoch(moved)
    [(old, agreed)] = cluster.stores["b@1"].sealed()
    await cluster.client("b@1", moved).reconfigurer.finish(old, agreed)
    assert cluster.stores["b@1"].sealed() == []
    cluster.lose_request = lambda _caller, target, _message: target == "d@1"
    assert await cluster.client("r@1", moved).proposer.read(WHERE) == b"v,w"


async def test_a_sealed_replica_keeps_to_the_set_that_sealed_it(cluster):
    first_set = cluster.found(OLD)
    mover = cluster.client("p@1", first_set)
    cluster.lose_request = lose(Install, *cluster.stores)
    with pytest.raises(RecordError):
        await mover.reconfigurer.move(first_set, ["b@1", "d@1", "e@1"])
    sealed = cluster.stores["a@1"].slots[0].sealed_by
    other = type(sealed)(0, 2, ["a@1", "f@1", "g@1"], 0)
    await cluster.deliver("q@1", "a@1", Seal(0, 1, other, ""))
    assert cluster.stores["a@1"].slots[0].sealed_by == sealed


async def test_a_promised_ballot_writes_once(cluster):
    """Two values at one ballot could not be told apart: the second write takes the long way."""
    replica_set = cluster.found(OLD)
    owner, other = cluster.client("p@1", replica_set), cluster.client("q@1", replica_set)
    owned = await owner.proposer.create(WHERE, b"one")
    cluster.lose_request = lambda _caller, target, _message: target != "a@1"
    assert not await owner.proposer.overwrite(WHERE, owned, b"two")
    cluster.lose_request = lambda *_args: False
    assert not await owner.proposer.overwrite(WHERE, owned, b"three")
    assert await other.proposer.read(WHERE) in (b"one", b"two")
