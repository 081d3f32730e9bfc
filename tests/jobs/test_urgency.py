"""Order of waiting items: rank, long items and shares of slots."""

import math

import msgspec
import pytest

from crankseam.jobs.group_plan import LENGTH_ERROR_FRACTION, GroupClass
from crankseam.jobs.urgency import (
    LONG_HINT_FACTOR,
    LONG_RUN_EVENTS,
    NEW_ITEM_SLOTS_SHARE,
    START_MARGIN_S,
    START_SPAN_S,
    is_long_run,
    item_rank,
    long_hint_threshold,
    must_start,
    request_priority,
    slots_share,
)
from tests.jobs.factories import make_job


def job_with(hints, priority=5):
    job = make_job(items=len(hints))
    items = [
        msgspec.structs.replace(item, length_hint=hint)
        for item, hint in zip(job.items, hints, strict=True)
    ]
    return msgspec.structs.replace(job, items=items, priority=priority)


def ranks(job, started_at):
    return [item_rank(job, started_at, item, index) for index, item in enumerate(job.items)]


def test_the_longer_hint_goes_first_and_equal_ones_in_order():
    first, long_one, last = ranks(job_with([10, 90, 10]), 100.0)
    assert long_one < first < last


def test_an_earlier_job_goes_first_unless_both_began_in_one_span():
    early, late = job_with([10]), job_with([90])
    start = 50 * START_SPAN_S
    assert ranks(late, start + START_SPAN_S / 2) < ranks(early, start)
    assert ranks(early, start) < ranks(late, start + START_SPAN_S)


def test_priority_goes_before_all():
    urgent, other = job_with([1], priority=0), job_with([90], priority=1)
    assert ranks(urgent, 1000.0) < ranks(other, 0.0)


def test_an_item_is_expected_long_by_the_median_of_the_hints_that_were_told():
    assert long_hint_threshold(job_with([0, 10, 20, 30])) == LONG_HINT_FACTOR * 20
    assert long_hint_threshold(job_with([0, 0])) == math.inf


def test_a_run_turns_out_long_by_its_events():
    assert not is_long_run(LONG_RUN_EVENTS - 1)
    assert is_long_run(LONG_RUN_EVENTS)


@pytest.mark.parametrize(
    ("has_begun", "is_long", "share"),
    [(False, False, NEW_ITEM_SLOTS_SHARE), (True, False, 1.0), (False, True, 1.0)],
)
def test_items_that_have_not_begun_leave_slots_free_unless_they_are_long(has_begun, is_long, share):
    assert slots_share(has_begun, is_long) == share


def test_samplers_are_told_a_priority_that_they_know():
    assert [request_priority(priority, GroupClass.CHOSEN) for priority in (-1, 0, 5, 12)] == [
        0,
        0,
        5,
        9,
    ]
    assert request_priority(4, GroupClass.LATE) == 4
    assert request_priority(4, GroupClass.BEYOND) == request_priority(4, GroupClass.INFEASIBLE) == 9


def test_an_item_must_start_a_margin_before_it_would_be_late_by_its_longest_likely_length():
    latest = 10.0 - 2.0 * (1.0 + LENGTH_ERROR_FRACTION) - START_MARGIN_S
    assert must_start(2.0, due_at=10.0, now=latest)
    assert not must_start(2.0, due_at=10.0, now=latest - 0.01)
    assert not must_start(2.0, due_at=math.inf, now=1e6)
