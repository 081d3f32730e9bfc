"""Choice of a zone's relays, and of each member's parent in the digest tree."""

from crankseam.cluster.zone_order import choose_relays, parent_position
from crankseam.peers.messages import Member

NAMES = [f"node-{number}" for number in range(7)]
MEMBERS = [Member(name, "home", "zone-a", "", "", 1, 1) for name in NAMES]


def relays(*failed):
    return [member.name for member in choose_relays(MEMBERS, lambda name: name in failed)]


def parent(own, *failed):
    position = parent_position(NAMES, own, lambda name: name in failed)
    return None if position is None else NAMES[position]


def test_the_first_two_by_rank_are_relays():
    assert relays() == ["node-0", "node-1"]


def test_relays_that_failed_lately_are_replaced_by_the_next_in_rank():
    assert relays("node-0") == ["node-1", "node-2"]


def test_where_all_failed_the_first_by_rank_stay_relays():
    assert relays(*NAMES) == ["node-0", "node-1"]


def test_each_member_takes_the_digest_from_the_one_above_in_the_tree():
    assert [parent(name) for name in NAMES] == [
        None,
        "node-0",
        "node-0",
        "node-1",
        "node-1",
        "node-2",
        "node-2",
    ]


def test_a_parent_that_failed_lately_is_passed_over_for_its_own_parent():
    assert parent("node-3", "node-1") == "node-0"
    assert parent("node-3", "node-1", "node-0") is None
