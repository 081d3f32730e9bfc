"""Mapping of keys to slots and choice of the nodes that should be a slot's replicas."""

from hypothesis import given
from hypothesis import strategies as st

from crankseam.constants import REPLICAS_PER_SLOT
from crankseam.peers.messages import Member
from crankseam.records.slots import desired_members, slot_of

names = st.lists(st.integers(0, 40), min_size=1, max_size=12, unique=True)


def members(numbers, zones):
    return [Member(f"node-{n}", "home", f"zone-{n % zones}", "", "", 1, 1) for n in numbers]


@given(names, st.integers(1, 5))
def test_replicas_are_in_distinct_zones_while_there_are_zones(numbers, zones):
    candidates = members(numbers, zones)
    chosen = desired_members("home", 3, candidates)
    assert len(chosen) == min(REPLICAS_PER_SLOT, len(candidates))
    zone_of = {member.identity: member.zone for member in candidates}
    distinct = len({zone_of[identity] for identity in chosen})
    assert distinct == min(len(chosen), len(set(zone_of.values())))


@given(names, st.integers(0, 40))
def test_a_node_that_is_no_replica_may_go_without_a_change(numbers, gone):
    candidates = members(numbers, 3)
    chosen = desired_members("home", 3, candidates)
    if f"node-{gone}@1" not in chosen:
        left = [member for member in candidates if member.name != f"node-{gone}"]
        assert desired_members("home", 3, left) == chosen


def test_a_keys_slot_is_the_same_everywhere_and_always():
    keys = ("r/booking/a", "r/booking/b", "step/t/1")
    assert [slot_of(key, 16) for key in keys] == [13, 10, 6]
    assert all(0 <= slot_of(f"r/{n}", 16) < 16 for n in range(100))
