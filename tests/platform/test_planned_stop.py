"""A planned stop cuts off no request that was passed on, also on connections that callers keep.

Guards against a front that took requests from kept connections until its last moment, passed them
on, and closed their connections unanswered while their back ends were at work.
"""

import asyncio
import socket

import msgspec
import pytest

from crankseam.coordination.peer_http import FEED_PATH, JOBS_PATH, PeerClient, PeerListener
from crankseam.errors import KeyValueUnavailable
from crankseam_standins.ports import free_port
from tests.platform.deployment import HOST, ROUTES, Deployment, route
from tests.support.waiting import eventually

SOON_S = 0.2
"""Seconds for which the stopping fronts of most tests take all requests."""
KERNEL_BUFFER_BYTES = 4096
READ_BYTES = 4096
"""Bytes of an answer that a caller holds before it stops to read."""


@pytest.fixture
async def deployment():
    async with Deployment() as running:
        yield running


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr("crankseam.serving.drain.DEREGISTRATION_S", SOON_S)


class Caller:
    """A caller that keeps one connection, and uses it until the front closes it."""

    def __init__(self, front):
        self.host, self.port = front.settings.listen.callers.split(":")

    async def __aenter__(self):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES)
        connection.setblocking(False)
        address = (self.host, int(self.port))
        await asyncio.get_running_loop().sock_connect(connection, address)
        self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=READ_BYTES)
        return self

    async def __aexit__(self, *_):
        self.writer.close()

    def is_closed(self):
        return self.reader.at_eof()

    def head(self, path, request_id, deadline_ms=2000, method="POST", **headers):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            "Content-Length: 0",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        return "\r\n".join((*lines, "", "")).encode()

    async def ask(self, path, request_id, **more):
        self.writer.write(self.head(path, request_id, **more))
        return await self.answer()

    async def answer(self):
        """Read an answer; returns status, headers and body."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
        if fields.get("transfer-encoding") == "chunked":
            body = await self.chunks()
        else:
            body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        return int(head[0].split(" ")[1]), fields, body

    async def chunks(self):
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return body


def runs(deployment):
    return [seen.id for sampler in deployment.samplers for seen in sampler.ran]


async def stopped(deployment, front, task):
    await task
    deployment.fronts.remove(front)


async def test_requests_on_kept_connections_are_answered_until_their_front_is_gone(deployment):
    """Orders that overlap, so that the front never finds a moment without one."""
    await deployment.configure()
    front = await deployment.start_front()
    kept, answered, gone = [], [], []

    async def keep_asking(number):
        async with Caller(front) as caller:
            await caller.ask("/once/x", f"before-{number}")
            kept.append(number)
            await begun.wait()
            await asyncio.sleep(number * 0.11)
            if caller.is_closed():
                gone.append(number)
                return
            try:
                status, _, _ = await caller.ask("/once/x", f"during-{number}")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            assert status == 200
            answered.append(f"during-{number}")

    begun = asyncio.Event()
    callers = [asyncio.create_task(keep_asking(number)) for number in range(66)]
    await eventually(lambda: len(kept) == 66, "all connections are kept")
    for sampler in deployment.samplers:
        sampler.faults.delay = 0.5
    begun.set()
    stopping = asyncio.create_task(front.stop())
    await asyncio.gather(*callers)
    await stopped(deployment, front, stopping)
    passed_on = {request_id for request_id in runs(deployment) if request_id.startswith("during")}
    assert passed_on == set(answered) and passed_on
    assert gone, "callers that rest are told by the close of their connections"


async def test_a_late_request_is_taken_only_if_it_is_due_before_the_end(deployment, quick):
    await deployment.configure()
    front = await deployment.start_front(grace_s=4.0)
    async with Caller(front) as soon, Caller(front) as late:
        for number, caller in enumerate((soon, late)):
            await caller.ask("/safe/x", f"before-{number}")
        soon_head = soon.head("/once/x", "soon", deadline_ms=1000)
        late_head = late.head("/once/x", "late", deadline_ms=60_000)
        for caller, head in ((soon, soon_head), (late, late_head)):
            caller.writer.write(head[:30])
        stopping = asyncio.create_task(front.stop())
        await asyncio.sleep(SOON_S + 0.3)
        soon.writer.write(soon_head[30:])
        late.writer.write(late_head[30:])
        status, headers, _ = await soon.answer()
        assert (status, headers["connection"]) == (200, "close")
        status, headers, body = await late.answer()
        assert (status, headers["connection"]) == (503, "close")
        assert float(headers["retry-after"]) < 1.0
        assert msgspec.json.decode(body)["outcome"] == "not_run"
    assert "late" not in runs(deployment)
    await stopped(deployment, front, stopping)


async def test_a_connection_that_was_opened_last_may_still_bring_its_first_request(
    deployment, quick
):
    await deployment.configure()
    front = await deployment.start_front(grace_s=4.0)
    stopping = asyncio.create_task(front.stop())
    async with Caller(front) as caller:
        await asyncio.sleep(SOON_S + 0.3)
        assert (await caller.ask("/once/x", "first"))[0] == 200
    await stopped(deployment, front, stopping)


async def test_what_still_runs_at_the_end_gets_an_answer(deployment, quick):
    await deployment.configure(1, [*ROUTES[1:], route("r-safe", "/safe/", "safe", timeout_ms=9000)])
    front = await deployment.start_front(grace_s=1.6)
    for sampler in deployment.samplers:
        sampler.faults.hang = True
    async with Caller(front) as caller:
        asking = asyncio.create_task(caller.ask("/safe/x", "long", deadline_ms=9000))
        await eventually(lambda: front.ingress.running == 1, "the request runs")
        began = asyncio.get_running_loop().time()
        stopping = asyncio.create_task(front.stop())
        status, headers, body = await asking
        assert status == 504 and headers["connection"] == "close"
        assert msgspec.json.decode(body)["outcome"] == "unknown"
        await stopped(deployment, front, stopping)
        assert 1.6 * 5 / 6 < asyncio.get_running_loop().time() - began < 1.6 + 0.4


async def test_a_body_that_is_not_whole_at_the_end_was_not_run(deployment, quick):
    await deployment.configure()
    front = await deployment.start_front(grace_s=1.0)
    async with Caller(front) as caller:
        head = caller.head("/once/x", "slow").replace(b"Length: 0", b"Length: 10")
        caller.writer.write(head + b"12345")
        await eventually(lambda: front.ingress.running == 1, "the body is awaited")
        stopping = asyncio.create_task(front.stop())
        status, _, body = await caller.answer()
        assert status == 503 and msgspec.json.decode(body)["outcome"] == "not_run"
    await stopped(deployment, front, stopping)


async def test_a_request_that_is_still_held_back_at_the_end_was_not_run(
    deployment, quick, monkeypatch
):
    """It waited for the quarantine's word, and its connection was closed without an answer."""

    async def hang(self):
        await asyncio.Event().wait()

    monkeypatch.setattr("crankseam.quarantine.request_tracker.RequestTracker.admit", hang)
    await deployment.configure()
    front = await deployment.start_front(grace_s=1.0)
    async with Caller(front) as caller:
        asking = asyncio.create_task(caller.ask("/once/x", "held", deadline_ms=9000))
        await eventually(lambda: front.ingress.running == 1, "the request waits")
        stopping = asyncio.create_task(front.stop())
        status, _, body = await asking
        assert status == 503 and msgspec.json.decode(body)["outcome"] == "not_run"
    await stopped(deployment, front, stopping)


async def test_a_large_answer_to_a_slow_reader_is_sent_whole(deployment, quick):
    """The front counted a request as done before the bytes of its answer were sent."""
    await deployment.configure()
    front = await deployment.start_front(grace_s=8.0)
    for listening in front.ingress._listener.sockets:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER_BYTES)
    size = 60_000
    async with Caller(front) as caller:
        head = caller.head("/safe/x", "large").replace(b"Length: 0", b"Length: %d" % size)
        caller.writer.write(head + bytes(size))
        await eventually(lambda: runs(deployment) and not front.ingress.running, "it has run")
        stopping = asyncio.create_task(front.stop())
        await asyncio.sleep(SOON_S + 0.8)
        assert not stopping.done(), "the answer is still on its way"
        status, _, body = await caller.answer()
        assert (status, len(body)) == (200, size + len(b"echo:"))
        await stopped(deployment, front, stopping)
        assert not front.ingress._server.connections


async def test_a_stream_that_begins_while_its_front_stops_is_whole_and_the_last_one(
    deployment, quick
):
    await deployment.configure()
    front = await deployment.start_front(grace_s=8.0)
    for sampler in deployment.samplers:
        sampler.length, sampler.faults.event_seconds = 20, 0.05
    async with Caller(front) as caller:
        stopping = asyncio.create_task(front.stop())
        await eventually(lambda: front.drain.is_draining)
        status, headers, body = await caller.ask("/stream/x", "s", Model="m", deadline_ms=4000)
        assert (status, headers["connection"]) == (200, "close")
        assert body.count(b"data: ") == 20
        await stopped(deployment, front, stopping)


async def test_job_calls_that_wait_are_answered(deployment, quick):
    await deployment.configure()
    front = await deployment.start_front(grace_s=8.0)
    for sampler in deployment.samplers:
        sampler.faults.event_seconds = 0.5
    await deployment.submit(front, items=1)
    async with Caller(front) as caller:
        path = "/v1/lots/job1?after_rev=0"
        reading = asyncio.create_task(caller.ask(path, "r", method="GET", Wait_Ms="1000"))
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(front.stop())
        status, headers, _ = await reading
        assert status in (200, 503) and headers["connection"] == "close"
    await stopped(deployment, front, stopping)


async def test_a_store_that_does_not_answer_delays_no_stop(deployment, quick, monkeypatch):
    """The jobs were handed over before anything else, without a limit of time."""
    await deployment.configure()
    front = await deployment.start_front(grace_s=2.0)

    async def hang():
        await asyncio.Event().wait()

    monkeypatch.setattr(front.jobs, "stop", hang)
    async with Caller(front) as caller:
        await caller.ask("/safe/x", "before")
        stopping = asyncio.create_task(front.stop())
        await asyncio.sleep(0.05)
        status, headers, _ = await caller.ask("/safe/x", "during")
        assert (status, headers["connection"]) == (200, "close")
        async with asyncio.timeout(2.5):
            await stopped(deployment, front, stopping)


async def test_a_peer_that_stops_finishes_its_calls_and_takes_no_new_ones():
    release = asyncio.Event()

    async def slow(body):
        await release.wait()
        return b"done:" + body

    listener, client = PeerListener({JOBS_PATH: slow, FEED_PATH: slow}), PeerClient()
    address = f"127.0.0.1:{free_port()}"
    await listener.start(address)
    await client.start()
    try:
        running = asyncio.create_task(client.call(JOBS_PATH, address, b"x", 5.0))
        feed = asyncio.create_task(client.call(FEED_PATH, address, b"y", 5.0))
        await eventually(lambda: listener._running_calls == 1, "the call runs")
        listener.refuse_calls()
        with pytest.raises(KeyValueUnavailable):
            await client.call(JOBS_PATH, address, b"z", 5.0)
        waiting = asyncio.create_task(listener.wait_idle(5.0))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        release.set()
        assert await running == b"done:x"
        await waiting
        await feed
    finally:
        listener.close()
        await client.close()
