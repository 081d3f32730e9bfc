"""Time-outs and limits of attempts at items and scoring requests."""

from dataclasses import replace

import pytest

from crankseam.jobs.item_retry import (
    FULL_BACKOFF_S,
    GIVE_UP_MARGIN_S,
    LOADING_BACKOFF_S,
    MAX_EVENT_TIMEOUT_S,
    NEXT_EVENT_TIMEOUT_S,
    SCORING_MIN_TIMEOUT_S,
    give_up_at,
    max_scoring_failures,
    next_event_timeout_s,
    rejected_backoff_s,
    scoring_timeout_s,
)
from tests.jobs.factories import make_route


def test_each_silence_doubles_the_wait_for_an_event_up_to_a_cap():
    assert next_event_timeout_s(0) == NEXT_EVENT_TIMEOUT_S
    assert next_event_timeout_s(1) == 2 * NEXT_EVENT_TIMEOUT_S
    assert next_event_timeout_s(10) == MAX_EVENT_TIMEOUT_S


def test_a_sampler_that_rejects_with_room_is_avoided_for_longer():
    assert rejected_backoff_s(had_free_slots=True) == LOADING_BACKOFF_S > FULL_BACKOFF_S
    assert rejected_backoff_s(had_free_slots=False) == FULL_BACKOFF_S


def test_an_item_is_given_up_a_margin_after_its_queue_time():
    assert give_up_at(100.0, 60.0) == 160.0 + GIVE_UP_MARGIN_S


@pytest.mark.parametrize(
    ("target_s", "timeouts", "timeout_s"),
    [(0.4, 0, 1.2), (0.4, 1, 2.4), (0.4, 5, 10.0), (0.01, 0, SCORING_MIN_TIMEOUT_S)],
)
def test_a_back_end_has_a_multiple_of_the_target_to_score(target_s, timeouts, timeout_s):
    route = replace(make_route(), target_latency_s=target_s, timeout_s=10.0)
    assert scoring_timeout_s(route, timeouts) == pytest.approx(timeout_s)


@pytest.mark.parametrize(("job_attempts", "expected"), [(1, 3), (5, 5)])
def test_the_larger_limit_of_both_routes_counts_for_a_score(job_attempts, expected):
    assert max_scoring_failures(make_route(max_attempts=3), job_attempts) == expected
