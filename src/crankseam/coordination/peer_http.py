"""HTTP transport for calls between the processes of a deployment, with one path for each kind.

This module manages the outgoing connections and the listener. Requests and answers are opaque
bytes; each kind of call defines its own messages and its own handler.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

from crankseam.clients.bounded_responses import bounded_connector, read_limited
from crankseam.errors import KeyValueError, KeyValueOutcomeUnknown, KeyValueUnavailable

log = logging.getLogger(__name__)

RELAY_PATH = "/store"
"""A call to the store on behalf of a peer that the store does not serve."""
FEED_PATH = "/feed"
"""The changes below a prefix of the store."""
RESULTS_PATH = "/results"
"""The results of a job that the called process runs."""
JOBS_PATH = "/jobs"
"""A job that the called process is to run."""
SUSPECTS_PATH = "/suspects"
"""Reports of requests during which back ends ended, while the store is unavailable."""
USAGE_PATH = "/usage-counts"
"""The usage that the calling process counted, for the holder of the usage duty."""
NOT_SERVED = 404
"""HTTP status with which a peer answers a kind of call that it does not serve."""
CONNECT_TIMEOUT_S = 0.4
"""Time limit for the connection to a peer; the call fails after it."""
MAX_ANSWER_BYTES = 64 * 2**20
"""Largest answer of a peer that is read; a feed that begins sends all entries of a prefix."""
MAX_CALL_BYTES = 4 * 1024 * 1024
"""The listener rejects calls with a larger body."""
BROADCAST_TIMEOUT_S = 1.0
"""Time limit for each peer in `PeerClient.broadcast`; a slower peer is left out."""
BROADCAST_CONCURRENCY = 32
"""Number of peers that `PeerClient.broadcast` calls concurrently. A slow CPU core opens only about
a hundred connections per second."""

CallHandler = Callable[[bytes], Awaitable[bytes]]


class PeerClient:
    """HTTP client for calls to peers, which are identified by their addresses (`ip:port`)."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session; requires a running event loop."""
        self._session = aiohttp.ClientSession(connector=bounded_connector())

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, path: str, address: str, body: bytes, timeout_s: float) -> bytes:
        """Post ``body`` to a path of a peer; return its answer, awaited for ``timeout_s`` seconds.

        Raises
        ======

        KeyValueUnavailable : the connection was refused, or the peer does not serve this kind of
            call; nothing was done.
        KeyValueOutcomeUnknown : no answer came in time, or the peer failed while it handled the
            call.
        """
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}{path}"
        try:
            async with self._session.post(url, data=body, timeout=timeout) as response:
                answer = await read_limited(response, MAX_ANSWER_BYTES)
                if response.status == NOT_SERVED:
                    raise KeyValueUnavailable("peer: does not serve this")
                if response.status != 200:
                    raise KeyValueOutcomeUnknown(f"peer: status {response.status}")
                return answer
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise KeyValueUnavailable(f"peer: {type(error).__name__}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise KeyValueOutcomeUnknown(f"peer: {type(error).__name__}") from error

    async def broadcast(self, path: str, addresses: list[str], body: bytes) -> None:
        """Post ``body`` to a path of many peers; failures are logged and otherwise ignored."""
        semaphore = asyncio.Semaphore(BROADCAST_CONCURRENCY)

        async def send(address: str) -> None:
            async with semaphore:
                try:
                    await self.call(path, address, body, BROADCAST_TIMEOUT_S)
                except KeyValueError as error:
                    log.info("peer_not_told", extra={"peer": address, "error": str(error)})

        await asyncio.gather(*(send(address) for address in addresses))


class PeerListener:
    """HTTP server for the calls of peers, with one handler for each path."""

    def __init__(self, handlers: dict[str, CallHandler]) -> None:
        self._handlers = handlers
        self._listener: asyncio.Server | None = None
        self._refuses_calls = False
        self._running_calls = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self, address: str) -> None:
        """Start to listen on ``address`` (`ip:port`)."""
        server = web.Server(
            self._handle,
            access_log=None,
            request_factory=self._make_request,
            auto_decompress=False,
        )
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, host, int(port), reuse_address=True)

    @staticmethod
    def _make_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=MAX_CALL_BYTES
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        handle = self._handlers.get(request.path)
        if handle is None or request.method != "POST" or self._refuses_calls:
            return web.Response(status=NOT_SERVED)
        if request.path == FEED_PATH:
            return web.Response(body=await handle(await request.read()))
        self._running_calls += 1
        self._idle.clear()
        try:
            return web.Response(body=await handle(await request.read()))
        finally:
            self._running_calls -= 1
            if not self._running_calls:
                self._idle.set()

    def refuse_calls(self) -> None:
        """Answer all further calls as not served, so that peers turn to other processes."""
        self._refuses_calls = True

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no call is running, for at most `timeout_s` seconds.

        Feeds are not waited for: they wait for changes, and their readers ask another process.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            log.warning("stopped_with_peer_calls", extra={"running": self._running_calls})

    def close(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()
