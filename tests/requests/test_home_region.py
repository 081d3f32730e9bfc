"""Tests of requests that arrive in another region than the home region of their service."""

import aiohttp
import pytest

from crankseam.identifiers import new_uuid7
from crankseam_standins.app import expected_answer
from tests.requests.test_app_requests import book
from tests.support.harness import eventually, running_cluster

REMOTE_NODE = 9


@pytest.fixture
async def cluster():
    async with running_cluster() as running:
        await running.start_node(REMOTE_NODE, region="abroad", zone="zone-x")
        await running.wait_ready()
        home = running.nodes[REMOTE_NODE].agent.digest.alive_in_region
        await eventually(lambda: len([m for m in home("home") if m.caller_address]) == 3)
        yield running


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as client:
        yield client


async def test_it_is_passed_on_and_runs_once_whichever_region_is_asked(cluster, session):
    """Guards against one record per region, with which the same key could run in each region."""
    key = new_uuid7()
    first = await book(session, cluster.url(REMOTE_NODE), key)
    second = await book(session, cluster.url(0), key)
    assert first[:2] == second[:2] == (200, expected_answer(key, b"slot"))
    assert cluster.platform.ran().count(key) == 1


async def test_with_the_home_region_out_of_reach_it_is_answered_at_once(cluster, session):
    key = new_uuid7()
    for index in range(3):
        await cluster.kill(index)
    status, problem, headers = await book(session, cluster.url(REMOTE_NODE), key)
    assert (status, problem["outcome"]) == (503, "unknown")
    assert int(headers["Retry-After"]) >= 1
    assert key not in cluster.platform.ran()
