"""Overload state of one service in this process, and the estimates that it gives.

All times are monotonic seconds.
"""

from __future__ import annotations

from collections.abc import Callable

from crankseam.overload.concurrency import ConcurrencyLimit
from crankseam.overload.estimate import AnswerEstimate, DrainRate, estimate_answer
from crankseam.overload.hedge_budget import HedgeBudget
from crankseam.overload.latency import Latencies
from crankseam.overload.line import WaitingLine
from crankseam.overload.messages import GateRequest
from crankseam.serving.fair_order import FairOrder


class ServiceState:
    """Overload state of one service."""

    def __init__(self, order_of: Callable[[int], FairOrder]) -> None:
        self.limit = ConcurrencyLimit()
        self.line = WaitingLine(order_of)
        self.drain = DrainRate()
        self.latencies = Latencies()
        self.hedges = HedgeBudget()
        self.running = 0
        """Requests and hedges that hold a place."""
        self.are_slots_outdated = True
        """Whether back ends changed since the slots were counted."""
        self.assumed_s = 0.0
        """Duration that is assumed until a request has ended: the target latency of a route."""
        self.logged_limit = 0
        self.logged_at = float("-inf")

    def expected_s(self) -> float:
        """Return the seconds for which a request is expected to occupy its place."""
        return self.drain.typical_s or self.assumed_s

    def is_limit_in_use(self) -> bool:
        """Whether no further request may run."""
        return self.running >= self.limit.requests

    # --- estimates

    def run_s(self, request: GateRequest) -> float:
        """Return the typical seconds from the grant of a place to the answer of a request."""
        route = request.route
        return self.latencies.typical_s(route.name, min(route.target_latency_s, route.timeout_s))

    def drain_per_s(self, request: GateRequest, now: float) -> float:
        """Return the requests per second at which the line drains."""
        return self.drain.per_s(self.limit.requests, request.route.target_latency_s, now)

    def place_of(self, request: GateRequest) -> int:
        """Return how many waiting requests would go before a new one."""
        return self.line.place_of(request.inbound.tenant, request.priority)

    def estimate(self, request: GateRequest, place: int, now: float) -> AnswerEstimate:
        """Return when a request at a place of the line would be answered."""
        return estimate_answer(place, self.drain_per_s(request, now), self.run_s(request))
