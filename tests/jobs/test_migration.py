"""The migration rule and its timer, with all times passed in."""

import pytest

from crankseam.jobs.migration import (
    COOLDOWN_S,
    LONG_RUN_SLOW_FACTOR,
    REJECTED_COOLDOWN_S,
    SEARCH_INTERVAL_S,
    MigrationTimer,
    max_pace_s,
)
from crankseam.serving.paces import SLOW_FACTOR


def test_a_run_leaves_for_a_sampler_much_faster_than_its_own_is_now():
    assert max_pace_s(0.05, 0.09, False) == 0.09 / SLOW_FACTOR


def test_a_long_run_leaves_for_whichever_bound_is_easier():
    assert max_pace_s(0.06, 0.06, True) == 0.06 / LONG_RUN_SLOW_FACTOR
    assert max_pace_s(0.06, 0.2, True) == 0.2 / SLOW_FACTOR


def test_a_run_that_never_moved_may_move_and_one_that_did_stays_a_while():
    timer = MigrationTimer()
    assert timer.may_migrate(0.0)
    timer.migrated(100.0)
    assert not timer.may_migrate(100.0 + COOLDOWN_S / 2)
    assert timer.may_migrate(100.0 + COOLDOWN_S)


def test_a_run_that_was_rejected_may_move_again_sooner():
    timer = MigrationTimer()
    timer.migrated(100.0)
    timer.rejected(100.0)
    assert not timer.may_migrate(100.0 + REJECTED_COOLDOWN_S / 2)
    assert timer.may_migrate(100.01 + REJECTED_COOLDOWN_S)


def test_a_rejection_does_not_make_a_run_wait_that_may_move_already():
    timer = MigrationTimer()
    timer.migrated(100.0)
    timer.rejected(100.0 + 2 * COOLDOWN_S)
    assert timer.migrated_at == 100.0


@pytest.mark.parametrize(
    ("later_s", "is_due"), [(SEARCH_INTERVAL_S / 2, False), (SEARCH_INTERVAL_S, True)]
)
def test_a_run_searches_at_intervals(later_s, is_due):
    timer = MigrationTimer()
    assert timer.begin_search_if_due(100.0)
    assert timer.begin_search_if_due(100.0 + later_s) == is_due
