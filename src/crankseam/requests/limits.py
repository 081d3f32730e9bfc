"""Does a request get in: the service's shared limit, and this node's own bound at a time.

Inputs: requests under way on this node (counted here, exact), and this node's share of the limit
(`controllers/limit_shares`, as old as one renewal).
Rule: a node takes `max_requests` at a time and none while it stops; of a limited service it takes
no more than its share holds. What does not get in is refused at once and never queued.
Protects: this process's memory, the service's back ends, and a planned stop from new work.
Shown by: problems `overloaded` and `unavailable`, `requests_running`. Held by:
tests/requests/test_app_requests.py, tests/test_node_machine.py.
"""

from __future__ import annotations

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.controllers.limit_shares import LimitShareController
from crankseam.errors import Overloaded, Unavailable
from crankseam.requests import retry_after
from crankseam.requests.context import Answer, Next, RequestContext


class ServiceLimitFilter:
    """Counts the request against the service's limit, if it has one."""

    def __init__(self, shares: LimitShareController) -> None:
        self._shares = shares

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Hold one unit of this node's share while the request runs."""
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
    """Sheds load above what this node takes at a time, and all new work while it stops."""

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self.running = 0
        self.draining = False

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Count the request; refuse it at once where there is no room."""
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
