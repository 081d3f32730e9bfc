"""Time-outs and retries of attempts at items and scoring requests, and when they are given up.

Inputs: the outcomes of the attempts so far (failures, time-outs); the route's limits; the time
since the job started in this process.
Rule: only a complete response that reports a failure counts against the route's `max_attempts`.
After a rejection, a broken connection or a time-out the item is tried again, at another sampler if
one has room. An item is given up after `max_attempts` failures, when a sampler reports that it can
never be completed, or when it is incomplete GIVE_UP_MARGIN_S after the route's `item_timeout_s` has
passed. Scoring requests follow the same rule, limited by the larger `max_attempts` of their own
route and the job's route.
Purpose: a sampler that stops answering does not delay a step; the cost is that some runs are
resumed elsewhere unnecessarily.
Logged as: `item_broken`, `item_turned_away`, `item_failed`, `item_impossible`, `item_given_up`; for
scoring requests `scoring_broken`, `scoring_turned_away`, `scoring_failed`, `scoring_given_up`.
Tested by: tests/jobs/test_item_retry.py, test_item_run.py, tests/platform/test_scoring.py.
"""

from __future__ import annotations

from crankseam.serving.routes import Route

FIRST_EVENT_TIMEOUT_S = 2.5
"""Time-out for the first event of an attempt; includes the time that the item waits in the
sampler's queue."""
NEXT_EVENT_TIMEOUT_S = 0.3
"""Time-out for each later event, after which the run is resumed at another sampler. It doubles with
each time-out of the item. A healthy sampler sends an event every 0.04 to 0.06 s; one that loads a
weight version sends none for 0.9 s."""
MAX_EVENT_TIMEOUT_S = 2.5
"""Upper bound of the doubled time-out; equal to the time-out for the first event."""
ATTEMPT_TIMEOUT_S = 60.0
"""Time after which a sampler is to stop its work on an attempt."""
FULL_BACKOFF_S = 0.05
"""Time for which a sampler is avoided after it rejected an item because it was full: about the
interval between two events."""
LOADING_BACKOFF_S = 0.3
"""Time for which a sampler is avoided after it rejected an item although it had room, which means
that it is loading a weight version."""
BROKEN_RETRY_DELAY_S = 0.02
"""Delay between a broken attempt at an item and the next attempt."""
GIVE_UP_MARGIN_S = 2.0
"""Time that must pass after the route's `item_timeout_s` before an item is given up."""
DEFAULT_ITEM_TIMEOUT_S = 60.0
"""The `item_timeout_s` of a job whose route is no longer configured."""
DEFAULT_MAX_ATTEMPTS = 1
"""The `max_attempts` of a job whose route is no longer configured; the route of the scoring request
may allow more failures."""
SCORING_TIMEOUT_FACTOR = 3.0
"""A scoring request times out after this multiple of its route's target latency, so that a lost
response is soon requested again elsewhere. The time-out doubles with each time-out of the request,
up to the route's own time-out."""
SCORING_MIN_TIMEOUT_S = 0.5
"""Lower bound of the first time-out of a scoring request, for routes with a short target
latency."""
SCORING_REJECTED_BACKOFF_S = 0.1
"""Time for which a back end is avoided after it rejected a scoring request, which leaves it to
callers' requests."""
SCORING_RETRY_BASE_S = 0.02
"""Upper bound of the first delay between two scoring calls of an item; see Backoff."""
SCORING_RETRY_CAP_S = 0.5
"""Upper bound of all such delays."""


def next_event_timeout_s(timeouts: int) -> float:
    """Time-out for an event that is not the first of its attempt.

    Parameters
    ==========

    timeouts : number of earlier time-outs of the item.

    Examples
    ========

    >>> [next_event_timeout_s(timeouts) for timeouts in range(5)]
    [0.3, 0.6, 1.2, 2.4, 2.5]
    """
    return min(MAX_EVENT_TIMEOUT_S, NEXT_EVENT_TIMEOUT_S * 2.0**timeouts)


def rejected_backoff_s(had_free_slots: bool) -> float:
    """Time for which a sampler is avoided after it rejected an item.

    Parameters
    ==========

    had_free_slots : whether the sampler reported that it had room for the item.
    """
    return LOADING_BACKOFF_S if had_free_slots else FULL_BACKOFF_S


def give_up_at(started_at: float, item_timeout_s: float) -> float:
    """Monotonic time at which an incomplete item is given up.

    Parameters
    ==========

    started_at : monotonic time at which its job started in this process.
    item_timeout_s : the route's `item_timeout_s`.
    """
    return started_at + item_timeout_s + GIVE_UP_MARGIN_S


def scoring_timeout_s(route: Route, timeouts: int) -> float:
    """Time-out for the next attempt at a scoring request, after this many time-outs."""
    first_timeout_s = max(SCORING_MIN_TIMEOUT_S, SCORING_TIMEOUT_FACTOR * route.target_latency_s)
    return min(route.timeout_s, first_timeout_s * 2.0**timeouts)


def max_scoring_failures(route: Route, job_attempts: int) -> int:
    """Number of failures after which a scoring request is given up.

    Parameters
    ==========

    route : route of the scoring request.
    job_attempts : `max_attempts` of the route of the item's job.
    """
    return max(route.max_attempts, job_attempts)
