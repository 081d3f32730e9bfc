"""Servers that send without end: connections are closed, and bodies are not read beyond a limit.

Guards against interim responses without end, by which a process answered nobody any more and grew
beyond the memory of its machine, and against answers to a process's own calls without end.
"""

import asyncio
import contextlib

import aiohttp
import pytest
from crankseam_platform_standins.endless_bytes import KINDS, send_endless

from crankseam.clients.bounded_responses import (
    MAX_INTERIM_RESPONSES,
    EndlessResponse,
    bounded_connector,
    read_limited,
)
from crankseam.clients.load_report import fetch_load_report
from crankseam.clients.sampler import (
    MAX_SKIPPED_BYTES,
    CompletionRequest,
    SamplerClient,
    SamplerError,
    SamplerStreamBroke,
)
from tests.support.waiting import eventually

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
EVENTS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
LIMIT_S = 10.0
NO_ANSWER = sorted(set(KINDS) - {"after_the_answer", "other_answers", "other_body"})
"""Those that send a good answer first, or one to another request, are told apart by its id."""


class RawServer:
    """Answers each request by a function, which writes whatever it likes."""

    def __init__(self, answer):
        self._answer = answer
        self.connections = 0
        self.closed = 0
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.connections += 1
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    await self._answer(writer)
                    await writer.drain()
        finally:
            self.closed += 1
            writer.close()


def endless(kind):
    async def answer(writer):
        await send_endless(writer.transport, kind, {}, b"ok")

    return RawServer(answer)


def sends(*parts):
    async def answer(writer):
        for part in parts:
            writer.write(part)
            await writer.drain()

    return RawServer(answer)


@pytest.fixture
async def session():
    async with aiohttp.ClientSession(connector=bounded_connector()) as session:
        yield session


async def ask(session, server, max_bytes=1000):
    async with asyncio.timeout(LIMIT_S), session.get(f"http://{server.address}/") as response:
        return await read_limited(response, max_bytes)


async def test_interim_responses_come_before_an_answer(session):
    async with sends(INTERIM * MAX_INTERIM_RESPONSES + ANSWER) as server:
        assert await ask(session, server) == b"ok"
        assert await ask(session, server) == b"ok"
        assert server.connections == 1, "the connection is used again"


async def test_more_of_them_are_no_answer(session):
    async with sends(INTERIM * (MAX_INTERIM_RESPONSES + 1) + ANSWER) as server:
        with pytest.raises(aiohttp.ClientError):
            await ask(session, server)
        await eventually(lambda: server.closed == 1)


@pytest.mark.parametrize("kind", NO_ANSWER)
async def test_an_answer_without_end_is_an_error_and_its_connection_is_closed(session, kind):
    async with endless(kind) as server:
        with pytest.raises((aiohttp.ClientError, ValueError)):
            await ask(session, server)
        await eventually(lambda: server.closed == 1)


async def test_answers_without_end_on_an_idle_connection_close_it(session):
    async with endless("after_the_answer") as server:
        assert await ask(session, server) == b"ok"
        await eventually(lambda: server.closed == 1)


async def test_a_body_of_the_largest_size_is_read(session):
    body = b"x" * 1000
    async with sends(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body) as server:
        assert await ask(session, server) == body
        with pytest.raises(EndlessResponse):
            await ask(session, server, 999)


async def test_many_small_events_at_once_are_no_stream_without_end(session):
    """A sampler that is faster than its caller reads sends many events together."""
    event = b"14\r\nid: 1\ndata: token\n\n\r\n"
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    async with sends(head, event * 20_000, b"0\r\n\r\n") as server:
        assert len(await ask(session, server, 2**20)) == 20 * 20_000


# --- the clients of crankseam node


async def complete(session, server):
    client = SamplerClient(session, read_timeout=LIMIT_S)
    request = CompletionRequest("r", "p", 4, [], 0)
    async with asyncio.timeout(LIMIT_S):
        return [chunk async for chunk in client.complete(server.address, request)]


@pytest.mark.parametrize("line", [b": more\n", b"x" * 2**18 + b"\n"])
async def test_a_completion_of_lines_that_are_no_events_breaks(session, line):
    async def answer(writer):
        writer.write(EVENTS_HEAD)
        while not writer.transport.is_closing():
            writer.write(line * (1 + MAX_SKIPPED_BYTES // len(line)))
            await writer.drain()

    async with RawServer(answer) as server:
        with pytest.raises(SamplerStreamBroke):
            await complete(session, server)


@pytest.mark.parametrize("kind", ["interim", "body", "chunks"])
async def test_a_state_or_a_load_report_without_end_is_not_read(session, kind):
    async with endless(kind) as server:
        async with asyncio.timeout(LIMIT_S):
            with pytest.raises(SamplerError):
                await SamplerClient(session, LIMIT_S).state(server.address)
            assert await fetch_load_report(session, server.address, LIMIT_S) is None
