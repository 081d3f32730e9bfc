"""Tests of the quarantine of a request that crashes every app server which runs it.

Its caller resends it to any node, so without the quarantine it would crash all app servers.
"""

import asyncio
import json
import time
import uuid

import aiohttp
import pytest
from aiohttp import web

from crankseam.cli.main import main
from crankseam.identifiers import new_uuid7
from crankseam.quarantine import holding
from tests.support.harness import eventually, running_cluster

CRASHING_BODY = b"ends its server"
RESTART_DELAY_S = 0.3
FIRST_HOLD_S = 0.6


class RestartingApp:
    """An app server that crashes on a given body and restarts at its address soon after."""

    def __init__(self, app, address):
        self.app = app
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.crashed_at = []
        app.ended_by = CRASHING_BODY
        app.on_end = self._crash
        self._tasks = set()

    async def start(self, runner):
        """Replace the harness's listener by one that can crash."""
        await runner.cleanup()
        await self._listen()

    async def _listen(self):
        self.runner = web.AppRunner(self.app.application(), shutdown_timeout=0.1)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, self.host, self.port, reuse_address=True)
        await self.site.start()

    def _crash(self):
        self.crashed_at.append(time.monotonic())
        self.site._server.close()
        for connection in list(self.runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        task = asyncio.create_task(self._restart(self.runner))
        self._tasks.add(task)

    async def _restart(self, ended):
        await asyncio.sleep(RESTART_DELAY_S)
        await self._listen()
        await ended.cleanup()

    async def stop(self):
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.runner.cleanup()


@pytest.fixture
async def cluster(monkeypatch):
    monkeypatch.setattr(holding, "FIRST_HOLD_S", FIRST_HOLD_S)
    async with running_cluster() as running:
        platform = running.platform
        running.restarting_apps = [
            RestartingApp(platform.apps[name], platform.app_addresses[name])
            for name in platform.apps
        ]
        for restarting_app, runner in zip(
            running.restarting_apps, platform._runners[1:], strict=True
        ):
            await restarting_app.start(runner)
        yield running
        for restarting_app in running.restarting_apps:
            await restarting_app.stop()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as client:
        yield client


async def send(session, url, body=CRASHING_BODY, method="OPTIONS"):
    headers = {"Request-Id": str(uuid.uuid4())}
    if method == "POST":
        headers["Idempotency-Key"] = new_uuid7()
    async with session.request(
        method, f"{url}/services/booking/slots/1", data=body, headers=headers
    ) as answer:
        return answer.status, dict(answer.headers), await answer.text()


def crash_times(cluster):
    return [at for restarting_app in cluster.restarting_apps for at in restarting_app.crashed_at]


def suspects(node):
    return node.suspects.quarantine.suspects()


async def wait_until_known_to_all(cluster, count=2):
    await eventually(
        lambda: all(
            any(len(one.record.ended) >= count for _, one in suspects(node))
            for node in cluster.nodes.values()
        ),
        "all nodes know the request",
    )


@pytest.mark.parametrize("method", ["OPTIONS", "POST"])
async def test_a_request_that_ended_two_back_ends_is_held_by_every_node(cluster, session, method):
    for number in range(20):
        await send(session, cluster.url(number % 3), method=method)
        if len(crash_times(cluster)) >= 2:
            break
        await asyncio.sleep(0.05)
    await wait_until_known_to_all(cluster)
    count = len(crash_times(cluster))
    for number in range(6):
        status, headers, text = await send(session, cluster.url(number % 3), method=method)
        assert status == 503 and "request-held" in text, text
        assert json.loads(text)["outcome"] == "not_run"
        assert 0 < float(headers["Retry-After"])
    assert len(crash_times(cluster)) == count == 2


async def test_constant_resending_crashes_at_most_two_back_ends_and_the_probes(cluster, session):
    end = time.monotonic() + 6.0
    number = 0
    while time.monotonic() < end:
        number += 1
        await send(session, cluster.url(number % 3))
        await asyncio.sleep(0.05)
    assert 3 <= len(crash_times(cluster)) <= 2 + holding.MAX_PROBES


async def test_an_operator_sees_it_and_releases_it(cluster, session, capsys):
    while len(crash_times(cluster)) < 2:
        await send(session, cluster.url(0))
    await wait_until_known_to_all(cluster)
    node = cluster.url(1).removeprefix("http://")

    async def run(*arguments):
        code = await asyncio.to_thread(main, ["suspects", *arguments, "--node", node])
        return code, capsys.readouterr().out

    code, text = await run("list", "--json")
    [listed] = json.loads(text)
    assert code == 0 and listed["held"] and len(listed["ended"]) == 2
    assert listed["route"] == "booking" and listed["body_bytes"] == len(CRASHING_BODY)
    assert CRASHING_BODY.decode() not in text
    code, text = await run("list")
    assert code == 0 and listed["fingerprint"] in text
    code, _ = await run("release", "0" * 32)
    assert code != 0, "nothing of that fingerprint is held"
    code, _ = await run("release", listed["fingerprint"])
    assert code == 0
    await eventually(lambda: not any(suspects(one) for one in cluster.nodes.values()), "released")


async def test_the_decision_names_the_back_ends_that_ended(cluster, session):
    while len(crash_times(cluster)) < 2:
        await send(session, cluster.url(0))
    await wait_until_known_to_all(cluster)
    _, headers, _ = await send(session, cluster.url(2))
    async with session.get(
        f"{cluster.url(1)}/operator/explain/{headers['Crankseam-Decision']}"
    ) as answer:
        [decision] = await answer.json()
    assert decision["kind"] == "refuse" and "app-" in decision["reason"]


async def test_a_node_that_starts_later_holds_it_back(cluster, session):
    while len(crash_times(cluster)) < 2:
        await send(session, cluster.url(0))
    await wait_until_known_to_all(cluster)
    node = await cluster.start_node(3)
    await cluster.wait_ready()
    await eventually(lambda: bool(suspects(node)), "read")


async def test_lost_answers_of_a_healthy_request_store_no_suspect(cluster, session):
    cluster.platform.apps["app-0"].faults.lose_answers = 3
    for number in range(12):
        await send(session, cluster.url(number % 3), b"healthy")
    assert not any(suspects(node) for node in cluster.nodes.values())
