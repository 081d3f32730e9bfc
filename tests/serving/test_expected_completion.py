"""Expected completion at back ends that are loaded, slow, or report late, wrongly or not at all."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.serving.back_ends import (
    AVERAGE_SLOWDOWN_WINDOW_S,
    LOAD_REPORT_MAX_AGE_S,
    BackEnd,
    BackEndRecord,
)
from crankseam.serving.contention import NoContention
from crankseam.serving.expected_completion import (
    FACTORS_MAX_AGE_S,
    MAX_REPORTED_ROUNDS,
    SLOWDOWN_MAX_AGE_S,
    CompletionEstimates,
    estimated_load,
    expected_completion,
    expected_slowdown,
)
from crankseam.serving.load_reports import LoadReport
from crankseam.serving.paces import SamplerPaces
from crankseam.serving.service_times import (
    MAX_BELIEVED_SLOWDOWN,
    MIN_BELIEVED_SLOWDOWN,
    RATIOS_MAX_AGE_S,
    ServiceTimes,
)
from tests.support.clock import FakeClock

loads = st.floats(0.0, 1000.0)
slot_counts = st.integers(1, 64)
factors = st.floats(0.1, 64.0)
ages_s = st.floats(0.0, 30.0)


class AlwaysContended(NoContention):
    def is_contended(self, _service):
        return True


def back_end(name):
    return BackEnd(BackEndRecord(name, "s", "1.1.1.1:1", "z", 8))


@given(loads, loads, slot_counts, factors)
def test_it_grows_with_the_load_and_with_the_time_factor(one, other, slots, factor):
    low, high = sorted((one, other))
    assert expected_completion(low, slots, factor) <= expected_completion(high, slots, factor)
    assert expected_completion(low, slots, factor) <= expected_completion(low, slots, 2 * factor)


@given(st.integers(0, 100), st.integers(-100, 10**6), ages_s, slot_counts)
def test_own_requests_count_in_full_and_those_of_others_within_bounds(own, others, age_s, slots):
    load = estimated_load(own, others, age_s, slots)
    assert own <= load <= own + MAX_REPORTED_ROUNDS * slots
    assert load <= own + max(0, others)
    if age_s >= LOAD_REPORT_MAX_AGE_S:
        assert load == own


def test_an_idle_slow_back_end_is_better_than_a_long_queue_and_worse_than_a_free_slot():
    slow = expected_completion(0.0, 4, 2.4)
    assert expected_completion(3.0, 4, 1.0) < slow < expected_completion(12.0, 4, 1.0)


@given(st.floats(0.1, 20.0), st.floats(0.1, 20.0), ages_s)
def test_an_expected_slowdown_is_bounded_and_forgotten(reported, average, age_s):
    expected = expected_slowdown(reported, average, age_s)
    if age_s > SLOWDOWN_MAX_AGE_S:
        assert expected is None
    else:
        assert MIN_BELIEVED_SLOWDOWN <= expected <= MAX_BELIEVED_SLOWDOWN


def test_the_average_slowdown_is_over_time_and_concurrent_reports_count_once(monkeypatch):
    now = 100.0
    monkeypatch.setattr("crankseam.serving.back_ends.time.monotonic", lambda: now)
    sampler = back_end("a")
    sampler.report_load(LoadReport(0, 0, 8, 1.0))
    for _ in range(50):
        sampler.report_load(LoadReport(0, 0, 8, 4.0))
    assert (sampler.slowdown, sampler.average_slowdown) == (4.0, 1.0)
    now += 10 * AVERAGE_SLOWDOWN_WINDOW_S
    sampler.report_load(LoadReport(0, 0, 8, 4.0))
    assert sampler.average_slowdown == pytest.approx(4.0, rel=0.01)
    sampler.report_load(LoadReport(0, 0, 8))
    assert sampler.average_slowdown is None


def estimates_of(back_ends, paces=None, now=100.0):
    estimates = CompletionEstimates(AlwaysContended(), ServiceTimes(), paces)
    return estimates.time_factors("s", back_ends, now)


def reporting(name, slowdown, average, at):
    sampler = back_end(name)
    sampler.slowdown, sampler.average_slowdown, sampler.reported_at = slowdown, average, at
    return sampler


def test_a_service_that_is_not_contended_is_left_to_its_load():
    estimates = CompletionEstimates(NoContention(), ServiceTimes())
    assert estimates.time_factors("s", [back_end("a")], 100.0) is None


def test_a_back_end_without_a_report_has_the_median_slowdown_of_the_others():
    known = [reporting(name, value, value, 100.0) for name, value in (("a", 2.0), ("b", 3.0))]
    assert estimates_of([*known, back_end("c")]) == {"a": 2.0, "b": 3.0, "c": 2.5}
    assert estimates_of([back_end("c")]) == {"c": 1.0}


def test_a_fresh_slowdown_counts_and_an_older_one_fades_into_the_average():
    fresh, older = reporting("a", 4.0, 1.0, 100.0), reporting("b", 4.0, 1.0, 98.0)
    assert estimates_of([fresh, older]) == {"a": 4.0, "b": 1.0}


def test_factors_are_reused_for_a_moment_only():
    sampler = reporting("a", 2.0, 2.0, 100.0)
    estimates = CompletionEstimates(AlwaysContended(), ServiceTimes())
    before = estimates.time_factors("s", [sampler], 100.0)
    sampler.slowdown = sampler.average_slowdown = 3.0
    assert estimates.time_factors("s", [sampler], 100.0 + FACTORS_MAX_AGE_S / 2) == before
    assert estimates.time_factors("s", [sampler], 100.0 + 2 * FACTORS_MAX_AGE_S) == {"a": 3.0}


def test_a_back_end_that_claims_to_be_far_faster_is_not_believed():
    assert estimates_of([reporting("a", 0.1, 0.1, 100.0)]) == {"a": MIN_BELIEVED_SLOWDOWN}


@pytest.mark.parametrize("claimed", [0.1, 0.5, 3.0, 20.0])
def test_a_wrong_slowdown_is_corrected_by_the_times_that_are_learnt(claimed):
    clock = FakeClock(100.0)
    times = ServiceTimes(clock.monotonic)
    back_ends = [reporting("a", 1.0, 1.0, 100.0), reporting("b", 1.0, 1.0, 100.0)]
    back_ends.append(reporting("c", claimed, claimed, 100.0))
    for one in back_ends:
        for _ in range(4):
            times.record_answer(one, "r", 0.04)
    clock.now += 2 * RATIOS_MAX_AGE_S
    factors = CompletionEstimates(AlwaysContended(), times).time_factors("s", back_ends, clock.now)
    assert factors == {"a": 1.0, "b": 1.0, "c": 1.0}


def test_the_pace_gives_the_speed_and_the_slowdown_the_moment():
    paces = SamplerPaces()
    usual, slow, slow_now = (reporting(name, 1.0, 1.0, 100.0) for name in "abc")
    paces.record_interval(usual, 0.04)
    paces.record_interval(slow, 0.08)
    paces.record_interval(slow_now, 0.04)
    slow_now.slowdown = 3.0
    assert estimates_of([usual, slow, slow_now], paces) == {"a": 1.0, "b": 2.0, "c": 3.0}


def test_a_slowdown_that_the_pace_already_shows_counts_once():
    paces = SamplerPaces()
    usual, other, shared = (
        reporting("a", 1.0, 1.0, 100.0),
        reporting("b", 1.0, 1.0, 100.0),
        reporting("c", 2.0, 2.0, 100.0),
    )
    paces.record_interval(usual, 0.04)
    paces.record_interval(other, 0.04)
    paces.record_interval(shared, 0.08)
    assert estimates_of([usual, other, shared], paces) == {"a": 1.0, "b": 1.0, "c": 2.0}


@pytest.mark.parametrize("pace_s", [0.0, -1.0, float("nan"), float("inf")])
def test_a_pace_of_another_process_that_is_no_positive_number_is_ignored(pace_s):
    """Guards against a division by a pace of zero, which ended each round of assignments.

    Paces come from other processes, whose tables are decoded as any numbers.
    """
    paces = SamplerPaces()
    paces.update_from_process("other", {"a": pace_s})
    assert estimates_of([back_end("a")], paces) == {"a": 1.0}
