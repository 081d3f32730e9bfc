from hypothesis import given
from hypothesis import strategies as st

from crankseam.coordination.presence import DEFAULT_CAPACITY, decode_presence, encode_presence
from crankseam.coordination.ranking import (
    FIXED_DELAY_RANKS,
    LARGE_CAPACITY_FRACTION,
    attempt_delay_s,
    rank_by_capacity,
    rank_processes,
)

CAPACITIES = st.dictionaries(
    st.text("abcdefgh", min_size=1, max_size=3), st.sampled_from([30.0, 60.0, 200.0]), min_size=1
)


@given(CAPACITIES)
def test_large_machines_come_first_and_nobody_is_left_out(capacities):
    ranked = rank_by_capacity("m", capacities)
    assert sorted(ranked) == sorted(capacities)
    is_large = [
        capacities[name] >= LARGE_CAPACITY_FRACTION * max(capacities.values()) for name in ranked
    ]
    assert is_large == sorted(is_large, reverse=True)


def test_machines_of_one_size_are_ranked_as_before():
    names = [f"p{number}" for number in range(9)]
    assert rank_by_capacity("m", dict.fromkeys(names, 60.0)) == rank_processes("m", names)


def test_turns_come_one_after_the_other():
    ranked = [f"p{number}" for number in range(9)]
    delays = [attempt_delay_s(ranked, name) for name in ranked]
    assert delays[:FIXED_DELAY_RANKS] == sorted(set(delays[:FIXED_DELAY_RANKS]))
    assert (
        min([*delays[FIXED_DELAY_RANKS:], attempt_delay_s(ranked, "unknown")])
        >= delays[FIXED_DELAY_RANKS - 1]
    )


def test_what_a_process_tells_of_itself():
    assert decode_presence(encode_presence("1.1.1.1:1", 60.0)) == ("1.1.1.1:1", 60.0)
    assert decode_presence(b"1.1.1.1:1") == ("1.1.1.1:1", DEFAULT_CAPACITY)
    assert decode_presence(b"1.1.1.1:1 x") == ("1.1.1.1:1", DEFAULT_CAPACITY)
