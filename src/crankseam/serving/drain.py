"""Planned stop of a process: which requests it still takes, and by when all are answered.

Inputs: the time of the stop signal and the grace period, after which the process is killed; when a
request is due, which is its deadline or its route's timeout. All belong to this process, so none
can be stale. Points in time are in seconds of the suspend-aware clock, `clocks.boottime_s`.
Rule: until `takes_until` every request is taken, since the load balancer still leads callers here.
Later ones come on connections that callers kept; of them only those are taken that are due by
`ends_at`, so that each request that is passed on is answered in time. The others are refused at
once as not run. What still runs at `ends_at` is given up with an answer rather than cut off.
Purpose: a planned stop cuts off no request, and the process ends before it is killed.
Logged as: `draining`, `request_refused` (detail `stopping`), `drained`.
Tested by: tests/serving/test_drain.py, tests/platform/test_planned_stop.py.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from crankseam import clocks
from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import Problem, Unavailable

Result = TypeVar("Result")

DEREGISTRATION_S = 2.6
"""Seconds for which a stopping process takes all requests: the load balancer checks readiness every
second, and stops using a process after two failed checks."""
END_MARGIN_S = 1.0
"""Longest time, in seconds, at the end of the grace period that is reserved for sending the last
answers, reporting usage and closing."""
END_MARGIN_FRACTION = 1 / 8
"""Largest fraction of the grace period that is reserved for this, so that most of a short period is
left for requests."""
RETRY_AFTER_STOPPING_S = 0.05
"""`Retry-After`, in seconds, of a request that this process no longer takes: a new connection leads
to another process."""


class Drain:
    """The planned stop of one process; before it begins, nothing is limited.

    Parameters
    ==========

    grace_s : seconds from the stop signal until the process is killed.

    Attributes
    ==========

    is_draining : whether the stop has begun.
    takes_until : time until which every request is taken.
    ends_at : time by which every request is answered.
    refused : number of requests that were refused because they are due later than that.
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._timeouts: set[asyncio.Timeout] = set()
        self.is_draining = False
        self.takes_until = math.inf
        self.ends_at = math.inf
        self.refused = 0

    def begin(self) -> None:
        """Begin the stop, once: limits all requests, including those that are running."""
        if self.is_draining:
            return
        now = clocks.boottime_s()
        margin_s = min(END_MARGIN_S, self._grace_s * END_MARGIN_FRACTION)
        self.is_draining = True
        self.ends_at = now + self._grace_s - margin_s
        self.takes_until = min(now + DEREGISTRATION_S, self.ends_at)
        end = _loop_time(self.ends_at)
        for timeout in self._timeouts:
            when = timeout.when()
            if not timeout.expired() and (when is None or when > end):
                timeout.reschedule(end)

    def check_due(self, due_at: float) -> None:
        """Raise Unavailable if a request that arrives now and is due then is no longer taken."""
        if clocks.boottime_s() >= self.takes_until and due_at > self.ends_at:
            self.refused += 1
            raise stop_refusal()

    @asynccontextmanager
    async def timeout_at(self, at: float = math.inf) -> AsyncIterator[asyncio.Timeout]:
        """Cancel the body at a time, or when the stop ends; raises TimeoutError, see asyncio."""
        limit = min(at, self.ends_at)
        async with asyncio.timeout_at(_loop_time(limit) if limit < math.inf else None) as timeout:
            self._timeouts.add(timeout)
            try:
                yield timeout
            finally:
                self._timeouts.discard(timeout)

    async def run_until_end(self, work: Coroutine[Any, Any, Result], problem: Problem) -> Result:
        """Return the result of `work`; raises `problem` if the stop ends before it."""
        try:
            async with self.timeout_at() as timeout:
                return await work
        except TimeoutError:
            if not timeout.expired():
                raise
            raise problem from None


def stop_refusal() -> Unavailable:
    """Return the error for a request that was not run because this process stops."""
    return Unavailable("stopping", OUTCOME_NOT_RUN, RETRY_AFTER_STOPPING_S)


def _loop_time(at: float) -> float:
    """Convert a time of `clocks.boottime_s` to one of the running event loop."""
    return asyncio.get_running_loop().time() + at - clocks.boottime_s()
