"""How often a request is sent, when a second attempt is sent, and when it is given up."""

from __future__ import annotations

from dataclasses import dataclass, field

from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.errors import OutcomeUnknown, Problem, Unavailable
from crankseam.quarantine.trial import Trial
from crankseam.serving.messages import Answer, InboundRequest, StreamingAnswer
from crankseam.serving.routes import RequestKind, Route

HEDGE_TARGET_SHARE = 0.75
"""A repeatable request gets a second attempt after this share of its target latency."""
ANSWER_MARGIN_SECONDS = 0.03
"""The caller gets its answer this much before it would stop waiting."""
MAX_TURNED_AWAY = 4
"""Back ends that may turn one request away before it is given up."""
TURNED_AWAY_PAUSE_SECONDS = 0.02
RETRY_AFTER_SECONDS = 0.1
SERVER_ERROR = 500


@dataclass
class Progress:
    """What happened to one request so far."""

    trial: Trial
    tried: set[str] = field(default_factory=set)
    may_have_run: int = 0
    turned_away: int = 0
    last_failure: Answer | None = None
    reasons: list[str] = field(default_factory=list)
    began_at: float | None = None
    """Time of promises at which it was sent to the first back end that may have run it."""


def end_of_attempts(request: InboundRequest, route: Route) -> float:
    """Time of promises at which a request is given up."""
    return min(request.deadline, request.received_at + route.timeout) - ANSWER_MARGIN_SECONDS


def reason_of_end(request: InboundRequest, route: Route) -> str:
    """Which of the two times passed."""
    by_route = request.received_at + route.timeout <= request.deadline
    return "route's timeout" if by_route else "caller's deadline"


def has_attempts_left(route: Route, progress: Progress) -> bool:
    """Whether it may run once more."""
    repeatable = route.kind is RequestKind.REPEATABLE
    return progress.may_have_run < (route.max_attempts if repeatable else 1)


def is_turned_away_for_good(progress: Progress) -> bool:
    """Whether so many turned it away that it is given up."""
    return progress.turned_away >= MAX_TURNED_AWAY


def may_try_again_where_tried(progress: Progress) -> bool:
    """All turned it away: another round, since they may have room by now."""
    return not progress.may_have_run


def hedge_after_s(route: Route) -> float:
    """Seconds after which a slow first attempt gets a second one beside it."""
    return route.target_latency * HEDGE_TARGET_SHARE


def is_server_error(answer: Answer | StreamingAnswer) -> bool:
    """Whether a back end failed."""
    return answer.status >= SERVER_ERROR


def is_tried_again(route: Route, answer: Answer) -> bool:
    """Whether an answer does not end the request."""
    return is_server_error(answer) and route.kind is RequestKind.REPEATABLE


def problem_when_given_up(progress: Progress) -> Problem:
    """What the caller is told."""
    reason = progress.reasons[-1] if progress.reasons else "no back end took it"
    if progress.may_have_run:
        return OutcomeUnknown(reason, OUTCOME_UNKNOWN)
    return Unavailable(reason, OUTCOME_NOT_RUN, RETRY_AFTER_SECONDS)
