"""Callers' work at a service: steady, in bursts, absent, and in a process that has just started."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.serving.caller_work import WINDOW_S, CallerWork
from tests.support.clock import FakeClock


def steady(interval_s, duration_s, count):
    clock = FakeClock()
    work = CallerWork(clock.monotonic)
    for number in range(count):
        clock.now = number * interval_s
        began_at = work.begin("s")
        clock.now += duration_s
        work.end("s", began_at)
    return work, clock


def test_the_average_of_steady_requests_is_rate_times_duration_and_one_more_request():
    work, _ = steady(interval_s=0.1, duration_s=0.05, count=1000)
    assert work.average_running("s") == pytest.approx(0.5 + 0.05 / WINDOW_S, rel=0.02)


def test_requests_that_still_run_count():
    clock = FakeClock()
    work = CallerWork(clock.monotonic)
    for _ in range(4):
        work.begin("s")
    clock.now = 5 * WINDOW_S
    assert work.average_running("s") == pytest.approx(4.0, rel=0.01)


def test_without_requests_for_some_seconds_only_the_one_more_is_left():
    work, clock = steady(interval_s=0.1, duration_s=0.08, count=100)
    clock.now += 10 * WINDOW_S
    assert work.average_running("s") == pytest.approx(0.08 / WINDOW_S, rel=0.01)
    assert work.average_running("other") == 0.0


def test_a_process_that_has_just_started_does_not_know():
    clock = FakeClock(50.0)
    work = CallerWork(clock.monotonic)
    assert not work.is_known()
    clock.now += WINDOW_S
    assert work.is_known()


@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 5.0)), max_size=30))
def test_the_average_is_between_none_and_all(steps):
    clock = FakeClock()
    work = CallerWork(clock.monotonic)
    for pause_s, duration_s in steps:
        clock.now += pause_s
        began_at = work.begin("s")
        clock.now += duration_s
        work.end("s", began_at)
    assert 0.0 <= work.average_running("s") <= 1.0 + 5.0 / WINDOW_S
