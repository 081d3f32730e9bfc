"""Decides whether a request is retried on another back end.

Inputs: how the last attempt ended, whether the request may be repeated, whether a part of the
answer has reached the caller, how many back ends may crash under the request (quarantine), the
seconds until the caller's deadline, and the balance of the retry budget.
Rule: a request is retried on the next best back end after a refused connection, which proves that
nothing was sent, or after a lost answer if the request may be repeated. Each retry takes one unit
of the retry budget. A request with less than `MIN_REMAINING_S` until its deadline is not sent.
Purpose: prevents a second run of a request that may not be repeated, a truncated answer that looks
complete, and retry storms on the back ends.
Logged as: the decisions of the request in `crankseam explain`.
Tested by: tests/requests/test_attempts.py, tests/requests/test_app_requests.py.
"""

from __future__ import annotations

from crankseam.backoff import RetryBudget
from crankseam.quarantine.request_tracker import RequestTracker
from crankseam.requests.context import RequestContext

MIN_REMAINING_S = 0.005
"""A request with less time until its deadline is not forwarded."""
RETRY_RATIO = 0.1
"""Maximum ratio of retries to first attempts (docs/design/03-request.md)."""
RETRY_RESERVE = 20.0
"""Retries that a node may make in a burst, regardless of the number of first attempts."""


def new_retry_budget() -> RetryBudget:
    """Return a retry budget; all requests of one node share one."""
    return RetryBudget(RETRY_RATIO, RETRY_RESERVE)


def has_time_to_forward(remaining_s: float) -> bool:
    """Whether enough time is left until the caller's deadline to forward the request."""
    return remaining_s >= MIN_REMAINING_S


def may_retry_after_lost_answer(context: RequestContext, tracker: RequestTracker) -> bool:
    """Whether the request may be sent again after the answer to an attempt was lost.

    It may not if it must not be repeated, if a part of the answer has reached the caller, or if
    the quarantine holds the request.
    """
    if context.must_not_repeat or context.answer_started:
        return False
    return tracker.may_send()
