"""Tests of the rules by which a request is retried or fails."""

from dataclasses import dataclass
from types import SimpleNamespace

import pytest

from crankseam.requests.attempts import (
    MIN_REMAINING_S,
    RETRY_RESERVE,
    has_time_to_forward,
    may_retry_after_lost_answer,
    new_retry_budget,
)


@dataclass
class StubTrial:
    allowed: bool

    def may_send(self) -> bool:
        return self.allowed


@pytest.mark.parametrize("must_not_repeat", [False, True])
@pytest.mark.parametrize("answer_started", [False, True])
@pytest.mark.parametrize("allowed", [False, True])
def test_after_a_lost_answer_only_what_may_repeat_and_was_not_passed_on_is_sent_again(
    must_not_repeat, answer_started, allowed
):
    context = SimpleNamespace(must_not_repeat=must_not_repeat, answer_started=answer_started)
    expected = not must_not_repeat and not answer_started and allowed
    assert may_retry_after_lost_answer(context, StubTrial(allowed)) is expected


def test_a_request_with_too_little_time_left_is_not_sent():
    assert has_time_to_forward(MIN_REMAINING_S)
    assert not has_time_to_forward(MIN_REMAINING_S - 0.001)
    assert not has_time_to_forward(-1.0)


def test_retries_are_the_reserve_and_then_a_tenth_of_first_attempts():
    budget = new_retry_budget()
    while budget.try_spend():
        pass
    for _ in range(200):
        budget.count_attempt()
    spent = 0
    while budget.try_spend():
        spent += 1
    assert spent in (int(RETRY_RESERVE) - 1, int(RETRY_RESERVE))
