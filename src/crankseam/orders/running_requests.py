"""Decides what happens to the requests that run on a sampler while it loads a version.

Inputs: the routes of the newest configuration that lead to the model.
Rule: streams of callers continue across the load. Job runs are broken off, unless a route requires
that a single version generates the whole text: then they finish before the load starts.
Purpose: the stream of a caller must not break. A job run that is broken off continues on another
sampler at once, but has to start over if its version is no longer available. Waiting for such runs
improved the overall result of a deployment with single-version routes; waiting for all job runs
made it worse.
Logged as: `version_ordered`.
Tested by: tests/orders/test_running_requests.py.
"""

from __future__ import annotations

from collections.abc import Iterable

from crankseam.orders.messages import RunningRequests
from crankseam.serving.routes import RequestKind, Route


def running_requests_for_routes(routes: Iterable[Route]) -> RunningRequests:
    """Return the least costly treatment of running requests that these routes allow."""
    routes = tuple(routes)
    if any(route.kind is RequestKind.STREAM for route in routes):
        return RunningRequests.CONTINUE
    if any(route.kind is RequestKind.JOB and route.single_version for route in routes):
        return RunningRequests.FINISH
    return RunningRequests.BREAK_OFF
