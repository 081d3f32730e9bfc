"""Limits of what a server may send on a connection, for servers that send without end.

A server in trouble may send a status that is none, which is no answer. And it may send bytes
without end: interim responses, responses that nobody asked for, or a body. The HTTP library keeps
parsed responses in a queue without limit, and reads a body for as long as it lasts. Here a
connection is closed once it brings too many responses, and a body that is read whole is limited in
size. The size of a head is limited by the library.
Logged as: `endless_response`, `status_invalid`.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import StreamReader

from crankseam import clocks
from crankseam.serving.log_interval import LogInterval

log = logging.getLogger(__name__)

FINAL_STATUSES = range(200, 600)
"""Statuses of answers: lower ones announce an answer, all others are undefined (RFC 9110, 15)."""
MAX_INTERIM_RESPONSES = 16
"""Interim responses (status 1xx) that may come before one response."""
MAX_UNREAD_RESPONSES = 16
"""Responses that may wait on a connection. A server sends one for each request, and at times a
second copy of an earlier one."""
PARSED_BYTES = 2**14
"""Number of bytes that are parsed before the limits are checked. A parsed response takes many times
the memory of its bytes."""
MAX_CHUNKS_PER_PIECE = PARSED_BYTES // 64
"""Chunks in a piece of that size, beyond which they count as tiny: parsing one takes as long as
some hundred bytes of a body."""
MAX_TINY_CHUNK_BYTES = 2**20
"""Bytes of pieces full of tiny chunks in one response. Events that come one by one, as they are
made, fill no such piece."""
MAX_FRUITLESS_BYTES = 2**20
"""Bytes that may come without a part of a body in them, such as extensions of a chunk; more than
the largest head that the library parses."""
MAX_OWN_ANSWER_BYTES = 2**20
"""Largest answer to a call that a process makes for itself, such as a question about a server."""
MAX_UNSIZED_ANSWER_BYTES = 32 * 2**20
"""Largest answer of which the head tells no length; as large as the largest body of a request."""

_log_interval = LogInterval(clocks.monotonic_s)


class EndlessResponse(aiohttp.ClientPayloadError):
    """A server sent more bytes than any answer has."""


class TooManyResponses(BadHttpMessage):
    """A server sent more responses than requests were sent to it."""


class InvalidStatus(BadHttpMessage):
    """A server sent a status that is none of HTTP's."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that is closed once the server sends too many responses on it, or no answer.

    Interim responses are dropped as they arrive: no request here asks for one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._interim_count = 0
        self._tiny_chunk_bytes = 0
        self._fruitless_bytes = 0
        self._is_refused = False

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, in pieces; see `PARSED_BYTES`."""
        for start in range(0, max(1, len(data)), PARSED_BYTES):
            if self._is_refused:
                return
            self._parse(data[start : start + PARSED_BYTES])

    def _parse(self, piece: bytes) -> None:
        body = self._payload
        unread_chunks, body_bytes = _body_progress(body)
        super().data_received(piece)
        unread_chunks_after, body_bytes_after = _body_progress(body)
        if self._payload is not body or body_bytes_after > body_bytes:
            self._fruitless_bytes = 0
        else:
            self._fruitless_bytes += len(piece)
        if unread_chunks_after - unread_chunks > MAX_CHUNKS_PER_PIECE:
            self._tiny_chunk_bytes += len(piece)
        if self._fruitless_bytes > MAX_FRUITLESS_BYTES:
            self._close("bytes without end that are no body")
        elif self._tiny_chunk_bytes > MAX_TINY_CHUNK_BYTES:
            self._close("tiny chunks without end")

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Queue a response, or drop an interim one."""
        message, _ = data
        if is_interim(message.code):
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                self._close("interim responses without end")
            return
        self._interim_count = self._tiny_chunk_bytes = 0
        if message.code not in FINAL_STATUSES:
            self._refuse_status(message.code)
            return
        if len(self) >= MAX_UNREAD_RESPONSES:
            self._close("responses without end")
            return
        super().feed_data(data, size)

    def _refuse_status(self, status: int) -> None:
        server = self._server()
        count = _log_interval.count_if_due(f"status of {server}")
        if count:
            log.warning(
                "status_invalid", extra={"server": server, "status": status, "count": count}
            )
        self._abort(InvalidStatus(f"status {status}"))

    def _close(self, reason: str) -> None:
        if not self._is_refused:
            log_endless(self._server(), reason)
            self._abort(TooManyResponses(reason))

    def _abort(self, error: BadHttpMessage) -> None:
        self._is_refused = True
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _server(self) -> str:
        """Address of the server, as in `host:port`."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return ":".join(map(str, peer or ()))


def _body_progress(body: StreamReader | None) -> tuple[int, int]:
    """Number of chunks of a body that were not read yet, and of bytes that have arrived of it."""
    return (len(body._buffer), body.total_bytes) if body is not None else (0, 0)


def log_endless(server: str, reason: str) -> None:
    """Log that a server sent without end, at a limited rate."""
    count = _log_interval.count_if_due(server)
    if count:
        log.warning("endless_response", extra={"server": server, "reason": reason, "count": count})


def is_interim(status: int) -> bool:
    """Whether a status announces another response.

    101 would end the use of HTTP instead, for which no request here asks.
    """
    return 100 <= status < 200 and status != HTTPStatus.SWITCHING_PROTOCOLS


def bounded_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose connections are limited; requires a running event loop.

    aiohttp has no public option for the class of a connection;
    `tests/clients/test_bounded_responses.py` fails if the private attribute set here loses its
    effect.

    Parameters
    ==========

    options : keyword arguments of `aiohttp.TCPConnector`.
    """
    connector = aiohttp.TCPConnector(**options)
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(BoundedResponseHandler, loop=loop)  # type: ignore[assignment]
    return connector


async def read_limited(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_OWN_ANSWER_BYTES
) -> bytes:
    """Read a body whole.

    Raises
    ======

    EndlessResponse : the body is larger than `max_bytes`; its connection is closed.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            response.close()
            log_endless(response.url.authority, "body without end")
            raise EndlessResponse(f"more than {max_bytes} bytes")
    return bytes(body)
