"""Admission control: the concurrency limit of this node and the shared limits of services.

Inputs: the number of requests in progress on this node (counted here, exact), and this node's share
of the service's limit (`controllers/limit_shares`, at most one renewal old).
Rule: a node runs at most `max_requests` requests at a time and admits none while it stops. For a
service with a limit, it admits no more requests than its share allows. A request that is not
admitted is refused at once and never queued.
Purpose: bounds the memory of this process and the load on the service's back ends, and keeps new
work away from a node that is stopping.
Logged as: the problems `overloaded` and `unavailable`, and the metric `requests_running`.
Tested by: tests/requests/test_app_requests.py, tests/test_node_machine.py.
"""

from __future__ import annotations

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.controllers.limit_shares import LimitShareController
from crankseam.errors import Overloaded, Unavailable
from crankseam.requests import retry_after
from crankseam.requests.context import Answer, NextHandler, RequestContext


class ServiceLimitFilter:
    """Counts each request against the shared limit of its service, if there is one."""

    def __init__(self, shares: LimitShareController) -> None:
        self._shares = shares

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Hold one unit of this node's share of the limit while the request runs."""
        assert context.snapshot is not None
        limit = context.snapshot.limit_for(context.service_name)
        if limit is None:
            return await call_next(context)
        if not await self._shares.acquire(limit):
            detail = f"limit {limit.name} of {limit.max_in_flight} is in use"
            raise Overloaded(detail, OUTCOME_NOT_RUN, retry_after.OVERLOADED_S)
        try:
            return await call_next(context)
        finally:
            self._shares.share_of(limit).release()


class AdmissionFilter:
    """Refuses requests above `max_requests` at a time, and all requests while the node drains."""

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self.running = 0
        self.draining = False

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Count the request while it runs; refuse it at once if the limit is reached."""
        if self.draining:
            raise Unavailable("this node is stopping", OUTCOME_NOT_RUN, retry_after.STOPPING_S)
        if self.running >= self._max_requests:
            detail = f"{self.running} requests are running here"
            raise Overloaded(detail, OUTCOME_NOT_RUN, retry_after.OVERLOADED_S)
        self.running += 1
        try:
            return await call_next(context)
        finally:
            self.running -= 1
