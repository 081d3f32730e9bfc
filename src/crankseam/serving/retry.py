"""How often is a request sent, when does it get a second attempt, what is its caller told?

Inputs: the route (most attempts, timeout and target latency in seconds), the caller's deadline
(time of promises), and what became of the attempts so far; all are the request's own, none is old.
Rule: A repeatable request may run `max_attempts` times, any other once; a rejected attempt did not
run and does not count, but `MOST_REJECTIONS` of them end the request. A repeatable one whose first
attempt is slow gets a second one elsewhere beside it, and the first answer counts. At the caller's
deadline or the route's timeout it is given up; "not run" is said only if no attempt may have run.
Protects: requests that may run once from running twice, and callers from a slow or broken back end.
Shown by: `request_hedged`, `request_answered` and `request_given_up` (attempts, reasons).
Held by: tests/serving/test_retry.py, tests/platform/test_front.py.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.errors import OutcomeUnknown, Problem, Unavailable
from crankseam.serving.messages import Answer, InboundRequest, StreamingAnswer
from crankseam.serving.routes import RequestKind, Route

HEDGE_TARGET_SHARE = 0.75
"""A repeatable request gets a second attempt after this share of its route's target latency, so
that the second has the rest of it. Origin not recorded."""
ANSWER_MARGIN_S = 0.03
"""Seconds by which the caller gets its answer before it would stop waiting: the way back, and the
event loop's lag. Origin not recorded."""
MOST_REJECTIONS = 4
"""Back ends that may reject one request before it is given up: its caller comes back after a pause,
perhaps at another process with newer reports of load. Origin not recorded."""
REJECTION_PAUSE_S = 0.02
"""Seconds between an attempt that broke or was rejected and the next one, once a back end has
rejected the request. Origin not recorded."""
SERVER_ERROR = 500
"""HTTP statuses from here on say that the back end failed."""

RETRY_AFTER_NO_BACK_END_S = 0.1
"""`Retry-After`, seconds, of a request that no back end took: slots come free within one request's
time. Fixed, without spread. Origin not recorded."""
RETRY_AFTER_NO_CONFIGURATION_S = 0.3
"""The same of a process that has read no configuration yet: it starts, and the entry offers others.
Origin not recorded."""
RETRY_AFTER_STORE_AWAY_S = 0.3
"""The same of a job call that the store did not answer: the next one may come to a process that it
does answer. Origin not recorded."""
RETRY_AFTER_UNCONFIRMED_S = 0.5
"""The same of a process that can't confirm an API key: one that lost the store is back within about
this time, or the caller asks another one. Origin not recorded."""


@dataclass
class AttemptHistory:
    """What became of the attempts of one request so far.

    Attributes
    ==========

    tried : ids of the back ends that it was sent to.
    may_have_run : attempts that run, or that may have run; rejected ones are not among them.
    rejections : attempts that a back end did not run and never will.
    last_failure : the newest answer that said that its back end failed.
    reasons : why each attempt did not end the request, and at last why it was given up.
    began_at : time of promises, in seconds, at which it was sent to the first back end that may
        have run it.
    """

    tried: set[str] = field(default_factory=set)
    may_have_run: int = 0
    rejections: int = 0
    last_failure: Answer | None = None
    reasons: list[str] = field(default_factory=list)
    began_at: float | None = None

    def sent_to(self, back_end_id: str) -> None:
        """An attempt begins."""
        self.tried.add(back_end_id)
        self.may_have_run += 1

    def rejected_by(self, back_end_id: str, reason: str) -> None:
        """An attempt did not run."""
        self.may_have_run -= 1
        self.rejections += 1
        self.reasons.append(f"{back_end_id}: {reason}")

    def broke_at(self, back_end_id: str, reason: str) -> None:
        """An attempt gave no whole answer."""
        self.reasons.append(f"{back_end_id}: {reason}")

    def failed_at(self, back_end_id: str, answer: Answer) -> None:
        """An attempt was answered by a failure."""
        self.reasons.append(f"{back_end_id}: status {answer.status}")
        self.last_failure = answer

    def may_have_begun(self, sent_at: float) -> None:
        """An attempt that was sent at this time of promises may have run."""
        began_at = self.began_at if self.began_at is not None else sent_at
        self.began_at = min(sent_at, began_at)


def attempts_end(request: InboundRequest, route: Route) -> float:
    """Time of promises, in seconds, at which a request is given up."""
    return min(request.deadline, request.received_at + route.timeout_s) - ANSWER_MARGIN_S


def reason_of_end(request: InboundRequest, route: Route) -> str:
    """Which of the two times passed."""
    by_route = request.received_at + route.timeout_s <= request.deadline
    return "route's timeout" if by_route else "caller's deadline"


def has_attempts_left(route: Route, history: AttemptHistory) -> bool:
    """Whether a request may run once more, beside attempts that are under way."""
    most_runs = route.max_attempts if route.kind is RequestKind.REPEATABLE else 1
    return history.may_have_run < most_runs


def is_rejected_too_often(history: AttemptHistory) -> bool:
    """Whether a request is given up, since so many back ends rejected it."""
    return history.rejections >= MOST_REJECTIONS


def may_repeat_back_ends(history: AttemptHistory) -> bool:
    """Whether back ends that were tried may be tried again, if there is no other.

    If all of them rejected the request, some may have room by now.
    """
    return not history.may_have_run


def hedge_after_s(route: Route) -> float:
    """Seconds after which a slow first attempt of a repeatable request gets a second beside it."""
    return route.target_latency_s * HEDGE_TARGET_SHARE


def is_server_error(answer: Answer | StreamingAnswer) -> bool:
    """Whether an answer says that its back end failed."""
    return answer.status >= SERVER_ERROR


def is_tried_again_after(route: Route, answer: Answer) -> bool:
    """Whether another attempt may follow an answer; else the caller gets it."""
    return is_server_error(answer) and route.kind is RequestKind.REPEATABLE


def problem_when_given_up(history: AttemptHistory) -> Problem:
    """What the caller is told if no answer can be given."""
    reason = history.reasons[-1] if history.reasons else "no back end took it"
    if history.may_have_run:
        return OutcomeUnknown(reason, OUTCOME_UNKNOWN)
    return Unavailable(reason, OUTCOME_NOT_RUN, RETRY_AFTER_NO_BACK_END_S)
