"""Which value the answers of a slot's replicas prove to be agreed."""

from crankseam.peers.messages import FAST_BALLOT, Ballot, Promise, Rejected, ReplicaSet
from crankseam.records.agreement import agreed_by_majority, highest_accepted_value

SET = ReplicaSet(0, 1, ["a@1", "b@1", "c@1"], 0)
EMPTY = Promise(None, None)
FAST = Promise(FAST_BALLOT, b"fast")
FIRST = Promise(Ballot(2, "p@1"), b"first")
SECOND = Promise(Ballot(3, "q@1"), b"second")


def agreed(*answers):
    return agreed_by_majority(SET, dict(zip(SET.members, answers, strict=False)))


def test_a_majority_at_one_ballot_is_agreed():
    assert agreed(FIRST, FIRST) == FIRST
    assert agreed(EMPTY, EMPTY) == EMPTY


def test_fewer_than_a_majority_or_different_ballots_tell_nothing():
    assert agreed(FIRST) is None
    assert agreed(FIRST, Rejected(Ballot(4, "q@1"))) is None
    assert agreed(FIRST, SECOND) is None
    assert agreed(FIRST, FIRST, EMPTY) is None


def test_a_fast_value_counts_only_with_all_replicas():
    assert agreed(FAST, FAST) is None
    assert agreed(FAST, FAST, FAST) == FAST


def test_a_proposer_continues_with_the_value_of_the_highest_ballot():
    assert highest_accepted_value([EMPTY, EMPTY]) is None
    assert highest_accepted_value([FAST, EMPTY]) == b"fast"
    assert highest_accepted_value([FIRST, FAST]) == b"first"
    assert highest_accepted_value([FIRST, SECOND, EMPTY]) == b"second"
