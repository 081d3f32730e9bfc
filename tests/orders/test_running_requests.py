from dataclasses import replace

import pytest

from crankseam.orders.messages import RunningRequests
from crankseam.orders.running_requests import running_requests_for_routes
from crankseam.serving.routes import RequestKind
from tests.jobs.factories import make_route

STREAM = replace(make_route(), kind=RequestKind.STREAM)


@pytest.mark.parametrize(
    ("routes", "treatment"),
    [
        ([], RunningRequests.BREAK_OFF),
        ([make_route()], RunningRequests.BREAK_OFF),
        ([make_route(), make_route(single_version=True)], RunningRequests.FINISH),
        ([STREAM, make_route(single_version=True)], RunningRequests.CONTINUE),
        ([replace(STREAM, kind=RequestKind.ONCE, single_version=True)], RunningRequests.BREAK_OFF),
    ],
)
def test_runs_are_broken_off_only_where_they_go_on_elsewhere(routes, treatment):
    assert running_requests_for_routes(routes) is treatment
