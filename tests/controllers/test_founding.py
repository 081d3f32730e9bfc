"""When a replica set counts as lost and is re-created."""

from crankseam.controllers.founding import has_lost_majority
from crankseam.peers.messages import ReplicaSet

SET = ReplicaSet(3, 1, ["a@10", "b@10", "c@10"], 0)


def lost(**newest):
    return has_lost_majority(SET, newest.get)


def test_a_slot_is_lost_when_a_majority_of_it_was_followed_by_later_runs():
    assert not lost(a=11, b=10, c=10)
    assert lost(a=11, b=11, c=10)
    assert lost(a=11, b=11, c=11)


def test_a_member_that_is_silent_or_unknown_may_still_vote():
    assert not lost(a=11)
    assert not lost()
