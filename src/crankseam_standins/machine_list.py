"""Stand-in for the platform's machine list, which shows each update only after a delay.

Holds the versions of the list and the delay in seconds.
"""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web

from crankseam_standins.faults import Faults


class MachineListStandin:
    """`PUT /_machines` replaces the list; `GET /machines` shows it after the delay."""

    def __init__(self, lag: float) -> None:
        self.faults = Faults()
        self._lag = lag
        self._versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]

    def application(self) -> web.Application:
        """Return the HTTP application with all routes."""
        app = web.Application()
        self.faults.add_routes(app)
        app.router.add_put("/_machines", self._set)
        app.router.add_get("/machines", self._list)
        return app

    async def _set(self, request: web.Request) -> web.Response:
        self._versions.append((time.monotonic(), await request.json()))
        return web.json_response({})

    async def _list(self, _request: web.Request) -> web.Response:
        cutoff = time.monotonic() - self._lag
        shown = [machines for at, machines in self._versions if at <= cutoff]
        return web.json_response({"machines": shown[-1] if shown else []})
