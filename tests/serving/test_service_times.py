"""Service times under uneven back ends: some slow for seconds, all slow, one long request.

Guards against each caller finding out alone that a back end is slow, and against a back end that is
shunned for one long request, or for good.
"""

import logging

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.service_times import (
    LOG_INTERVAL_S,
    MAX_BACK_ENDS,
    MAX_KINDS,
    MAX_RATIO,
    MIN_RATIO,
    OBSERVATION_MAX_AGE_S,
    RATIOS_MAX_AGE_S,
    SLOW_RATIO,
    ServiceTimes,
    ratio_with_prior,
    relative_ratios,
)
from tests.support.clock import FakeClock

USUAL_S = 0.04


def back_end(name, service="s"):
    return BackEnd(BackEndRecord(name, service, "1.1.1.1:1", "z", 4))


class Observed:
    """Service times of three back ends on a clock of their own."""

    def __init__(self):
        self.clock = FakeClock()
        self.times = ServiceTimes(self.clock.monotonic)
        self.back_ends = {name: back_end(name) for name in "abc"}

    def answers(self, name, count, duration_s=USUAL_S, route="r"):
        for _ in range(count):
            self.times.record_answer(self.back_ends[name], route, duration_s)

    def all_usual(self, count=4):
        for name in self.back_ends:
            self.answers(name, count)

    def ratios(self):
        self.clock.now += 2 * RATIOS_MAX_AGE_S
        return self.times.ratios("s", self.clock.now)


@pytest.fixture
def observed():
    return Observed()


def test_a_back_end_slow_by_2_4_has_that_ratio_and_the_others_the_usual(observed):
    observed.all_usual()
    observed.clock.now += OBSERVATION_MAX_AGE_S + 1.0
    observed.answers("a", 3)
    observed.answers("b", 3)
    observed.answers("c", 3, 2.4 * USUAL_S)
    assert observed.ratios() == pytest.approx({"a": 1.0, "b": 1.0, "c": 2.4})


def test_one_long_request_changes_nothing(observed):
    observed.all_usual()
    observed.answers("c", 1, 50 * USUAL_S)
    assert observed.ratios()["c"] == 1.0


def test_all_equally_slow_is_none_slow(observed):
    observed.all_usual(8)
    for name in "abc":
        observed.answers(name, 8, 2.4 * USUAL_S)
    observed.answers("c", 20, 2.4 * USUAL_S)
    assert set(observed.ratios().values()) == {1.0}


def test_a_slow_back_end_that_answers_most_requests_is_not_taken_for_typical(observed):
    observed.all_usual()
    observed.answers("c", 40, 3 * USUAL_S)
    assert observed.ratios()["c"] == pytest.approx(3.0)


def test_kinds_of_requests_are_compared_with_their_own_typical_duration(observed):
    observed.all_usual()
    for name in "abc":
        observed.answers(name, 4, 1.5, route="long")
    observed.answers("c", 8, 1.5, route="long")
    assert observed.ratios()["c"] == pytest.approx(1.0)


def test_a_slow_back_end_is_forgotten_and_tried_again(observed):
    observed.all_usual()
    observed.answers("c", 8, 3 * USUAL_S)
    assert observed.ratios()["c"] > 2.0
    observed.clock.now += OBSERVATION_MAX_AGE_S + 1.0
    assert observed.ratios() == {}


def test_an_attempt_given_up_counts_only_if_it_ran_longer_than_usual(observed):
    observed.all_usual()
    for _ in range(6):
        observed.times.record_unfinished(observed.back_ends["b"], "r", 0.5 * USUAL_S)
        observed.times.record_unfinished(observed.back_ends["c"], "r", 3 * USUAL_S)
        observed.times.record_unfinished(observed.back_ends["a"], "unknown route", 9.0)
    ratios = observed.ratios()
    assert (ratios["a"], ratios["b"]) == (1.0, 1.0)
    assert ratios["c"] == pytest.approx(3.0)


def test_a_reported_slowdown_does_not_count_a_second_time(observed):
    observed.all_usual()
    observed.back_ends["c"].average_slowdown = 3.0
    observed.answers("c", 8, 3 * USUAL_S)
    assert observed.ratios()["c"] == pytest.approx(1.0)


def test_an_entry_under_another_service_starts_anew(observed):
    observed.all_usual()
    observed.answers("c", 8, 3 * USUAL_S)
    moved = back_end("c", "other")
    for _ in range(8):
        observed.times.record_answer(moved, "r", USUAL_S)
    assert "c" not in observed.ratios()


@given(st.dictionaries(st.text(max_size=2), st.lists(st.floats(1e-6, 1e6), max_size=8)))
def test_ratios_are_bounded_and_only_of_observed_back_ends(observations):
    ratios = relative_ratios(observations)
    assert set(ratios) == {key for key, found in observations.items() if found}
    assert all(MIN_RATIO <= ratio <= MAX_RATIO for ratio in ratios.values())


@given(st.floats(1e-6, 1e6))
def test_one_observation_is_never_trusted_for_everything(observation):
    assert ratio_with_prior([observation]) == 1.0


def test_what_is_remembered_is_bounded(observed):
    for number in range(MAX_KINDS + 10):
        observed.answers("a", 1, route=f"r{number}")
    for number in range(MAX_BACK_ENDS + 10):
        observed.back_ends["n"] = back_end(f"n{number}")
        observed.answers("n", 5)
    assert observed.times.remembered_kinds() == MAX_KINDS
    assert observed.times.remembered_back_ends() == MAX_BACK_ENDS


def test_a_change_is_logged_once_and_a_varying_ratio_at_a_bounded_rate(observed, caplog):
    caplog.set_level(logging.INFO)
    observed.all_usual()
    for _ in range(20):
        observed.clock.now += 2 * RATIOS_MAX_AGE_S
        observed.answers("c", 1, 3 * USUAL_S)
    assert [record.message for record in caplog.records] == ["back_end_slow"]
    (line,) = caplog.records
    assert (line.back_end, line.service) == ("c", "s")
    assert SLOW_RATIO < line.ratio <= 3.0 and line.observations >= 2
    observed.clock.now += OBSERVATION_MAX_AGE_S + LOG_INTERVAL_S
    observed.answers("a", 1)
    assert [record.message for record in caplog.records] == ["back_end_slow", "back_end_normal"]
    assert caplog.records[-1].observations == 0
