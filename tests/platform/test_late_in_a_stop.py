"""Requests that come late in the grace period of a planned stop are answered, or refused unread.

Other systems took such requests, passed them on, and cut them without an answer at the end, among
them requests that may not be repeated. Here each request that a sampler began gets an answer that
does not say "not run", and each refusal that says so is true.
"""

import asyncio

import msgspec
import pytest

from tests.platform.deployment import ROUTES, Deployment, route
from tests.platform.test_planned_stop import Caller, runs, stopped
from tests.support.waiting import eventually

GRACE_S = 4.0
ENDS_S = GRACE_S * 7 / 8
"""Seconds after the signal by which the front gives up all that runs."""
TAKES_S = 0.3
"""Seconds for which the front takes all requests."""
PROMISES = (408, 421, 429, 503)
LONG_MS = 60_000
LONG_ROUTES = [
    route("r-safe", "/safe/", "safe", timeout_ms=LONG_MS),
    route("r-once", "/once/", "unsafe", timeout_ms=LONG_MS),
    route("r-short", "/short/", "unsafe", timeout_ms=1000),
    route("r-stream", "/stream/", "streaming", resumable=False, timeout_ms=LONG_MS),
    *(one for one in ROUTES if one["name"] == "r-job"),
]


@pytest.fixture
async def front(monkeypatch):
    monkeypatch.setattr("crankseam.serving.drain.DEREGISTRATION_S", TAKES_S)
    async with Deployment() as running:
        await running.configure(1, LONG_ROUTES)
        started = await running.start_front(grace_s=GRACE_S)
        started.deployment = running
        yield started


class Stop:
    """A planned stop, and the requests that come during it on connections that were kept."""

    def __init__(self, front):
        self.front = front
        self.deployment = front.deployment
        self._loop = asyncio.get_running_loop()

    async def __aenter__(self):
        self._began_at = self._loop.time()
        self._task = asyncio.create_task(self.front.stop())
        await eventually(lambda: self.front.drain.is_draining)
        return self

    async def __aexit__(self, *_):
        await stopped(self.deployment, self.front, self._task)
        assert self._loop.time() - self._began_at < GRACE_S, "the process would be killed"

    async def at(self, seconds):
        """Wait until some seconds after the signal."""
        await asyncio.sleep(self._began_at + seconds - self._loop.time())

    def check(self, request_id, status, body):
        """The answer is true: only what no sampler began is refused as not run."""
        has_run = request_id in runs(self.deployment)
        if status in PROMISES:
            assert not has_run, f"{request_id} ran and was refused with {status}"
            assert msgspec.json.decode(body)["outcome"] == "not_run"
        return has_run


async def open_caller(caller, path, number):
    """Begin a request whose rest comes later, so that its connection is not idle."""
    request_id = f"late-{number}".replace(" ", "-").replace("/", "-")
    head = caller.head(path, request_id).replace(b"Deadline-Ms: 2000\r\n", b"")
    caller.writer.write(head[:20])
    await caller.writer.drain()
    return request_id, head[20:]


async def test_late_requests_without_a_deadline_get_their_answers(front):
    """Their time is that of their route: if that is longer than the rest, they are refused."""
    for sampler in front.deployment.samplers:
        sampler.faults.delay = 0.5

    async def ask(stop, path, after_s):
        async with Caller(front) as caller:
            request_id, rest = await open_caller(caller, path, f"{path} {after_s}")
            await stop.at(after_s)
            caller.writer.write(rest)
            status, headers, body = await caller.answer()
            assert headers["connection"] == "close"
            has_run = stop.check(request_id, status, body)
            is_due = path == "/short/x" and after_s + 1.0 < ENDS_S
            assert has_run == is_due and status == (200 if is_due else 503)

    async with Stop(front) as stop, asyncio.TaskGroup() as group:
        for path in ("/safe/x", "/once/x", "/short/x", "/stream/x"):
            for after_s in (1.0, 2.0, ENDS_S - 0.4, ENDS_S - 0.1, ENDS_S - 0.02):
                group.create_task(ask(stop, path, after_s))


async def test_bodies_whose_end_comes_late_get_an_answer(front):
    for sampler in front.deployment.samplers:
        sampler.faults.delay = 0.5

    async def ask(stop, last_byte_s):
        async with Caller(front) as caller:
            request_id = f"body-{last_byte_s}"
            head = caller.head("/once/x", request_id, deadline_ms=LONG_MS)
            caller.writer.write(head.replace(b"Length: 0", b"Length: 10") + b"12345")
            await stop.at(last_byte_s)
            caller.writer.write(b"67890")
            status, _, body = await caller.answer()
            has_run = stop.check(request_id, status, body)
            assert has_run or status == 503
            assert status == 200 or last_byte_s > 1.0

    async with Stop(front) as stop, asyncio.TaskGroup() as group:
        for last_byte_s in (1.0, ENDS_S - 0.2, ENDS_S - 0.02, ENDS_S + 0.05):
            group.create_task(ask(stop, last_byte_s))


@pytest.mark.parametrize("first_breaks_s", [1.0, ENDS_S - 0.3, ENDS_S - 0.05])
async def test_a_second_attempt_late_in_the_grace_gets_an_answer(front, first_breaks_s):
    """The first sampler breaks off late; what follows has only the rest of the time."""
    samplers = front.deployment.samplers
    async with Caller(front) as caller:
        async with Stop(front) as stop:
            for sampler in samplers:
                sampler.faults.hang = True
            asking = asyncio.create_task(caller.ask("/safe/x", "again", deadline_ms=LONG_MS))
            await stop.at(first_breaks_s)
            for sampler in samplers:
                sampler.faults.hang = False
                for connection in list(sampler._server.connections):
                    connection.transport.abort()
            status, _, body = await asking
            stop.check("again", status, body)
            assert status in (200, 504), "an answer, or the word that it may have run"


async def test_a_submission_late_in_the_grace_gets_an_answer(front):
    """It is taken for other processes to run, or refused, or its outcome is unknown."""
    front.deployment.store.faults.down = True
    async with Caller(front) as caller:
        async with Stop(front) as stop:
            body = msgspec.json.encode({"model": "m", "min_version": 1, "requests": []})
            head = caller.head("/job/x", "job1", deadline_ms=LONG_MS)
            caller.writer.write(head.replace(b"Length: 0", b"Length: %d" % len(body)) + body)
            status, _, answer = await caller.answer()
            stop.check("job1", status, answer)
            assert status == 504, "the store did not say"


async def test_many_late_requests_are_all_answered(front):
    """A series of orders, each due before the end, up to the last moment."""
    for sampler in front.deployment.samplers:
        sampler.faults.delay = 0.3
    async with Stop(front) as stop:
        callers, answers = [], {}

        async def ask(number):
            async with Caller(front) as caller:
                callers.append(number)
                head = caller.head("/once/x", f"order-{number}", deadline_ms=800)
                caller.writer.write(head[:20])
                await stop.at(TAKES_S + 0.1 + number * 0.1)
                caller.writer.write(head[20:])
                answers[f"order-{number}"] = await caller.answer()

        async with asyncio.TaskGroup() as group:
            for number in range(int((ENDS_S - TAKES_S - 0.2) / 0.1)):
                group.create_task(ask(number))
    assert len(answers) == len(callers)
    for request_id, (status, _, body) in answers.items():
        assert stop.check(request_id, status, body) == (status == 200)
    assert {status for status, _, _ in answers.values()} == {200, 503}
