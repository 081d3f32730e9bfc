"""Retry policy: how often a request is sent, when it is hedged, and how failure is reported.

Inputs: the route (maximum number of attempts; timeout and target latency, in seconds); the deadline
of the caller; the outcomes of the attempts so far. All belong to the request, so none can be stale.
Points in time are in seconds of the suspend-aware clock, `clocks.boottime_s`.
Rule: A repeatable request may run `max_attempts` times, any other request once. A rejected attempt
did not run and does not count, but after `MAX_REJECTIONS` rejections the request is given up; at a
contended service it first returns to the waiting line, up to `MAX_LINE_RETURNS` times. If the
first attempt of a repeatable request is slow, a second one is started concurrently at another
back end, and the first answer is used. A request is given up at the deadline of the caller or the
timeout of the route, whichever is earlier. "Not run" is reported only if no attempt may have run.
Purpose: Prevents requests that may run only once from running twice, and protects callers from slow
or failing back ends.
Logged as: `request_hedged`, `request_answered` and `request_given_up` (attempts, reasons).
Tested by: tests/serving/test_retry.py, tests/platform/test_front.py.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.errors import OutcomeUnknown, Problem, Unavailable
from crankseam.serving.messages import Answer, InboundRequest, StreamingAnswer
from crankseam.serving.routes import RequestKind, Route

HEDGE_LATENCY_FRACTION = 0.75
"""Fraction of the route's target latency after which a repeatable request is hedged. The rest of
the target latency is left for the second attempt."""
DEADLINE_MARGIN_S = 0.03
"""Seconds before the deadline or the timeout at which a request is given up, so that the error
reaches the caller in time: allows for transmission and for the lag of the event loop."""
MAX_REJECTIONS = 4
"""Number of rejections after which a request is given up. The caller retries after a pause,
possibly at another process that has newer load reports."""
MAX_LINE_RETURNS = 3
"""Number of times that a request returns to the waiting line of a contended service after
`MAX_REJECTIONS` rejections. It bounds the attempts that full back ends have to reject."""
REJECTION_PAUSE_S = 0.02
"""Seconds between a broken or rejected attempt and the next one, once any back end has rejected the
request."""
MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that indicates a failure of the back end."""

RETRY_AFTER_NO_BACK_END_S = 0.1
"""`Retry-After`, in seconds, of a request that no back end accepted: slots become free within the
duration of one request. The value is fixed, without jitter; at a contended service
`overload.retry_after` replaces it."""
RETRY_AFTER_NO_CONFIGURATION_S = 0.3
"""`Retry-After`, in seconds, of a process that has not read a configuration yet: it is starting,
and the load balancer in front offers other processes."""
RETRY_AFTER_STORE_UNAVAILABLE_S = 0.3
"""`Retry-After`, in seconds, of a job call that failed because the store did not respond: the next
call may reach a process that the store does respond to."""
RETRY_AFTER_UNCONFIRMED_KEY_S = 0.5
"""`Retry-After`, in seconds, of a process that cannot confirm an API key: a process that lost its
connection to the store regains it within about this time, or the caller reaches another process."""


@dataclass
class AttemptHistory:
    """Outcomes of the attempts of one request so far.

    Attributes
    ==========

    tried : ids of the back ends that the request was sent to.
    may_have_run : number of attempts that are running or may have run; excludes rejected ones.
    rejections : number of attempts that a back end did not run and never will, since the request
        last got a place.
    line_returns : number of times that the request returned to the waiting line.
    last_failure : most recent answer with a server error.
    reasons : one text for each attempt that did not complete the request, and finally the reason
        for which the request was given up.
    began_at : time at which the first attempt that may have run was sent.
    """

    tried: set[str] = field(default_factory=set)
    may_have_run: int = 0
    rejections: int = 0
    line_returns: int = 0
    last_failure: Answer | None = None
    reasons: list[str] = field(default_factory=list)
    began_at: float | None = None

    def record_sent(self, back_end_id: str) -> None:
        """Record that an attempt begins."""
        self.tried.add(back_end_id)
        self.may_have_run += 1

    def record_rejected(self, back_end_id: str, reason: str) -> None:
        """Record that a back end rejected an attempt without running it."""
        self.may_have_run -= 1
        self.rejections += 1
        self.reasons.append(f"{back_end_id}: {reason}")

    def record_return(self) -> None:
        """Record that the request got another place after it returned to the waiting line."""
        self.line_returns += 1
        self.rejections = 0

    def record_broken(self, back_end_id: str, reason: str) -> None:
        """Record that an attempt gave no complete answer."""
        self.reasons.append(f"{back_end_id}: {reason}")

    def record_server_error(self, back_end_id: str, answer: Answer) -> None:
        """Record that an attempt was answered with a server error."""
        self.reasons.append(f"{back_end_id}: status {answer.status}")
        self.last_failure = answer

    def record_possible_start(self, sent_at: float) -> None:
        """Record that an attempt sent at `sent_at` may have run."""
        began_at = self.began_at if self.began_at is not None else sent_at
        self.began_at = min(sent_at, began_at)


def give_up_time(request: InboundRequest, route: Route) -> float:
    """Return the time at which a request is given up."""
    return min(request.deadline, request.received_at + route.timeout_s) - DEADLINE_MARGIN_S


def give_up_reason(request: InboundRequest, route: Route, stop_at: float = math.inf) -> str:
    """Return which limit ends the request: the route's timeout, the caller's deadline or a stop.

    Parameters
    ==========

    stop_at : time by which a planned stop gives up all requests; infinite without one.
    """
    if stop_at < give_up_time(request, route):
        return "planned stop"
    is_route_timeout = request.received_at + route.timeout_s <= request.deadline
    return "route's timeout" if is_route_timeout else "caller's deadline"


def has_attempts_left(route: Route, history: AttemptHistory) -> bool:
    """Whether another attempt may be started, in addition to those that are running."""
    max_runs = route.max_attempts if route.kind is RequestKind.REPEATABLE else 1
    return history.may_have_run < max_runs


def is_rejected_too_often(history: AttemptHistory) -> bool:
    """Whether a request is given up because too many attempts were rejected."""
    return history.rejections >= MAX_REJECTIONS


def may_return_to_line(history: AttemptHistory) -> bool:
    """Whether a request that was rejected too often may wait for another place.

    Not if it may have run: the line refuses requests as "not run".
    """
    return history.began_at is None and history.line_returns < MAX_LINE_RETURNS


def may_reuse_back_ends(history: AttemptHistory) -> bool:
    """Whether back ends that were already tried may be tried again if there is no other.

    They may if all of them rejected the request, since some may have free slots by now.
    """
    return not history.may_have_run


def hedge_delay_s(route: Route) -> float:
    """Return the seconds after which a repeatable request without an answer is hedged."""
    return route.target_latency_s * HEDGE_LATENCY_FRACTION


def is_server_error(answer: Answer | StreamingAnswer) -> bool:
    """Whether the status of an answer indicates a failure of the back end."""
    return answer.status >= MIN_SERVER_ERROR_STATUS


def is_retryable(route: Route, answer: Answer) -> bool:
    """Whether another attempt may follow an answer; otherwise the caller receives the answer."""
    return is_server_error(answer) and route.kind is RequestKind.REPEATABLE


def give_up_problem(
    history: AttemptHistory, retry_after_s: float = RETRY_AFTER_NO_BACK_END_S
) -> Problem:
    """Return the error reported to the caller of a request that was given up.

    Parameters
    ==========

    retry_after_s : seconds after which the caller may return if the request did not run.
    """
    reason = history.reasons[-1] if history.reasons else "no back end took it"
    if history.may_have_run:
        return OutcomeUnknown(reason, OUTCOME_UNKNOWN)
    return Unavailable(reason, OUTCOME_NOT_RUN, retry_after_s)
