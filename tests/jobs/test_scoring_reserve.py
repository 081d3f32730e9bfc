"""The reserve for callers beside scoring requests: few callers, many, none yet.

Guards against texts that wait for their score while slots idle, since half of the slots were kept
for callers that were not there, and against callers that find all slots taken.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs.scoring_reserve import (
    BURST_DEVIATIONS,
    MIN_RESERVED_SLOTS,
    ScoringReserve,
    reserved_slots,
    scoring_share,
)
from crankseam.jobs.urgency import SCORING_SLOTS_SHARE
from crankseam.serving.caller_work import WINDOW_S, CallerWork
from crankseam.serving.contention import NoContention
from tests.jobs.factories import make_registry, make_route
from tests.support.clock import FakeClock

SLOTS = 8
"""Slots of each back end in these tests."""

running = st.floats(0.0, 1e4)
slot_lists = st.lists(st.integers(1, 64), min_size=1, max_size=40)


def filled_slots(share, slots):
    """Number of slots of a back end that scoring requests can fill, by the rule of places.py."""
    return sum(load < max(1.0, share * slots) for load in range(slots))


class AlwaysContended(NoContention):
    def is_contended(self, _service):
        return True


@given(running, slot_lists)
def test_at_least_a_slot_and_at_most_half_of_each_back_end_is_reserved(callers_running, slots):
    share = scoring_share(callers_running, slots)
    assert SCORING_SLOTS_SHARE <= share < 1.0
    assert all(filled_slots(share, count) < count for count in slots if count > 1)


@given(running, running, st.integers(1, 40))
def test_it_follows_the_need_and_leaves_room_for_bursts(one, other, back_ends):
    low, high = sorted((one, other))
    reserved = reserved_slots(low, back_ends)
    assert reserved <= reserved_slots(high, back_ends)
    assert reserved * back_ends >= low + BURST_DEVIATIONS * low**0.5 - 1e-6


def test_every_number_of_slots_is_kept_in_spite_of_rounding():
    for slots in range(2, 200):
        for callers_running in range(slots // 3):
            kept = reserved_slots(callers_running, 1)
            share = scoring_share(callers_running, [slots])
            if share > SCORING_SLOTS_SHARE:
                assert filled_slots(share, slots) == slots - kept


class Reserve:
    """A reserve of a service with two back ends of SLOTS slots, on a clock of its own."""

    def __init__(self, contention, processes=60):
        self.clock = FakeClock()
        self.work = CallerWork(self.clock.monotonic)
        self.reserve = ScoringReserve(
            contention, make_registry(slots=SLOTS), self.work, lambda: processes
        )

    def share(self):
        return self.reserve.slots_share(make_route())


def test_without_callers_a_few_slots_of_each_back_end_are_reserved():
    reserve = Reserve(AlwaysContended())
    reserve.clock.now = WINDOW_S
    assert filled_slots(reserve.share(), SLOTS) == SLOTS - MIN_RESERVED_SLOTS


def test_callers_of_all_processes_count_though_each_sees_few():
    reserve = Reserve(AlwaysContended())
    reserve.clock.now = WINDOW_S
    reserve.work.record("llm", 0.4)
    assert reserve.share() == SCORING_SLOTS_SHARE


@pytest.mark.parametrize("contention", [AlwaysContended(), NoContention()])
def test_half_is_reserved_while_the_need_is_unknown_and_where_nobody_competes(contention):
    reserve = Reserve(contention)
    assert reserve.share() == SCORING_SLOTS_SHARE
    assert reserve.reserve.slots_share(None) == SCORING_SLOTS_SHARE
    reserve.clock.now = WINDOW_S
    is_contended = contention.is_contended("llm")
    assert (reserve.share() > SCORING_SLOTS_SHARE) == is_contended
