"""When is a request sent to a back end again, and when is it given up?

Inputs: how the last attempt ended, whether the request may be repeated, whether a part of the
answer has reached the caller, how many back ends may end under the request (quarantine), the
seconds that the caller still waits, and the balance of the retry budget.
Rule: after a refused connection, which proves that nothing was sent, and after a lost answer where
a second run does no harm, the next best back end is tried while the budget has a retry. A request
that has less than `MIN_REMAINING_S` left is not sent.
Protects: a request that may not be repeated from a second run, an answer cut short from looking
whole, and back ends from storms of retries.
Shown by: the decisions of the request in `crankseam explain`. Held by:
tests/requests/test_attempts.py, tests/requests/test_app_requests.py.
"""

from __future__ import annotations

from crankseam.backoff import RetryBudget
from crankseam.quarantine.trial import Trial
from crankseam.requests.context import RequestContext

MIN_REMAINING_S = 0.005
"""A request with less time than this left is not forwarded any more. Origin not recorded."""
RETRY_RATIO = 0.1
"""Retries as a share of first attempts (docs/design/03-request.md). Origin not recorded."""
RETRY_RESERVE = 20.0
"""Retries that a node may make at once, whatever came before. Origin not recorded."""


def new_retry_budget() -> RetryBudget:
    """The budget that all requests of one node share."""
    return RetryBudget(RETRY_RATIO, RETRY_RESERVE)


def has_time(remaining_s: float) -> bool:
    """Whether the caller still waits long enough for the request to be forwarded."""
    return remaining_s >= MIN_REMAINING_S


def may_follow_lost_answer(context: RequestContext, trial: Trial) -> bool:
    """Whether the request may be sent again after the answer of an attempt was lost."""
    if context.must_not_repeat or context.answer_started:
        return False
    return trial.may_send()
