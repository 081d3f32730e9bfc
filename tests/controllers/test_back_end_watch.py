"""When a watcher publishes a report on a back end."""

import msgspec
import pytest

from crankseam.controllers.back_end_watch import (
    FIRST_WATCHER_REFRESH_S,
    MIN_LOAD_CHANGE,
    MIN_LOAD_REPORT_INTERVAL_S,
    SECOND_WATCHER_REFRESH_S,
    should_publish,
)
from crankseam.peers.messages import BackEndReport

REPORT = BackEndReport("booking/app-0", "node-0", 1, True, False, 40, 0, -1, "zone-a")


def report_with(**fields):
    return msgspec.structs.replace(REPORT, **fields)


@pytest.mark.parametrize("fields", [{"alive": False}, {"leaving": True}, {"version": 3}])
@pytest.mark.parametrize("is_first", [False, True])
def test_life_leaving_and_version_are_told_at_once_by_each_watcher(fields, is_first):
    assert should_publish(REPORT, report_with(**fields), age_s=0.0, is_first_watcher=is_first)


def test_what_did_not_change_is_told_again_after_a_while():
    assert not should_publish(REPORT, REPORT, age_s=FIRST_WATCHER_REFRESH_S, is_first_watcher=True)
    assert should_publish(
        REPORT, REPORT, age_s=FIRST_WATCHER_REFRESH_S + 0.1, is_first_watcher=True
    )
    assert not should_publish(
        REPORT, REPORT, age_s=SECOND_WATCHER_REFRESH_S, is_first_watcher=False
    )
    assert should_publish(
        REPORT, REPORT, age_s=SECOND_WATCHER_REFRESH_S + 0.1, is_first_watcher=False
    )


def test_a_load_is_told_by_the_first_watcher_when_it_moved_by_both_bounds():
    moved = report_with(running=49)
    assert should_publish(REPORT, moved, age_s=MIN_LOAD_REPORT_INTERVAL_S, is_first_watcher=True)
    assert not should_publish(
        REPORT, moved, age_s=MIN_LOAD_REPORT_INTERVAL_S - 0.1, is_first_watcher=True
    )
    assert not should_publish(
        REPORT, moved, age_s=MIN_LOAD_REPORT_INTERVAL_S, is_first_watcher=False
    )
    assert not should_publish(
        REPORT, report_with(running=48), age_s=MIN_LOAD_REPORT_INTERVAL_S, is_first_watcher=True
    )
    idle = report_with(running=0)
    assert not should_publish(
        idle,
        report_with(running=MIN_LOAD_CHANGE - 1),
        MIN_LOAD_REPORT_INTERVAL_S,
        is_first_watcher=True,
    )
    assert should_publish(
        idle,
        report_with(running=0, waiting=MIN_LOAD_CHANGE),
        MIN_LOAD_REPORT_INTERVAL_S,
        is_first_watcher=True,
    )
