"""Load: jobs of different urgency at one service; a front's orders take part in the decision."""

import logging

import msgspec
import pytest
from crankseam_platform.configuration import VERSION_PREFIX

from tests.platform.deployment import ROUTES, Deployment, route
from tests.support.waiting import eventually


def job_routes(*priorities):
    routes = [
        route(f"r-job{number}", f"/job{number}/", "rollout", priority=priority)
        for number, priority in enumerate(priorities)
    ]
    return ROUTES[:2] + routes


@pytest.mark.parametrize(("priorities", "is_shared"), [((0, 1), True), ((1, 1), False)])
async def test_a_front_shares_by_capacity_only_where_jobs_compete(caplog, priorities, is_shared):
    caplog.set_level(logging.INFO)
    async with Deployment() as deployment:
        await deployment.configure(routes=job_routes(*priorities))
        await deployment.start_front()
        version = msgspec.json.encode({"model": "m", "version": 9})
        await deployment.put(VERSION_PREFIX + "m", version)
        await eventually(
            lambda: any(line.message == "version_ordered" for line in caplog.records),
            "a load is ordered",
        )
    shared = [line for line in caplog.records if line.message == "capacity_shared"]
    assert bool(shared) == is_shared
