import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.usage.settling import (
    MAX_SAVED_BYTES_PER_S,
    MIN_SAVE_INTERVAL_S,
    SETTLE_AFTER_FRACTION,
    count_due_windows,
    first_unsettled,
    save_interval_s,
)

WINDOW_S = 5.0
DEADLINE_S = 20.0
SETTLE_AFTER_S = SETTLE_AFTER_FRACTION * DEADLINE_S


def seconds_since_end_at(now):
    return lambda window: now - (window + 1) * WINDOW_S


@pytest.mark.parametrize(
    ("now", "due"),
    [
        (0.0, 0),
        (5.0 + SETTLE_AFTER_S - 0.01, 0),
        (5.0 + SETTLE_AFTER_S, 1),
        (10.0 + SETTLE_AFTER_S, 2),
    ],
)
def test_a_window_is_due_a_share_of_the_time_after_its_end(now, due):
    assert count_due_windows(0, seconds_since_end_at(now), DEADLINE_S) == due


@given(st.floats(0.0, 1e4))
def test_the_first_holder_begins_with_a_window_that_is_not_due(now):
    seconds_since_end = seconds_since_end_at(now)
    current = int(now // WINDOW_S)
    first = first_unsettled(current, seconds_since_end, DEADLINE_S, [])
    assert count_due_windows(first, seconds_since_end, DEADLINE_S) == 0
    assert seconds_since_end(first - 1) >= SETTLE_AFTER_S, "all before are due"


def test_the_first_holder_begins_with_what_others_counted_before():
    assert first_unsettled(100, seconds_since_end_at(500.0), DEADLINE_S, [95, 90]) == 90


def test_a_large_ledger_is_saved_less_often():
    assert save_interval_s(100) == MIN_SAVE_INTERVAL_S
    assert save_interval_s(10 * MAX_SAVED_BYTES_PER_S) == 10.0
