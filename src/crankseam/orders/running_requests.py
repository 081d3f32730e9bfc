"""What is done with the requests that run at a sampler while it loads a version."""

from __future__ import annotations

from collections.abc import Iterable

from crankseam.orders.messages import RunningRequests
from crankseam.serving.routes import RequestKind, Route


def running_requests_under(routes: Iterable[Route]) -> RunningRequests:
    """The treatment that costs least under these routes.

    Callers' own streams must not break. Runs of jobs are broken off, since they go on at another
    sampler at once, unless one version must make the whole text: they would begin anew.
    """
    routes = tuple(routes)
    if any(route.kind is RequestKind.STREAM for route in routes):
        return RunningRequests.CONTINUE
    if any(route.kind is RequestKind.JOB and route.single_version for route in routes):
        return RunningRequests.FINISH
    return RunningRequests.BREAK_OFF
