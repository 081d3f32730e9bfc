"""Log lines of the overload gate: one for a decision about a request, few about a limit."""

from __future__ import annotations

import logging

from crankseam.overload.estimate import AnswerEstimate
from crankseam.overload.hedge_budget import HedgeRefusal
from crankseam.overload.messages import GateRequest, RefusalCause
from crankseam.overload.service_state import ServiceState
from crankseam.overload.waiting import Waiting

log = logging.getLogger(__name__)

LIMIT_LOG_INTERVAL_S = 1.0
"""Shortest time, in seconds, between two log lines about the limit of one service."""


def log_refusal(
    state: ServiceState,
    request: GateRequest,
    cause: RefusalCause,
    place: int,
    estimate: AnswerEstimate,
    *,
    left_s: float,
    waited_s: float,
    retry_after_s: float,
    now: float,
) -> None:
    """Log that a request was refused at the gate.

    Parameters
    ==========

    left_s : seconds until the request is given up.
    now : monotonic time.
    """
    age_s = state.drain.age_s(now)
    log.info(
        "request_rejected_early",
        extra={
            "request": request.inbound.id,
            "service": request.service,
            "tenant": request.inbound.tenant,
            "priority": request.priority,
            "cause": cause.value,
            "place": place,
            "wait_s": round(estimate.wait_s, 3),
            "run_s": round(estimate.run_s, 3),
            "left_s": round(left_s, 3),
            "waited_s": round(waited_s, 3),
            "line": len(state.line),
            "limit": state.limit.requests,
            "drain_per_s": round(state.drain_per_s(request, now), 2),
            "drain_age_s": round(age_s, 3) if age_s != float("inf") else None,
            "retry_after_s": round(retry_after_s, 3),
        },
    )


def log_queued(state: ServiceState, waiting: Waiting, outcome: str, waited_s: float) -> None:
    """Log that a request left the line with a place, or because its caller has gone."""
    log.info(
        "request_queued",
        extra={
            "request": waiting.request.inbound.id,
            "service": waiting.request.service,
            "tenant": waiting.tenant,
            "priority": waiting.priority,
            "place": waiting.place,
            "waited_s": round(waited_s, 3),
            "limit": state.limit.requests,
            "line": len(state.line),
            "outcome": outcome,
        },
    )


def log_hedge_withheld(
    state: ServiceState, request: GateRequest, slow: str, cause: HedgeRefusal, tokens: float
) -> None:
    """Log that a request was not hedged.

    Parameters
    ==========

    slow : id of the back end whose answer is late.
    """
    log.info(
        "hedge_withheld",
        extra={
            "request": request.inbound.id,
            "service": request.service,
            "slow": slow,
            "cause": cause.value,
            "tokens": round(tokens, 2),
            "line": len(state.line),
            "running": state.running,
            "limit": state.limit.requests,
        },
    )


def log_limit(state: ServiceState, service: str, now: float) -> None:
    """Log a changed limit, at most once in each `LIMIT_LOG_INTERVAL_S`."""
    requests = state.limit.requests
    if requests == state.logged_limit or now - state.logged_at < LIMIT_LOG_INTERVAL_S:
        return
    log.info(
        "concurrency_limit_changed",
        extra={
            "service": service,
            "old": state.logged_limit,
            "new": requests,
            "cause": state.limit.cause.value,
            "slots": state.limit.slots,
            "running": state.running,
        },
    )
    state.logged_limit, state.logged_at = requests, now
