"""The rate limit of a cold back end holds for all processes together.

Guards against overloading a sampler that has just started. Four processes sent 23 items
(`item_sent`) to one sampler within a second of its start, although it could handle 12 per second:
no process took into account how long a sampler stays cold, so each filled the free slots at once.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs.places import AssignmentRound, PlaceNeed, PlaceRequest
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry
from crankseam.serving.cold_starts import (
    DEFAULT_COLD_PER_S,
    MAX_SENDERS,
    WINDOW_S,
    ColdStart,
    ColdStartLimits,
    process_limit_per_s,
)
from crankseam.serving.paces import SamplerPaces

PROCESSES = st.sets(st.text("abcdefgh", min_size=1, max_size=3), min_size=1, max_size=60)
CAPACITIES_PER_S = st.floats(1.0, 100.0)


@given(PROCESSES, CAPACITIES_PER_S)
def test_the_limits_of_all_processes_do_not_exceed_the_capacity(processes, capacity_per_s):
    parts = [process_limit_per_s(capacity_per_s, "b", name, processes) for name in processes]
    assert 0 < sum(parts) <= capacity_per_s
    assert sum(part > 0 for part in parts) <= MAX_SENDERS


@given(PROCESSES, CAPACITIES_PER_S, st.data())
def test_a_process_that_some_do_not_know_yet_adds_at_most_one_limit(
    processes, capacity_per_s, data
):
    newcomer = data.draw(st.sampled_from(sorted(processes)))
    before = processes - {newcomer}
    known_to = {name: data.draw(st.booleans(), label=name) for name in sorted(before)}
    views = {name: (processes if knows else before) for name, knows in known_to.items()}
    parts = [process_limit_per_s(capacity_per_s, "b", name, view) for name, view in views.items()]
    parts.append(process_limit_per_s(capacity_per_s, "b", newcomer, processes))
    assert sum(parts) <= capacity_per_s + max(parts)


@given(st.lists(st.floats(0.0, 3.0), max_size=60), st.integers(1, 12))
def test_no_window_contains_more_requests_than_the_limit(times, limit):
    cold = ColdStart()
    cold.set_remaining(10.0, 0.0)
    sent = []
    for now in sorted(times):
        if cold.has_room(limit, now):
            cold.sent(now)
            sent.append(now)
    for begin in sent:
        assert sum(begin <= one < begin + WINDOW_S for one in sent) <= limit


def test_it_is_warm_when_its_time_is_over_or_its_entry_says_so():
    cold = ColdStart()
    cold.set_remaining(3.0, 100.0)
    assert cold.is_cold(102.9) and not cold.is_cold(103.0)
    cold.set_remaining(0.0, 101.0)
    assert not cold.is_cold(101.0)
    cold.set_remaining(2.0, 200.0)
    assert cold.is_cold(201.0), "it may become cold again"


@pytest.mark.parametrize(
    "configured, limit", [(None, int(DEFAULT_COLD_PER_S)), (12.0, 12), (0.0, None), (0.5, 1)]
)
def test_the_operators_figure_counts_and_a_missing_one_is_assumed(configured, limit):
    cold_limits = ColdStartLimits("only", lambda service: ["only"], lambda service: configured)
    assert cold_limits.limit_per_s("b", "service") == limit


async def test_items_and_moves_respect_the_limit_and_go_elsewhere():
    registry = BackEndRegistry()
    registry.cold_limit = lambda back_end, service: 2
    registry.update(BackEndRecord("cold", "s", "a:1", "z", 40, cold_left_s=60.0))
    registry.update(BackEndRecord("warm", "s", "a:2", "z", 3))
    round_ = AssignmentRound(registry, SamplerPaces(), "z")
    taken = []
    for number in range(8):
        back_end = round_.assign(PlaceRequest((0.0,), number, PlaceNeed((0.0,)), "s", 0, None))
        if back_end is not None:
            back_end.occupy_slot()
            taken.append(back_end.record.id)
    assert sorted(taken) == ["cold", "cold", "warm", "warm", "warm"]
