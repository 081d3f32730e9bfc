"""Stand-in for an application back end, which logs every operation that it runs.

The response is a function of the request (`expected_answer`), so that a caller can detect a
response that belongs to another request.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import Callable

from aiohttp import web

from crankseam_standins.account import Account
from crankseam_standins.faults import Faults

PADDING_BYTES = 200
"""Pads a response to about 300 bytes, the size that docs/CAPACITY.md assumes."""


def expected_answer(operation: str, body: bytes) -> str:
    """Return the response text to a request, which callers compare with the text they received."""
    digest = hashlib.sha256(operation.encode() + body).hexdigest()
    return f"{operation}:{digest}" + "." * PADDING_BYTES


class AppStandin:
    """Responds after a random work time and logs each operation before it runs."""

    def __init__(self, name: str, work_seconds: float, account: Account) -> None:
        self.name = name
        self.faults = Faults()
        self._work_seconds = work_seconds
        self._random = random.Random(name)
        self._running = 0
        self._account = account
        self.ended_by = b""
        """If set, a request whose body contains these bytes ends the back end when it starts."""
        self.on_end: Callable[[], None] = lambda: None

    def application(self) -> web.Application:
        """Return the HTTP application with all routes."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        self.faults.add_routes(app)
        app.router.add_get("/metrics", self._metrics)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read()
        operation = request.headers.get("Idempotency-Key", request.headers.get("Request-Id", ""))
        self._account.append(
            {
                "operation": operation,
                "request": request.headers.get("Request-Id", ""),
                "method": request.method,
                "path": request.path,
                "at": time.time(),
                "leaving": self.faults.leaving,
            }
        )
        if self.ended_by and self.ended_by in body:
            self.on_end()
        self._running += 1
        try:
            if self._work_seconds:
                await asyncio.sleep(self._random.expovariate(1 / self._work_seconds))
        finally:
            self._running -= 1
        if self.faults.consume_lost_answer() and request.transport is not None:
            request.transport.abort()
        return web.Response(text=expected_answer(operation, body))

    async def _metrics(self, _request: web.Request) -> web.Response:
        gauges = {
            "app:num_requests_running": self._running,
            "app:num_requests_waiting": 0,
            "app:leaving": int(self.faults.leaving),
        }
        text = "".join(f"# TYPE {k} gauge\n{k} {v}\n" for k, v in gauges.items())
        return web.Response(text=text)
