"""What do the replicas of a slot agree on: which value of a record may be relied on or proposed?

Inputs: the answers of the replicas to one round, each with the ballot at which it accepted a value.
Rule: what a majority accepted at one ballot is agreed. The fast ballot counts only with all
replicas, since two fast quorums of a majority need not meet, and only where all hold the same
value: unlike other ballots it belongs to no single proposer. A proposer continues with the value
accepted at the highest ballot that a majority told it of.
Protects: a value that was agreed once is never replaced by another that was not made from it.
Shown by: what records say (`crankseam explain`). Held by: tests/records/test_agreement.py,
tests/records/test_fast_round_reads.py, tests/records/test_small_worlds.py,
tests/records/test_record_machine.py; docs/design/04-records.md weighs the ways.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from crankseam.peers.messages import FAST_BALLOT, AnyMessage, Ballot, Promise, ReplicaSet
from crankseam.records.slots import majority

ROUNDS_PER_EPOCH = 2**32
"""Rounds that an epoch's ballots have for themselves, so that each ballot of an epoch is above
each of the epochs before it. Two movers may install different values of the old epoch, both in
order; what is agreed in the new epoch must stand above either. Far more than a process tries in
its life."""


def agreed_by_majority(
    replica_set: ReplicaSet, answers: Mapping[str, AnyMessage]
) -> Promise | None:
    """The value that a majority holds at one ballot, or that it holds nothing at all.

    None where that is not known from these answers; it needs a full round then.
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


def value_to_continue(promises: Sequence[Promise]) -> bytes | None:
    """The value accepted at the highest ballot; None where none was accepted."""
    accepted = [promise for promise in promises if promise.accepted is not None]
    if not accepted:
        return None
    newest = max(accepted, key=lambda promise: promise.accepted or FAST_BALLOT)
    return newest.value


def ballot_of(replica_set: ReplicaSet, tries: int, identity: str) -> Ballot:
    """A proposer's ballot for its try of this number in the set's epoch."""
    return Ballot(replica_set.epoch * ROUNDS_PER_EPOCH + tries, identity)


def tries_behind(replica_set: ReplicaSet, promised: Ballot) -> int:
    """The try behind a ballot; below 1 for one of an earlier epoch or build."""
    return promised.round - replica_set.epoch * ROUNDS_PER_EPOCH
