"""A read must not tell a value that nobody agreed on.

What happened: three callers create one record at the same moment, and each reaches another replica
first. Each replica then holds another value at the fast ballot, and none of the three is agreed.
A read that heard all three replicas answered with the value of whichever answered first, another
one at the next read, and the change after it continued with a third. Why: that all replicas had
accepted something at the fast ballot was taken for agreement; the values were not compared.
What showed it: three reads in a row by one majority read answered `1, 0, 1` and the next change
`0`; of 400 tries with such replicas 329 answered two values.
"""

import asyncio
import itertools

import pytest

from crankseam.peers.messages import FAST_BALLOT, Accept, Promise, ReplicaSet
from crankseam.records.agreement import agreed_by_majority
from crankseam.records.proposer import RecordKey
from tests.support.memory_cluster import MemoryCluster
from tests.support.virtual_clock import VirtualClockLoop

MEMBERS = ["a@1", "b@1", "c@1"]
SET = ReplicaSet(0, 1, MEMBERS, 0)
WHERE = RecordKey(0, "record", 1000)
ORDERS = list(itertools.permutations(MEMBERS))


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("values", [b"xyz", b"xxy", b"xyx", b"yxx"])
def test_different_values_at_the_fast_ballot_are_not_agreed(order, values):
    held = {m: Promise(FAST_BALLOT, bytes([v])) for m, v in zip(MEMBERS, values, strict=True)}
    assert agreed_by_majority(SET, {member: held[member] for member in order}) is None


@pytest.mark.parametrize("order", ORDERS)
def test_the_same_value_at_the_fast_ballot_of_all_replicas_is_agreed(order):
    answers = {member: Promise(FAST_BALLOT, b"x") for member in order}
    assert agreed_by_majority(SET, answers) == Promise(FAST_BALLOT, b"x")


async def _reads_and_a_change(orders) -> list[bytes | None]:
    """What successive reads and the change after them tell, each hearing replicas in its order."""
    cluster = MemoryCluster(MEMBERS)
    replica_set = cluster.found(MEMBERS)
    for member, value in zip(MEMBERS, (b"x", b"y", b"z"), strict=True):
        message = Accept(0, 1, WHERE.key, WHERE.dated, FAST_BALLOT, value, f"{member}-first")
        await cluster.deliver("writer", member, message)
    told = []
    for number, order in enumerate(orders):
        cluster.delay_s = lambda _c, target, _m, order=order: 0.001 * (1 + order.index(target))
        client = cluster.client(f"reader{number}@1", replica_set)
        if number < len(orders) - 1:
            told.append(await client.proposer.read(WHERE))
        else:
            told.append(await client.proposer.change(WHERE, lambda standing: standing))
    await asyncio.sleep(1.0)  # messages that nobody waits for any more arrive as well
    return told


@pytest.mark.parametrize("last", ORDERS)
def test_reads_and_the_change_after_them_tell_one_value(last):
    loop = VirtualClockLoop()
    asyncio.set_event_loop(None)
    try:
        for orders in itertools.product(ORDERS, repeat=2):
            told = loop.run_until_complete(_reads_and_a_change([*orders, last]))
            assert len(set(told)) == 1, f"{orders}: {told}"
    finally:
        loop.close()
