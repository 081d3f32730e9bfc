"""How long an attempt at an item may take, when the next one comes, and when the item is given up.

Inputs: what came of the attempts so far (failures, silences), the route's limits, the time since
the job began to run here.
Rule: only a whole answer of failure counts against the route's `max_attempts`; a rejection, a
broken connection or a silence is tried again, elsewhere if there is another place. An item is
given up after that many failures, when the sampler says that it can never be done, or when it was
not whole GIVE_UP_MARGIN_S after the route's `max_queue`. A score goes by the same rule, its limit
is the larger one of its own route and the job's.
Protects: a step from a silent sampler, at the price of a run that is resumed without need.
Shown by: `item_broken`, `item_turned_away`, `item_failed`, `item_impossible`, `item_given_up`; for
scores `scoring_broken`, `scoring_turned_away`, `scoring_failed`, `scoring_given_up`.
Held by: tests/jobs/test_item_retry.py, test_item_run.py, tests/platform/test_scoring.py.
"""

from __future__ import annotations

from crankseam.serving.routes import Route

FIRST_EVENT_S = 2.5
"""Longest wait for the first event of an attempt: the item may wait in the sampler's queue. Origin
not recorded."""
NEXT_EVENT_S = 0.3
"""Longest silence between two events before the run goes on elsewhere; it doubles with each silence
of the item. Events of a healthy sampler are 0.04 to 0.06 s apart; one that loads a version stands
still for 0.9 s. A choice, not measured by itself."""
LONGEST_SILENCE_S = 2.5
"""What that doubles up to: as long as the wait for a first event. Origin not recorded."""
LONGEST_ATTEMPT_S = 60.0
"""Seconds that a sampler is given for one attempt. Origin not recorded."""
FULL_PAUSE_S = 0.05
"""A sampler that rejected an item because it is full is avoided for so long: about one event. A
choice, not measured by itself."""
LOADING_PAUSE_S = 0.3
"""The same for one that had room: it loads a version. A choice, not measured by itself."""
BROKEN_PAUSE_S = 0.02
"""Between an attempt that broke off and the next one of the item. Origin not recorded."""
GIVE_UP_MARGIN_S = 2.0
"""An item is given up only so long after the route's `max_queue` has passed. Origin not
recorded."""
DEFAULT_QUEUE_S = 60.0
"""The `max_queue` of a job whose route is gone. Origin not recorded."""
DEFAULT_ATTEMPTS = 1
"""Failures of a score that end its item if the job's route is gone; the scoring route may allow
more. Origin not recorded."""
SCORING_PATIENCE_TARGETS = 3.0
"""A back end has so many times the route's target latency to answer a scoring request, and twice as
long after each silence, up to the route's timeout: an answer that was lost is soon asked for
elsewhere. Origin not recorded."""
SCORING_SHORTEST_PATIENCE_S = 0.5
"""The least that this comes to, for routes with a short target. Origin not recorded."""
SCORING_REJECTED_PAUSE_S = 0.1
"""A back end that rejected a scoring request is left to callers for so long. Origin not
recorded."""
SCORING_RETRY_BASE_S = 0.02
"""First pause between two scoring calls of an item; see Backoff. Origin not recorded."""
SCORING_RETRY_CAP_S = 0.5
"""Longest such pause. Origin not recorded."""


def next_event_s(silences: int) -> float:
    """Longest wait for an event that is not the first of its attempt.

    Examples
    ========

    >>> [next_event_s(silences) for silences in range(5)]
    [0.3, 0.6, 1.2, 2.4, 2.5]
    """
    return min(LONGEST_SILENCE_S, NEXT_EVENT_S * 2.0**silences)


def rejected_pause_s(had_room: bool) -> float:
    """How long a sampler is avoided that rejected an item; `had_room` by its own word."""
    return LOADING_PAUSE_S if had_room else FULL_PAUSE_S


def give_up_at(started_at: float, longest_queue_s: float) -> float:
    """When an item that is not whole is given up; both times are monotonic.

    Parameters
    ==========

    started_at : when its job began to run here.
    longest_queue_s : the route's `max_queue`.
    """
    return started_at + longest_queue_s + GIVE_UP_MARGIN_S


def scoring_patience_s(route: Route, silences: int) -> float:
    """How long the next back end has to answer a scoring request."""
    first_s = max(SCORING_SHORTEST_PATIENCE_S, SCORING_PATIENCE_TARGETS * route.target_latency_s)
    return min(route.timeout_s, first_s * 2.0**silences)


def most_scoring_failures(route: Route, job_attempts: int) -> int:
    """So many whole answers of failure end the item; `job_attempts` by the route of its job."""
    return max(route.max_attempts, job_attempts)
