"""Determines from the answers of a slot's replicas which value of a record is agreed.

Inputs: the answers of the replicas to one round, each with the ballot at which the replica accepted
its value.
Rule: a value that a majority accepted at the same ballot is agreed. At the fast ballot, a value is
agreed only if all replicas accepted it and all hold the same value. All replicas are needed because
two fast quorums of only a majority, together with a classic quorum, need not have a replica in
common. The values are compared because proposers share the fast ballot; any other ballot belongs to
one proposer. In a classic round, a proposer proposes the value accepted at the highest ballot among
the promises of a majority, or a value derived from it.
Purpose: an agreed value is only ever replaced by a value that was derived from it.
Logged as: no log event; the record contents (`crankseam explain`) show the result.
Tested by: tests/records/test_agreement.py, tests/records/test_fast_round_reads.py,
tests/records/test_small_worlds.py, tests/records/test_record_machine.py. The alternatives are
compared in docs/design/04-records.md.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from crankseam.peers.messages import FAST_BALLOT, AnyMessage, Ballot, Promise, ReplicaSet
from crankseam.records.slots import majority

ROUNDS_PER_EPOCH = 2**32
"""Size of the range of ballot rounds reserved for each epoch, so that every ballot of an epoch is
higher than every ballot of earlier epochs. Two nodes that move the same slot may install different
values of the old epoch, both legitimately; a value agreed in the new epoch must take precedence
over either. The range is far larger than the number of rounds one process starts in its
lifetime."""


def agreed_by_majority(
    replica_set: ReplicaSet, answers: Mapping[str, AnyMessage]
) -> Promise | None:
    """Return the agreed ballot and value, as a `Promise`, if these answers prove them.

    The `Promise` is empty if a majority holds no value. None means that the answers do not prove
    agreement; the caller then runs a full round (prepare and accept).
    """
    promises = [answer for answer in answers.values() if isinstance(answer, Promise)]
    if len(promises) < majority(replica_set):
        return None
    first = promises[0]
    if any(promise != first for promise in promises):
        return None
    if first.accepted == FAST_BALLOT and len(promises) < len(replica_set.members):
        return None
    return first


def highest_accepted_value(promises: Sequence[Promise]) -> bytes | None:
    """Return the value accepted at the highest ballot, or None if no value was accepted."""
    accepted = [promise for promise in promises if promise.accepted is not None]
    if not accepted:
        return None
    newest = max(accepted, key=lambda promise: promise.accepted or FAST_BALLOT)
    return newest.value


def make_ballot(replica_set: ReplicaSet, epoch_round: int, identity: str) -> Ballot:
    """Return the ballot of the proposer `identity` for a round counted within the set's epoch."""
    return Ballot(replica_set.epoch * ROUNDS_PER_EPOCH + epoch_round, identity)


def epoch_round_of(replica_set: ReplicaSet, promised: Ballot) -> int:
    """Return the round of a ballot, counted within the set's epoch.

    The result is below 1 for a ballot of an earlier epoch, or of a build that did not reserve
    rounds for each epoch.
    """
    return promised.round - replica_set.epoch * ROUNDS_PER_EPOCH
