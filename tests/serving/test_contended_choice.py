"""Choice at a contended service: many processes with the same outdated reports, slow back ends.

Guards against 60 to 80 processes that take the same idle-looking back end at the same moment, and
against a slow back end that gets its full share until each process has found that out.
"""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.choice import choose_back_end

NOW = 100.0
PROCESSES = 70
SLOTS = 8


def back_end(number, zone="z", **fields):
    return BackEnd(BackEndRecord(f"b{number}", "s", "1.1.1.1:1", zone, SLOTS), **fields)


def choices(back_ends, factors, count, zone="elsewhere", seed=1):
    generator = random.Random(seed)
    chosen = (choose_back_end(back_ends, zone, NOW, (), generator, factors) for _ in range(count))
    return Counter(one.record.id for one in chosen)


@given(st.integers(3, 20), st.integers(0, 10**6))
def test_many_processes_with_one_view_do_not_take_one_back_end(count, seed):
    """All see the first back end idle and the others busy, by reports of the same age."""
    back_ends = [
        back_end(number, reported_load=0 if number == 0 else SLOTS - 1, reported_at=NOW)
        for number in range(count)
    ]
    taken = choices(back_ends, {}, PROCESSES, seed=seed)
    drawn_share = 2 / count
    deviation = (PROCESSES * drawn_share * (1 - drawn_share)) ** 0.5
    assert max(taken.values()) <= PROCESSES * drawn_share + 5 * deviation


@given(st.integers(0, 10**6))
def test_a_third_of_the_back_ends_slow_by_2_4_gets_less_than_half_of_its_share(seed):
    back_ends = [back_end(number) for number in range(9)]
    factors = {f"b{number}": 2.4 if number < 3 else 1.0 for number in range(9)}
    taken = choices(back_ends, factors, 300, seed=seed)
    slow = sum(taken[f"b{number}"] for number in range(3))
    assert slow < 300 / 3 / 2


def test_back_ends_that_are_all_equally_slow_get_what_they_got_before():
    back_ends = [back_end(number, in_flight=number % 3) for number in range(9)]
    usual, slow = ({f"b{number}": factor for number in range(9)} for factor in (1.0, 2.4))
    assert choices(back_ends, usual, 200) == choices(back_ends, slow, 200)


def test_a_slow_back_end_is_still_tried_where_the_others_are_full():
    back_ends = [back_end(number, in_flight=SLOTS) for number in range(3)]
    back_ends.append(back_end(3))
    assert choices(back_ends, {"b3": 5.0}, 10) == {"b3": 10}


def test_the_own_zone_wins_between_about_equals_only():
    here, there = back_end(0, zone="here"), back_end(1, zone="there")
    assert choices([here, there], {"b0": 1.1, "b1": 1.0}, 20, "here") == {"b0": 20}
    assert choices([here, there], {"b0": 1.5, "b1": 1.0}, 20, "here") == {"b1": 20}


excluded_ids = st.sets(st.sampled_from(["b0", "b1", "b2", "b3"]))


@given(st.lists(st.booleans(), min_size=4, max_size=4), excluded_ids, st.integers(0, 99))
def test_excluded_ones_are_never_taken_and_avoided_ones_only_without_another(
    avoided, excluded, seed
):
    back_ends = [
        back_end(number, avoid_until=NOW + 1.0 if is_avoided else 0.0)
        for number, is_avoided in enumerate(avoided)
    ]
    chosen = choose_back_end(back_ends, "z", NOW, excluded, random.Random(seed), {})
    remaining = [one for one in back_ends if one.record.id not in excluded]
    if not remaining:
        assert chosen is None
        return
    assert chosen in remaining
    if any(one.avoid_until <= NOW for one in remaining):
        assert chosen.avoid_until <= NOW
