"""Fault injection for a stand-in, controlled through `POST /_faults`.

Holds the faults that are active in one stand-in. Faults that affect every request (outage, delay,
rate limit) are applied by a middleware; the stand-in itself checks for the others where they
apply.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
CONTROL_PREFIX = "/_"


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """A request to change the active faults. Omitted fields leave their faults unchanged."""

    down_seconds: float | None = None
    """Seconds during which every request gets status 503."""
    delay: float | None = None
    """Seconds by which each response is delayed."""
    lose_answers: int | None = None
    """Number of next writes that are applied but whose connection is closed without a response."""
    rate: float | None = None
    """Requests allowed per second; excess requests get status 429. 0 means no limit."""
    fail_loads: int | None = None
    """Samplers: number of next weight loads that fail."""
    leaving: bool | None = None
    """Samplers and app servers: whether they report that they are leaving."""
    lapse_leases: bool | None = None
    """Key-value service: expire all leases immediately."""
    break_streams: int | None = None
    """Samplers: number of running streams to break off immediately."""


class Faults:
    """Active faults of one stand-in; the middleware applies those that affect every request."""

    def __init__(self) -> None:
        self.down_until = 0.0
        self.delay = 0.0
        self.lose_answers = 0
        self.rate = 0.0
        self.fail_loads = 0
        self.leaving = False
        self.break_streams = 0
        self.on_order: Callable[[FaultOrder], None] = lambda _order: None
        self._window_start = 0.0
        self._window_count = 0

    def is_down(self) -> bool:
        """Return whether a simulated outage is in progress."""
        return time.monotonic() < self.down_until

    def add_routes(self, app: web.Application) -> None:
        """Register the route that sets faults and the middleware that applies them."""
        app.router.add_post("/_faults", self._handle_fault_order)
        app.middlewares.append(self._middleware())

    async def _handle_fault_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=FaultOrder)
        if order.down_seconds is not None:
            self.down_until = time.monotonic() + order.down_seconds
        for name in ("delay", "lose_answers", "rate", "fail_loads", "leaving", "break_streams"):
            value = getattr(order, name)
            if value is not None:
                setattr(self, name, value)
        self.on_order(order)
        return web.json_response({})

    def _exceeds_rate(self) -> bool:
        if not self.rate:
            return False
        now = time.monotonic()
        if now - self._window_start >= 1.0:
            self._window_start, self._window_count = now, 0
        self._window_count += 1
        return self._window_count > self.rate

    def consume_lost_answer(self) -> bool:
        """Return whether to drop the response to this write, and decrement `lose_answers` if so."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    def _middleware(self) -> Callable:
        @web.middleware
        async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path.startswith(CONTROL_PREFIX):
                return await handler(request)
            if self.is_down():
                return web.Response(status=503)
            if self._exceeds_rate():
                return web.Response(status=429, headers={"Retry-After": "1"})
            if self.delay:
                await asyncio.sleep(self.delay)
            return await handler(request)

        return apply


def lose_answer(request: web.Request) -> web.Response:
    """Close the connection without sending a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
