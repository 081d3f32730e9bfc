"""The rules of attempts by themselves."""

from dataclasses import replace

import pytest

from crankseam.jobs.item_retry import (
    FULL_PAUSE_S,
    GIVE_UP_MARGIN_S,
    LOADING_PAUSE_S,
    LONGEST_SILENCE_S,
    NEXT_EVENT_S,
    SCORING_SHORTEST_PATIENCE_S,
    give_up_at,
    most_scoring_failures,
    next_event_s,
    rejected_pause_s,
    scoring_patience_s,
)
from tests.jobs.factories import make_route


def test_each_silence_doubles_the_wait_for_an_event_up_to_a_cap():
    assert next_event_s(0) == NEXT_EVENT_S
    assert next_event_s(1) == 2 * NEXT_EVENT_S
    assert next_event_s(10) == LONGEST_SILENCE_S


def test_a_sampler_that_rejects_with_room_is_avoided_for_longer():
    assert rejected_pause_s(had_room=True) == LOADING_PAUSE_S > FULL_PAUSE_S
    assert rejected_pause_s(had_room=False) == FULL_PAUSE_S


def test_an_item_is_given_up_a_margin_after_its_queue_time():
    assert give_up_at(100.0, 60.0) == 160.0 + GIVE_UP_MARGIN_S


@pytest.mark.parametrize(
    ("target_s", "silences", "patience_s"),
    [(0.4, 0, 1.2), (0.4, 1, 2.4), (0.4, 5, 10.0), (0.01, 0, SCORING_SHORTEST_PATIENCE_S)],
)
def test_a_back_end_has_a_multiple_of_the_target_to_score(target_s, silences, patience_s):
    route = replace(make_route(), target_latency_s=target_s, timeout_s=10.0)
    assert scoring_patience_s(route, silences) == pytest.approx(patience_s)


@pytest.mark.parametrize(("job_attempts", "most"), [(1, 3), (5, 5)])
def test_the_larger_limit_of_both_routes_counts_for_a_score(job_attempts, most):
    assert most_scoring_failures(make_route(max_attempts=3), job_attempts) == most
