import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.coordination.watch_times import MIN_WATCH_S, WatchTimes, answer_timeout_s


@given(st.floats(1.2, 30.0))
def test_a_stale_watch_and_a_question_to_a_silent_process_fit_the_time(in_force_s):
    times = WatchTimes.within(in_force_s)
    assert times.reader_watch_s + answer_timeout_s(times.fresh_s) < in_force_s
    assert times.watcher_watch_s < in_force_s


@given(st.floats(0.01, 30.0))
def test_the_ages_of_a_mirrors_answers_add_up_to_less_than_a_feed_is_fresh(in_force_s):
    times = WatchTimes.within(in_force_s)
    assert 3 * times.mirror_wait_s < times.fresh_s < in_force_s
    assert times.reader_watch_s >= MIN_WATCH_S


def test_the_times_of_a_bound_of_two_seconds():
    times = WatchTimes.within(2.0)
    assert times.fresh_s == pytest.approx(0.8) and times.watcher_watch_s == pytest.approx(1.4)
    assert times.reader_watch_s == pytest.approx(0.7) and times.mirror_wait_s == pytest.approx(0.16)
