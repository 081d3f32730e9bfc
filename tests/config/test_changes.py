"""Applying a plan: atomicity, concurrent changes and lost responses."""

import asyncio

import pytest

from crankseam.clients.key_value import KeyValueClient
from crankseam.config import changes
from crankseam.config.changes import apply_plan, make_plan
from crankseam.errors import ApplyConflict, KeyValueUnavailable
from tests.support.harness import Platform


@pytest.fixture
async def platform():
    running = Platform()
    await running.start(apps=1)
    yield running
    await running.stop()


@pytest.fixture
async def client(platform):
    key_value = KeyValueClient([platform.key_value_address])
    yield key_value
    await key_value.close()


async def test_the_loser_of_a_race_sees_both_changes(platform, client):
    await platform.apply(platform.documents())
    first = await make_plan(client, platform.documents(max_in_flight=5))
    second = await make_plan(client, platform.documents(max_in_flight=6))
    await apply_plan(client, first, "anna")
    with pytest.raises(ApplyConflict) as caught:
        await apply_plan(client, second, "ben")
    conflict = caught.value
    assert (conflict.planned_from, conflict.current, conflict.winner) == (1, 2, "anna")
    assert conflict.winner_changes == ["~ Limit/limit max_in_flight: 100 -> 5"]
    assert conflict.own_changes == ["~ Limit/limit max_in_flight: 100 -> 6"]


async def test_a_lost_answer_is_settled_by_reading_back(platform, client):
    plan = await make_plan(client, platform.documents())
    platform.key_value.faults.lose_answers = 10
    changes.RETRY_INTERVAL_S = 0.01
    task = asyncio.create_task(apply_plan(client, plan, "anna"))
    pointer = await task
    assert pointer.revision == 1
    assert (await make_plan(client, platform.documents())).changes == []


async def test_an_outage_leaves_nothing_accepted(platform, client):
    plan = await make_plan(client, platform.documents())
    platform.key_value.faults.down_until = float("inf")
    with pytest.raises(KeyValueUnavailable):
        await apply_plan(client, plan, "anna")
    platform.key_value.faults.down_until = 0.0
    assert (await make_plan(client, platform.documents())).base_revision == 0
