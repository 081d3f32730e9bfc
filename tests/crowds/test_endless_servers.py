"""A deployed front before servers whose answers have no end.

Two of four servers are in trouble. Checked is what does not depend on speed: the process lives and
stays within the memory of its machine, callers of a route that may be repeated get answers, items
are listed, and the process answers questions about itself all the while.
"""

import asyncio

import msgspec
import pytest
from crankseam_platform_standins.endless_bytes import KINDS

from tests.crowds.deployment import Deployment
from tests.crowds.process import MIB

pytestmark = pytest.mark.crowd

MACHINE_MB = 300
MAX_FDS = 4100
BODY_BYTES = MIB
CALLS = 40
CALLS_AT_A_TIME = 10
ITEMS = 16
READY_TIMEOUT_S = 3.0
"""The load balancer asks each second, and leaves a process that misses twice in a row."""


class Readiness:
    """Asks the process again and again whether it is ready; notes how long answers take."""

    def __init__(self, port):
        self._port = port
        self.longest_s = 0.0

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        loop = asyncio.get_running_loop()
        while True:
            asked_at = loop.time()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                await reader.readline()
                writer.close()
            finally:
                self.longest_s = max(self.longest_s, loop.time() - asked_at)
            await asyncio.sleep(0.1)


async def answered_calls(deployment):
    """Make all calls on a route that may be repeated; each is answered in the end."""
    turns = asyncio.Semaphore(CALLS_AT_A_TIME)

    async def call(number):
        async with turns:
            await deployment.ask_until_answered(b"call %d" % number, "/safe/x")

    await asyncio.gather(*(call(number) for number in range(CALLS)))


async def listed_items(deployment):
    """Submit a job; returns once all of its items are listed as complete."""
    await deployment.ask_until_answered(deployment.job(20_000, ITEMS), "/job/x", 202)
    job = deployment.last_request_id()
    results = []
    async with asyncio.timeout(60):
        while len(results) < ITEMS:
            await asyncio.sleep(0.1)
            answer = await deployment.get(f"/v1/lots/{job}?after_rev=0")
            results = msgspec.json.decode(answer)["results"] if answer else []
    assert all(result["state"] == "completed" for result in results)


async def run_beside(folder, in_trouble, work):
    async with Deployment(folder, MACHINE_MB, MAX_FDS, BODY_BYTES, back_ends=4) as deployment:
        for back_end in deployment.back_ends[:2]:
            in_trouble(back_end.faults)
        async with Readiness(deployment.readiness) as readiness:
            await work(deployment)
        deployment.check()
        assert readiness.longest_s < READY_TIMEOUT_S


@pytest.mark.parametrize("kind", KINDS)
async def test_callers_are_answered_beside_servers_whose_answers_have_no_end(kind, tmp_path):
    """Interim responses without end stopped the process: it answered nobody any more."""

    def in_trouble(faults):
        faults.endless = kind

    await run_beside(tmp_path, in_trouble, answered_calls)


@pytest.mark.parametrize(
    "kind", ["interim", "head", "body", "chunks", "no_events", "other_answers"]
)
async def test_items_are_listed_beside_samplers_whose_answers_have_no_end(kind, tmp_path):
    def in_trouble(faults):
        faults.endless = kind

    await run_beside(tmp_path, in_trouble, listed_items)


@pytest.mark.parametrize("kind", ["interim", "body", "chunks", "other_answers"])
async def test_work_goes_on_beside_reports_and_orders_whose_answers_have_no_end(kind, tmp_path):
    def in_trouble(faults):
        faults.endless_reports = kind

    async def work(deployment):
        deployment.name_version(2)
        await answered_calls(deployment)
        await listed_items(deployment)
        await asyncio.sleep(2.0)

    await run_beside(tmp_path, in_trouble, work)
