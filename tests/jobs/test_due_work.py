"""Load: jobs that are behind, jobs that nobody ends, and trainers that pause between steps."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs.due_work import (
    MAX_LATE_S,
    MIN_LEFT_S,
    NEED_RETENTION_S,
    UNKNOWN_DUE_S,
    RecentNeeds,
    combine,
    due_work,
)
from crankseam.orders.demand import DueWork

works = st.lists(
    st.builds(DueWork, st.just(0), st.floats(0.1, 1e4), st.floats(1.0, 100.0)), min_size=1
)


@given(st.floats(1.0, 1e4), st.floats(2.0, 60.0), st.floats(0.0, 60.0), st.floats(0.0, 10.0))
def test_a_job_that_stays_open_never_needs_fewer_slots(work_s, due_s, elapsed_s, more_s):
    earlier = due_work(0, work_s, due_s, elapsed_s)
    later = due_work(0, work_s, due_s, elapsed_s + more_s)
    if later is not None:
        assert later.needed_slots >= earlier.needed_slots * (1.0 - 1e-9)
        assert later.work_s <= work_s and later.left_s >= MIN_LEFT_S


def test_a_job_on_schedule_needs_its_work_per_time_and_a_late_one_more():
    assert due_work(0, 75.0, 7.5, 0.0).needed_slots == pytest.approx(10.0)
    assert due_work(0, 75.0, 7.5, 4.0).needed_slots == pytest.approx(10.0)
    assert due_work(0, 75.0, 7.5, 8.0).needed_slots > 10.0


def test_a_job_that_its_caller_never_ends_counts_no_longer_than_its_results():
    assert due_work(0, 75.0, 7.5, 7.5 + MAX_LATE_S) is not None
    assert due_work(0, 75.0, 7.5, 7.6 + MAX_LATE_S) is None


def test_a_job_that_states_no_due_time_counts_as_one_of_a_usual_time():
    assert due_work(1, 75.0, 0.0, 0.0) == DueWork(1, 75.0, UNKNOWN_DUE_S)


@given(works)
def test_several_jobs_need_the_sum_of_their_slots(several):
    together = combine(several)
    assert together.needed_slots == pytest.approx(sum(work.needed_slots for work in several))


def test_the_peak_bridges_the_pause_between_steps_and_an_idle_model_needs_nothing():
    needs = RecentNeeds()
    both = [DueWork(0, 20.0, 2.0), DueWork(1, 30.0, 2.0)]
    assert needs.update(both, 0.0) == tuple(both)
    assert needs.update([DueWork(0, 2.0, 2.0)], 4.0) == tuple(both)
    assert needs.update([], NEED_RETENTION_S) == tuple(both)
    assert needs.update([], NEED_RETENTION_S + 0.1) == ()


def test_a_need_that_stays_lower_replaces_the_peak():
    needs = RecentNeeds()
    needs.update([DueWork(0, 20.0, 2.0)], 0.0)
    lower = DueWork(0, 10.0, 2.0)
    assert needs.update([lower], NEED_RETENTION_S + 0.1) == (lower,)


def test_jobs_that_need_no_slots_are_combined():
    assert combine([DueWork(0, 0.0, 2.0), DueWork(0, 1e-320, 1e9)]).needed_slots == 0.0
