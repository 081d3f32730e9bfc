"""Overload control over real connections: more callers than slots, and callers that go away."""

import asyncio

import msgspec
import pytest

from tests.platform.deployment import HOST, ROUTES, Deployment, configuration, route
from tests.support.waiting import eventually

CONTENDED = [*ROUTES, route("r-urgent", "/urgent-job/", "rollout", priority=1)]
"""Job routes of different priorities make their service contended."""


@pytest.fixture
async def deployment():
    async with Deployment() as running:
        for sampler in running.samplers:
            sampler.slots = 1
            await running.put(f"servers/{sampler.instance}", sampler.entry())
        yield running


def ask_many(deployment, front, count, deadline_ms):
    return [
        asyncio.create_task(
            deployment.ask(front, "/once/x", request_id=f"q{number}", Deadline_Ms=deadline_ms)
        )
        for number in range(count)
    ]


async def test_those_that_cannot_be_answered_in_time_are_refused_and_did_not_run(deployment):
    await deployment.configure(routes=CONTENDED)
    front = await deployment.start_front()
    for sampler in deployment.samplers:
        sampler.faults.delay = 0.3
    answers = await asyncio.gather(*ask_many(deployment, front, 30, "1500"))
    refused = [headers for status, headers, _ in answers if status == 503]
    ran = sum(len(sampler.ran) for sampler in deployment.samplers)
    assert refused and ran == 30 - len(refused)
    waits_s = [float(headers["Retry-After"]) for headers in refused]
    assert max(waits_s) <= 0.5 and len(set(waits_s)) > len(waits_s) // 2
    assert front.gate.waiting_total() == 0 and 1 <= front.gate.limit_total() <= 2


async def test_a_service_for_which_nobody_competes_is_served_as_before(deployment):
    await deployment.configure()
    front = await deployment.start_front()
    for sampler in deployment.samplers:
        sampler.faults.delay = 0.1
    answers = await asyncio.gather(*ask_many(deployment, front, 30, "3000"))
    assert {status for status, _, _ in answers} == {200}
    assert front.gate.limit_total() == 0


async def test_an_urgent_tenant_goes_before_others_that_came_earlier(deployment):
    tenants = [
        {"name": "usual", "api_keys": ["key-usual"]},
        {"name": "urgent", "api_keys": ["key-urgent"], "priority": 0},
    ]
    document = configuration(1, ROUTES) | {"tenants": tenants}
    await deployment.put("op/config", msgspec.json.encode(document))
    await deployment.remove("servers/i-1")
    front = await deployment.start_front()
    await eventually(lambda: front.registry.count() == 1)
    deployment.samplers[0].faults.hang = True

    def ask(name, tenant):
        key = {"Authorization": f"Bearer key-{tenant}"}
        return asyncio.create_task(deployment.ask(front, "/once/x", request_id=name, **key))

    first = ask("first", "usual")
    await eventually(front.gate.limit_total)
    tasks = []
    for name in ("second", "third"):
        tasks.append(ask(name, "usual"))
        await eventually(lambda: front.gate.waiting_total() == len(tasks))
    tasks.append(ask("urgent", "urgent"))
    await eventually(lambda: front.gate.waiting_total() == 3)
    deployment.samplers[0].faults.hang = False
    first.cancel()
    assert {status for status, _, _ in await asyncio.gather(*tasks)} == {200}
    ran = [seen.id for seen in deployment.samplers[0].ran if seen.id != "first"]
    assert ran == ["urgent", "second", "third"]


async def test_a_draining_process_serves_out_its_line(deployment):
    await deployment.configure(routes=CONTENDED)
    front = await deployment.start_front()
    for sampler in deployment.samplers:
        sampler.faults.hang = True
    tasks = ask_many(deployment, front, 6, "3000")
    await eventually(lambda: front.gate.waiting_total() == 4)
    front.drain.begin()
    for sampler in deployment.samplers:
        sampler.faults.hang = False
    for task in tasks[:2]:
        task.cancel()
    answers = await asyncio.gather(*tasks[2:])
    assert {status for status, _, _ in answers} == {200}


async def test_callers_that_go_away_leave_the_line_and_give_their_place_back(deployment):
    await deployment.configure(routes=CONTENDED)
    front = await deployment.start_front()
    for sampler in deployment.samplers:
        sampler.faults.hang = True
    tasks = ask_many(deployment, front, 4, "3000")
    await eventually(lambda: front.gate.waiting_total() == 2)
    for task in tasks:
        task.cancel()
    await eventually(lambda: front.gate.waiting_total() == 0)
    for sampler in deployment.samplers:
        sampler.faults.hang = False
    assert (await deployment.ask(front, "/once/x", request_id="after"))[0] == 200


async def test_a_stream_gives_its_place_back_at_its_end_or_when_its_reader_goes(deployment):
    await deployment.configure(routes=CONTENDED)
    front = await deployment.start_front()
    state = front.gate._current_state
    for number in range(3):
        status, _, _ = await deployment.ask(front, "/stream/x", Model="m", request_id=f"s{number}")
        assert status == 200
    await eventually(lambda: state("svc").running == 0)
    for sampler in deployment.samplers:
        sampler.faults.event_seconds = 0.2
    headers = {"Host": HOST, "Request-Id": "left", "Deadline-Ms": "3000", "Model": "m"}
    async with deployment.session.post(
        deployment.url(front, "/stream/x"), headers=headers
    ) as response:
        await response.content.readany()
        assert state("svc").running == 1
        response.close()
    await eventually(lambda: state("svc").running == 0)
