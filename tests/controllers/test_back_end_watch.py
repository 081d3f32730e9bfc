"""When a watcher tells others what it saw of a back end."""

import msgspec
import pytest

from crankseam.controllers.back_end_watch import (
    LOAD_STEP,
    MIN_LOAD_S,
    RENEW_S,
    SECOND_RENEW_S,
    is_news,
)
from crankseam.peers.messages import BackEndReport

SEEN = BackEndReport("booking/app-0", "node-0", 1, True, False, 40, 0, -1, "zone-a")


def seen(**fields):
    return msgspec.structs.replace(SEEN, **fields)


@pytest.mark.parametrize("fields", [{"alive": False}, {"leaving": True}, {"version": 3}])
@pytest.mark.parametrize("is_first", [False, True])
def test_life_leaving_and_version_are_told_at_once_by_each_watcher(fields, is_first):
    assert is_news(SEEN, seen(**fields), age_s=0.0, is_first_watcher=is_first)


def test_what_did_not_change_is_told_again_after_a_while():
    assert not is_news(SEEN, SEEN, age_s=RENEW_S, is_first_watcher=True)
    assert is_news(SEEN, SEEN, age_s=RENEW_S + 0.1, is_first_watcher=True)
    assert not is_news(SEEN, SEEN, age_s=SECOND_RENEW_S, is_first_watcher=False)
    assert is_news(SEEN, SEEN, age_s=SECOND_RENEW_S + 0.1, is_first_watcher=False)


def test_a_load_is_told_by_the_first_watcher_when_it_moved_by_both_bounds():
    moved = seen(running=49)
    assert is_news(SEEN, moved, age_s=MIN_LOAD_S, is_first_watcher=True)
    assert not is_news(SEEN, moved, age_s=MIN_LOAD_S - 0.1, is_first_watcher=True)
    assert not is_news(SEEN, moved, age_s=MIN_LOAD_S, is_first_watcher=False)
    assert not is_news(SEEN, seen(running=48), age_s=MIN_LOAD_S, is_first_watcher=True)
    idle = seen(running=0)
    assert not is_news(idle, seen(running=LOAD_STEP - 1), MIN_LOAD_S, is_first_watcher=True)
    assert is_news(idle, seen(running=0, waiting=LOAD_STEP), MIN_LOAD_S, is_first_watcher=True)
