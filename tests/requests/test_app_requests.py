"""Tests of app requests: complete answers, at-most-once execution, and a true `not_run`."""

import asyncio
import uuid

import aiohttp
import pytest

from crankseam.errors import NoQuorum, PeerTimeout
from crankseam.identifiers import new_uuid7
from crankseam_standins.app import expected_answer
from tests.support.harness import eventually, running_cluster


@pytest.fixture
async def cluster():
    async with running_cluster() as running:
        yield running


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as client:
        yield client


async def book(session, url, key, body=b"slot", request_id=None, method="POST"):
    headers = {"Idempotency-Key": key, "Request-Id": request_id or str(uuid.uuid4())}
    async with session.request(
        method, f"{url}/services/booking/bookings", data=body, headers=headers
    ) as answer:
        content = await answer.read()
        if answer.content_type == "application/problem+json":
            return answer.status, await answer.json(content_type=None), answer.headers
        return answer.status, content.decode(), answer.headers


async def test_an_answer_is_whole_and_names_its_decision(cluster, session):
    key = new_uuid7()
    status, text, headers = await book(session, cluster.url(0), key)
    assert status == 200
    assert text == expected_answer(key, b"slot")
    async with session.get(
        f"{cluster.url(1)}/operator/explain/{headers['Crankseam-Decision']}"
    ) as answer:
        [decision] = await answer.json()
    assert decision["choice"].startswith("app-")
    assert len(decision["candidates"]) == 3


async def test_a_repetition_through_another_node_gets_the_first_answer(cluster, session):
    key = new_uuid7()
    first = await book(session, cluster.url(0), key)
    second = await book(session, cluster.url(1), key)
    assert second[:2] == first[:2]
    assert second[2]["Crankseam-Replayed"] == "true"
    assert cluster.platform.ran().count(key) == 1


async def test_the_same_attempt_sent_twice_at_once_runs_once(cluster, session):
    """Two handlings of one attempt on one node must not take each other's claim for their own."""
    key, attempt = new_uuid7(), str(uuid.uuid4())
    await asyncio.gather(
        *(book(session, cluster.url(n % 3), key, request_id=attempt) for n in range(9))
    )
    assert cluster.platform.ran().count(key) == 1


async def test_the_same_key_for_another_request_is_refused(cluster, session):
    key = new_uuid7()
    await book(session, cluster.url(0), key)
    status, problem, _ = await book(session, cluster.url(1), key, body=b"other")
    assert (status, problem["outcome"]) == (400, "unknown")


async def test_a_key_without_a_date_is_refused(cluster, session):
    status, problem, _ = await book(session, cluster.url(0), str(uuid.uuid4()))
    assert status == 400
    assert problem["type"] == "urn:crankseam:problem:bad-request"


async def test_not_run_is_committed_before_it_is_told(cluster, session):
    """A handling that stalls before its claim must send nothing once `not_run` was told."""
    key, attempt = new_uuid7(), str(uuid.uuid4())
    cluster.nodes[0].admission.draining = True
    status, problem, headers = await book(session, cluster.url(0), key, request_id=attempt)
    assert (status, problem["outcome"]) == (503, "not_run")
    assert int(headers["Retry-After"]) >= 1
    decision_id = headers["Crankseam-Decision"]
    [decision] = await cluster.nodes[0].decisions.find(decision_id)
    assert decision.kind == "refuse" and "stopping" in decision.reason
    # Another handling of the same attempt, on another node, must not run it either.
    status, problem, _ = await book(session, cluster.url(1), key, request_id=attempt)
    assert problem["outcome"] == "not_run"
    assert key not in cluster.platform.ran()
    # A new attempt may run.
    status, text, _ = await book(session, cluster.url(1), key)
    assert text == expected_answer(key, b"slot")
    assert cluster.platform.ran().count(key) == 1


async def test_a_node_that_sheds_does_not_call_not_run_what_ran_elsewhere(cluster, session):
    key = new_uuid7()
    await book(session, cluster.url(0), key)
    cluster.nodes[1].admission.draining = True
    status, problem, _ = await book(session, cluster.url(1), key)
    assert problem["outcome"] == "unknown"


async def test_without_a_majority_nobody_says_not_run(cluster, session):
    node = cluster.nodes[0]

    async def lost(*_args, **_kwargs):
        raise NoQuorum("cut off")

    node.agent.proposer.create = lost
    node.agent.proposer.change = lost
    status, problem, headers = await book(session, cluster.url(0), new_uuid7())
    assert status in (429, 503)  # 429 if the share of the limit cannot be renewed either
    assert problem["outcome"] == "unknown"
    assert "Retry-After" in headers


async def test_a_lost_answer_is_unknown_and_does_not_run_again(cluster, session):
    key = new_uuid7()
    for app in cluster.platform.apps.values():
        app.faults.lose_answers = 1
    status, problem, _ = await book(session, cluster.url(0), key)
    assert (status, problem["outcome"]) == (504, "unknown")
    status, problem, _ = await book(session, cluster.url(1), key)
    assert problem["outcome"] == "unknown"
    assert cluster.platform.ran().count(key) == 1


async def test_a_leaving_back_end_is_out_of_routing(cluster, session):
    cluster.platform.apps["app-0"].faults.leaving = True

    async def out_everywhere():
        for node in cluster.nodes.values():
            service = node.agent.lease.snapshot.services["booking"]
            [first, *_] = node.router.choose("booking", service.back_ends).candidates
            if first.refused is None:
                return False
        return True

    await eventually(out_everywhere, "app-0 out of routing on all nodes")
    before = len(cluster.platform.accounts["app-0"].lines)
    for _ in range(20):
        await book(session, cluster.url(0), new_uuid7())
    assert len(cluster.platform.accounts["app-0"].lines) == before


async def test_a_node_that_was_stopped_sends_nothing_on_its_old_view(cluster, session):
    """The node stalls between routing and the first byte, longer than a back end needs to drain."""
    node = cluster.nodes[0]
    key = new_uuid7()
    record_decision = node.decisions.record

    def pause_after_the_choice(decision):
        record_decision(decision)
        node.agent.stall_guard._last_tick_at -= 10.0

    node.decisions.record = pause_after_the_choice
    status, problem, _ = await book(session, cluster.url(0), key)
    assert (status, problem["outcome"]) == (503, "not_run")
    assert key not in cluster.platform.ran()
    node.decisions.record = record_decision
    await eventually(node.agent.may_send_work, "the view is renewed")
    assert (await book(session, cluster.url(0), new_uuid7()))[0] == 200


async def test_a_back_end_that_leaves_in_a_cut_zone_gets_no_work(cluster, session):
    """Guards against sending work to a leaving back end in a zone whose nodes are cut off.

    The nodes outside can reach the back ends of the zone, but not its nodes, so they are not told
    that a back end is leaving. Found by experiments/faults.toml, seed 10.
    """
    zone_a, outside = cluster.nodes[0], cluster.nodes[1]
    inside_address = zone_a.agent.own.peer_address
    for node in cluster.nodes.values():
        call = node.agent.transport.call
        is_inside = node is zone_a

        async def call_unless_cut(address, message, timeout, call=call, is_inside=is_inside):
            if is_inside or address == inside_address:
                raise PeerTimeout(address)
            return await call(address, message, timeout)

        node.agent.transport.call = call_unless_cut
        # Keeps the silent zone from being declared dead: the test covers the time before that.
        node.agent.membership._relay._declare_silent_zones = lambda: None
    cluster.platform.apps["app-0"].faults.leaving = True
    silence = outside.settings.timing.heartbeat_interval * 2
    await eventually(lambda: outside.agent.digest.seconds_since_zone_update("zone-a") > silence)
    for _ in range(20):
        assert (await book(session, cluster.url(1), new_uuid7()))[0] == 200
    assert cluster.platform.accounts["app-0"].lines == []


async def test_a_request_survives_its_nodes_death_as_unknown(cluster, session):
    """The record of a claim outlives the node that holds it; the retry is answered at once."""
    key = new_uuid7()
    for app in cluster.platform.apps.values():
        app._work_seconds = 5.0
    task = asyncio.create_task(book(session, cluster.url(0), key))
    await eventually(lambda: key in cluster.platform.ran(), "the request reached a back end")
    await cluster.kill(0)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    status, problem, _ = await book(session, cluster.url(1), key)
    assert problem["outcome"] == "unknown"
    assert cluster.platform.ran().count(key) == 1


async def test_a_planned_stop_finishes_what_runs_and_hands_records_over(cluster, session):
    key, done = new_uuid7(), new_uuid7()
    await book(session, cluster.url(1), done)
    for app in cluster.platform.apps.values():
        app._work_seconds = 0.3
    task = asyncio.create_task(book(session, cluster.url(0), key))
    await eventually(lambda: key in cluster.platform.ran(), "the request reached a back end")
    await cluster.nodes.pop(0).stop_gracefully()
    status, text, _ = await task
    assert (status, text) == (200, expected_answer(key, b"slot"))
    replay = await book(session, cluster.url(2), key)
    assert replay[1] == text
    assert (await book(session, cluster.url(2), done))[0] == 200
    identity = "node-0@"
    sets = cluster.nodes[1].agent.digest.slots.all()
    assert not any(m.startswith(identity) for s in sets for m in s.members)


async def test_the_limit_over_all_nodes_is_never_passed(cluster, session):
    await cluster.platform.apply(cluster.platform.documents(max_in_flight=4))
    await eventually(
        lambda: all(n.agent.lease.snapshot.revision == 2 for n in cluster.nodes.values())
    )
    for app in cluster.platform.apps.values():
        app._work_seconds = 0.05
    highest = 0

    async def watch():
        nonlocal highest
        while True:
            running = sum(app._running for app in cluster.platform.apps.values())
            highest = max(highest, running)
            await asyncio.sleep(0.001)

    watcher = asyncio.create_task(watch())
    answers = await asyncio.gather(
        *(book(session, cluster.url(n % 3), new_uuid7()) for n in range(60))
    )
    watcher.cancel()
    assert highest <= 4
    refused = [answer for answer in answers if answer[0] == 429]
    assert refused and all("Retry-After" in headers for *_, headers in refused)
    assert any(answer[0] == 200 for answer in answers)
