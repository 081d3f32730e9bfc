"""Faults that a stand-in can be asked for over `POST /_faults`.

Owns the faults in force at one stand-in. Those that concern every request (down, slow, rate) are
applied before its handlers; the others are read by the stand-in where they strike.
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
    """What to do wrong. Fields left out stay as they are."""

    down_seconds: float | None = None
    """Answer nothing but 503 for so long."""
    delay: float | None = None
    """Seconds added to each answer."""
    lose_answers: int | None = None
    """Carry out this many coming writes, and break the connection instead of answering."""
    rate: float | None = None
    """Requests a second; those above get 429."""
    fail_loads: int | None = None
    """Samplers: fail this many coming weight loads."""
    leaving: bool | None = None
    """Samplers and app servers: say that they are leaving."""
    lapse_leases: bool | None = None
    """Key-value service: let every lease lapse now."""
    break_streams: int | None = None
    """Samplers: break this many running streams."""


class Faults:
    """Current faults of one stand-in; `middleware` applies those that concern every request."""

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
        """Whether the stand-in plays dead now."""
        return time.monotonic() < self.down_until

    def add_routes(self, app: web.Application) -> None:
        """Register the control path and the middleware."""
        app.router.add_post("/_faults", self._handle_order)
        app.middlewares.append(self._middleware())

    async def _handle_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=FaultOrder)
        if order.down_seconds is not None:
            self.down_until = time.monotonic() + order.down_seconds
        for name in ("delay", "lose_answers", "rate", "fail_loads", "leaving", "break_streams"):
            value = getattr(order, name)
            if value is not None:
                setattr(self, name, value)
        self.on_order(order)
        return web.json_response({})

    def _over_rate(self) -> bool:
        if not self.rate:
            return False
        now = time.monotonic()
        if now - self._window_start >= 1.0:
            self._window_start, self._window_count = now, 0
        self._window_count += 1
        return self._window_count > self.rate

    def take_lost_answer(self) -> bool:
        """Whether the answer to the write just made shall be lost."""
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
            if self._over_rate():
                return web.Response(status=429, headers={"Retry-After": "1"})
            if self.delay:
                await asyncio.sleep(self.delay)
            return await handler(request)

        return apply


def lose_answer(request: web.Request) -> web.Response:
    """Break the connection instead of answering."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
