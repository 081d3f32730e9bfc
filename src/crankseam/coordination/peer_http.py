"""Calls between processes of one deployment: a path for each kind, over HTTP, bytes both ways.

Owns the connections to peers and the listener for theirs. Relies on each kind's own messages and
handler; knows nothing of what the bytes say.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web

from crankseam.errors import KeyValueError, KeyValueOutcomeUnknown, KeyValueUnavailable

log = logging.getLogger(__name__)

RELAY_PATH = "/store"
"""A call of the store, made for a peer that it does not serve."""
FEED_PATH = "/feed"
"""What is new below a prefix of the store."""
RESULTS_PATH = "/results"
"""Results of a job that the asked process runs."""
JOBS_PATH = "/jobs"
"""A job for the asked process to run."""
SUSPECTS_PATH = "/suspects"
"""Requests under which back ends ended, while the store is away."""
USAGE_PATH = "/usage-counts"
"""What the asking process counted, for the holder of the usage duty."""
NOT_SERVED = 404
"""HTTP status of a peer that knows no such kind of call."""
CONNECT_S = 0.4
"""A connection to a peer is made within this, or the call fails; origin not recorded."""
MAX_CALL_BYTES = 4 * 1024 * 1024
"""A larger call is refused by the listener; origin not recorded."""
TELL_S = 1.0
"""A peer takes what all are told within this, or is left out; origin not recorded."""
TOLD_AT_ONCE = 32
"""Peers that are called at one time: a slow core opens some hundred connections a second."""

CallHandler = Callable[[bytes], Awaitable[bytes]]


class PeerClient:
    """Calls peers by their addresses (`ip:port`)."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session; needs a running event loop."""
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(self, path: str, address: str, body: bytes, longest: float) -> bytes:
        """Send bytes to one path of a peer; its answer within ``longest`` seconds.

        Raises
        ======

        KeyValueUnavailable : nothing was sent.
        KeyValueOutcomeUnknown : no answer came, or the peer failed while it worked on one.
        """
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=longest, sock_connect=CONNECT_S)
        url = f"http://{address}{path}"
        try:
            async with self._session.post(url, data=body, timeout=timeout) as response:
                answer = await response.read()
                if response.status == NOT_SERVED:
                    raise KeyValueUnavailable("peer: does not serve this")
                if response.status != 200:
                    raise KeyValueOutcomeUnknown(f"peer: status {response.status}")
                return answer
        except aiohttp.ClientConnectorError as error:
            raise KeyValueUnavailable(f"peer: {type(error).__name__}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise KeyValueOutcomeUnknown(f"peer: {type(error).__name__}") from error

    async def tell_all(self, path: str, addresses: list[str], body: bytes) -> None:
        """Send bytes to many peers; one that can't be reached is left out."""
        at_once = asyncio.Semaphore(TOLD_AT_ONCE)

        async def tell(address: str) -> None:
            async with at_once:
                try:
                    await self.call(path, address, body, TELL_S)
                except KeyValueError as error:
                    log.info("peer_not_told", extra={"peer": address, "error": str(error)})

        await asyncio.gather(*(tell(address) for address in addresses))


class PeerListener:
    """Serves the calls of peers: one handler a path."""

    def __init__(self, handlers: dict[str, CallHandler]) -> None:
        self._handlers = handlers
        self._listener: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on `ip:port`."""
        server = web.Server(self._handle, access_log=None, request_factory=self._make_request)
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
        if handle is None or request.method != "POST":
            return web.Response(status=NOT_SERVED)
        return web.Response(body=await handle(await request.read()))

    def close(self) -> None:
        """Take no more calls."""
        if self._listener is not None:
            self._listener.close()
