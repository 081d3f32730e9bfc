"""Callers' work at a service: steady, absent, of a process that has just started, or hanging.

Guards against scoring requests that wait for a second and more after one request of their process
hung until its time-out: it was taken for one that hangs at each process, and half of all slots were
kept for callers that were not there.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.serving.caller_work import MAX_DURATION_FACTOR, WINDOW_S, CallerWork
from tests.support.clock import FakeClock


class Work:
    """Attempts at one service on a clock of their own."""

    def __init__(self):
        self.clock = FakeClock()
        self.work = CallerWork(self.clock.monotonic)

    def steady(self, interval_s, duration_s, count=1000):
        for _ in range(count):
            self.clock.now += interval_s
            self.work.record("s", duration_s)

    def average(self):
        return self.work.average_running("s")


def test_the_average_of_steady_requests_is_rate_times_duration_and_one_more_request():
    work = Work()
    work.steady(interval_s=0.1, duration_s=0.05)
    assert work.average() == pytest.approx(0.5 + 0.05 / WINDOW_S, rel=0.02)


def test_one_request_that_hangs_counts_as_a_few_usual_ones():
    work = Work()
    work.steady(interval_s=1.0, duration_s=0.04)
    before = work.average()
    work.work.record("s", 1.07)
    assert work.average() <= before + MAX_DURATION_FACTOR * 0.04 / WINDOW_S + 1e-9


def test_if_all_requests_take_long_they_count_in_full():
    work = Work()
    work.steady(interval_s=0.1, duration_s=0.05)
    work.steady(interval_s=0.1, duration_s=1.0)
    assert work.average() == pytest.approx(10.0 + 1.0 / WINDOW_S, rel=0.02)


def test_without_requests_for_some_seconds_only_the_one_more_is_left():
    work = Work()
    work.steady(interval_s=0.1, duration_s=0.08)
    work.clock.now += 10 * WINDOW_S
    assert work.average() == pytest.approx(0.08 / WINDOW_S, rel=0.01)
    assert work.work.average_running("other") == 0.0


def test_a_process_that_has_just_started_does_not_know():
    work = Work()
    assert not work.work.is_known()
    work.clock.now += WINDOW_S
    assert work.work.is_known()


@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 5.0)), max_size=30))
def test_the_average_is_never_more_than_what_ran(attempts):
    work = Work()
    for pause_s, duration_s in attempts:
        work.clock.now += pause_s
        work.work.record("s", duration_s)
    ran_s = sum(duration_s for _, duration_s in attempts)
    longest_s = max((duration_s for _, duration_s in attempts), default=0.0)
    assert 0.0 <= work.average() <= (ran_s + longest_s) / WINDOW_S + 1e-9


def test_callers_that_are_gone_keep_no_slots():
    """Guards against slots that stay reserved for callers that left long ago: the typical attempt
    that is added for those that happen not to come was added for ever, at each process."""
    work = Work()
    work.steady(interval_s=1.0, duration_s=2.0)
    work.clock.now += 3600.0
    assert work.average() == 0.0
