"""What is done with the requests that run at a sampler while it loads a version?

Inputs: the routes of the newest configuration that lead to the model.
Rule: callers' own streams go on over the load. Runs of jobs are broken off, unless one version must
make a whole text: then they finish first.
Protects: a stream of a caller must not break; a run of a job goes on at another sampler at once,
but would begin anew where its version is gone (waiting for such runs: worth 0.34 -> 0.42 on a site
of single versions, and 0.79 -> 0.76 where it was done for all).
Shown by: `version_ordered`. Held by: tests/orders/test_running_requests.py.
"""

from __future__ import annotations

from collections.abc import Iterable

from crankseam.orders.messages import RunningRequests
from crankseam.serving.routes import RequestKind, Route


def running_requests_under(routes: Iterable[Route]) -> RunningRequests:
    """The treatment that costs least under these routes."""
    routes = tuple(routes)
    if any(route.kind is RequestKind.STREAM for route in routes):
        return RunningRequests.CONTINUE
    if any(route.kind is RequestKind.JOB and route.single_version for route in routes):
        return RunningRequests.FINISH
    return RunningRequests.BREAK_OFF
