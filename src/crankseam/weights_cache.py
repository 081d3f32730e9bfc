"""Cache of weights on nodes with a data folder, so that not every sampler reads from the store.

All files below the data folder belong to the cache. A node reads each version from the store once,
also for concurrent requests, and then serves ranges of it from the file. Losing the folder costs
time and never affects correctness.
"""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path

import aiohttp
from aiohttp import web

from crankseam.backoff import Backoff
from crankseam.clients.weight_store import WeightStoreClient, WeightStoreError
from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.errors import NotFound, Unavailable

log = logging.getLogger(__name__)

CACHE_PATH = "/weights/{pool}/{version}"
RETAINED_VERSIONS = 3
"""Newest versions kept per pool: the one served, the one being staged, and one for roll-back."""
FETCH_ATTEMPTS = 5
"""Attempts to read one version before the sampler is told to retry later."""
FETCH_RETRY_BASE_S = 0.2
"""Upper bound, in seconds, of the first pause between two attempts."""
FETCH_RETRY_CAP_S = 5.0
"""Upper bound, in seconds, of every such pause."""
RETRY_AFTER_S = 5.0
"""Seconds after which a sampler is told to retry."""


class WeightsCache:
    """Serves `GET /weights/{pool}/{version}`."""

    def __init__(
        self, folder: Path, session: aiohttp.ClientSession, lease: ConfigurationLease
    ) -> None:
        self._folder = folder / "weights"
        self._store = WeightStoreClient(session)
        self._lease = lease
        self._fetch_locks: dict[tuple[str, int], asyncio.Lock] = {}

    def add_routes(self, app: web.Application) -> None:
        """Register the route under which weights are served."""
        app.router.add_get(CACHE_PATH, self._handle)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        pool, raw = request.match_info["pool"], request.match_info["version"]
        policies = self._lease.snapshot.weight_policies.values()
        policy = next((item for item in policies if item.pool == pool), None)
        if policy is None or not raw.isdecimal():
            raise NotFound(f"no weights of {pool}")
        file = await self._fetch(policy.store, pool, int(raw))
        return web.FileResponse(file)  # supports range requests

    async def _fetch(self, store: str, pool: str, version: int) -> Path:
        file = self._folder / pool / f"{version}.weights"
        async with self._fetch_locks.setdefault((pool, version), asyncio.Lock()):
            if not await asyncio.to_thread(file.exists):
                await self._fetch_from_store(store, pool, version, file)
        return file

    async def _fetch_from_store(self, store: str, pool: str, version: int, file: Path) -> None:
        await asyncio.to_thread(file.parent.mkdir, parents=True, exist_ok=True)
        partial = file.with_suffix(".partial")
        backoff = Backoff(FETCH_RETRY_BASE_S, FETCH_RETRY_CAP_S)
        for _attempt in range(FETCH_ATTEMPTS):
            try:
                await self._store.download(store, pool, version, partial)
            except WeightStoreError as error:
                log.info("weights not read", extra={"pool": pool, "error": str(error)})
                await asyncio.sleep(backoff.next_delay())
                continue
            await asyncio.to_thread(self._publish, partial, file)
            return
        raise Unavailable(f"weights {version} of {pool}", retry_after=RETRY_AFTER_S)

    @staticmethod
    def _publish(partial: Path, file: Path) -> None:
        """Rename a complete download to its final name, and delete old versions.

        Only complete downloads are renamed, so that a crash leaves no partial file under the final
        name.
        """
        partial.rename(file)
        kept = sorted(file.parent.glob("*.weights"), key=lambda path: int(path.stem))
        for old in kept[:-RETAINED_VERSIONS]:
            old.unlink(missing_ok=True)


def cache_source(caller_address: str, pool: str, version: int) -> str:
    """Return the URL from which a sampler loads a version through a caching node."""
    return f"http://{caller_address}{CACHE_PATH.format(pool=pool, version=version)}"
