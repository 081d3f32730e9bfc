"""Limits: the service's shared one, and this node's own bound on requests at a time."""

from __future__ import annotations

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.controllers.limit_shares import LimitShareController
from crankseam.errors import Overloaded, Unavailable
from crankseam.requests.context import Answer, Next, RequestContext

RETRY_OVERLOADED_SECONDS = 1.0
RETRY_DRAINING_SECONDS = 1.0


class ServiceLimitFilter:
    """Counts the request against the service's limit, if it has one."""

    def __init__(self, shares: LimitShareController) -> None:
        self._shares = shares

    async def __call__(self, context: RequestContext, following: Next) -> Answer:
        """Hold one unit of this node's share while the request runs."""
        assert context.snapshot is not None
        limit = context.snapshot.limit_for(context.service_name)
        if limit is None:
            return await following(context)
        if not await self._shares.acquire(limit):
            detail = f"limit {limit.name} of {limit.max_in_flight} is in use"
            raise Overloaded(detail, OUTCOME_NOT_RUN, RETRY_OVERLOADED_SECONDS)
        try:
            return await following(context)
        finally:
            self._shares.share_of(limit).release()


class AdmissionFilter:
    """Sheds load above what this node takes at a time, and all new work while it stops."""

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self.running = 0
        self.draining = False

    async def __call__(self, context: RequestContext, following: Next) -> Answer:
        """Count the request; refuse it at once where there is no room."""
        if self.draining:
            raise Unavailable("this node is stopping", OUTCOME_NOT_RUN, RETRY_DRAINING_SECONDS)
        if self.running >= self._max_requests:
            detail = f"{self.running} requests are running here"
            raise Overloaded(detail, OUTCOME_NOT_RUN, RETRY_OVERLOADED_SECONDS)
        self.running += 1
        try:
            return await following(context)
        finally:
            self.running -= 1
