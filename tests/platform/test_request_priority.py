"""Samplers and app servers are told how urgent a job's requests are, only where callers compete.

Load: jobs of two routes of different priority that lead to one service.
"""

import base64

import pytest

from crankseam.serving.settings import LoadSettings
from tests.platform.deployment import HOST, ROUTES, Deployment, route

URGENT_ROUTE = route("r-urgent", "/urgent/", "rollout", max_queue_s=20, priority=1)
SCORE_ROUTE = route("r-score", "/score/", "safe")


def scored_item():
    scorer = {"id": "score-0", "hostname": HOST, "path": "/score/0", "body": ""}
    return {
        "id": "job1-0",
        "path": "/job/0",
        "headers": {"Model": "m", "Token-Counts": "10,20"},
        "body": base64.b64encode(b"text").decode(),
        "tokens": 30,
        "group": "g1",
        "scorer": scorer,
    }


@pytest.mark.parametrize(
    ("routes", "plan_groups", "told"),
    [([], True, {None}), ([URGENT_ROUTE], True, {"5"}), ([URGENT_ROUTE], False, {None})],
    ids=["alone", "contended", "switched off"],
)
async def test_a_priority_is_told_only_where_jobs_of_other_priorities_use_the_service(
    routes, plan_groups, told
):
    async with Deployment() as deployment:
        await deployment.configure(1, [*ROUTES, SCORE_ROUTE, *routes])
        front = await deployment.start_front(load=LoadSettings(plan_groups))
        assert (await deployment.submit(front, requests=[scored_item()]))[0] == 202
        (result,) = await deployment.all_results(front, count=1)
        assert result["state"] == "completed" and result["score"]
        ran = [request for sampler in deployment.samplers for request in sampler.ran]
        assert {request.id for request in ran} == {"job1-0", "score-0"}
        assert {request.headers.get("Request-Priority") for request in ran} == told
