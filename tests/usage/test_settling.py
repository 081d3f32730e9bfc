import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.usage.settling import (
    SAVED_BYTES_PER_S,
    SAVED_EACH_S,
    SETTLED_AFTER_SHARE,
    first_unsettled,
    save_pause_s,
    windows_due,
)

WINDOW_S = 5.0
LATE_S = 20.0
AFTER_S = SETTLED_AFTER_SHARE * LATE_S


def since_end_at(now):
    return lambda window: now - (window + 1) * WINDOW_S


@pytest.mark.parametrize(
    ("now", "due"),
    [(0.0, 0), (5.0 + AFTER_S - 0.01, 0), (5.0 + AFTER_S, 1), (10.0 + AFTER_S, 2)],
)
def test_a_window_is_due_a_share_of_the_time_after_its_end(now, due):
    assert windows_due(0, since_end_at(now), LATE_S) == due


@given(st.floats(0.0, 1e4))
def test_the_first_holder_begins_with_a_window_that_is_not_due(now):
    since_end_of = since_end_at(now)
    current = int(now // WINDOW_S)
    first = first_unsettled(current, since_end_of, LATE_S, [])
    assert windows_due(first, since_end_of, LATE_S) == 0
    assert since_end_of(first - 1) >= AFTER_S, "all before are due"


def test_the_first_holder_begins_with_what_others_counted_before():
    assert first_unsettled(100, since_end_at(500.0), LATE_S, [95, 90]) == 90


def test_a_large_ledger_is_saved_less_often():
    assert save_pause_s(100) == SAVED_EACH_S
    assert save_pause_s(10 * SAVED_BYTES_PER_S) == 10.0
