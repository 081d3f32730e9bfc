"""Stand-in for the weight store: an index of versions and range reads under a rate limit.

Holds the published versions of each pool. The content of the weights is all zeros.
"""

from __future__ import annotations

from aiohttp import web

from crankseam_standins.faults import Faults

WEIGHT_BYTES = 64 * 1024
"""Small, because the sampler's parameters determine the duration of a load, not the size."""


class WeightStoreStandin:
    """`POST /_publish/{pool}/{version}` publishes a version; readers poll the index."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._versions: dict[str, list[int]] = {}
        self.reads = 0

    def application(self) -> web.Application:
        """Return the HTTP application with all routes."""
        app = web.Application()
        self.faults.add_routes(app)
        app.router.add_post("/_publish/{pool}/{version}", self._publish)
        app.router.add_get("/pools/{pool}/versions", self._index)
        app.router.add_get("/pools/{pool}/versions/{version}", self._read)
        return app

    async def _publish(self, request: web.Request) -> web.Response:
        versions = self._versions.setdefault(request.match_info["pool"], [])
        version = int(request.match_info["version"])
        if version not in versions:
            versions.append(version)
            versions.sort()
        return web.json_response({"versions": versions})

    async def _index(self, request: web.Request) -> web.Response:
        return web.json_response({"versions": self._versions.get(request.match_info["pool"], [])})

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        versions = self._versions.get(request.match_info["pool"], [])
        if int(request.match_info["version"]) not in versions:
            return web.Response(status=404)
        window = request.http_range
        content = bytes(WEIGHT_BYTES)[window]
        status = 206 if window.start is not None else 200
        return web.Response(status=status, body=content)
