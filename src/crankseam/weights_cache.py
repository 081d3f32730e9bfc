"""Weights kept by nodes with a data folder, so that samplers need not all read from the store.

Owns the files below the data folder. Each version is read from the store once a node, whoever asks
for it at the same time, and then served in ranges from the file. Losing the folder costs time,
never correctness.
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
KEPT_VERSIONS = 3
"""Of a pool, the newest: what is served, what is staged, and one to go back to. Origin not
recorded."""
FETCH_ATTEMPTS = 5
"""Tries for one version before the sampler is told to come back. Origin not recorded."""
FETCH_RETRY_BASE_S = 0.2
"""Upper bound of the first pause between two tries. Origin not recorded."""
FETCH_RETRY_CAP_S = 5.0
"""Upper bound of any such pause. Origin not recorded."""
RETRY_AFTER_S = 5.0
"""When a sampler is told to come back. Origin not recorded."""


class WeightsCache:
    """Serves `GET /weights/{pool}/{version}`."""

    def __init__(
        self, folder: Path, session: aiohttp.ClientSession, lease: ConfigurationLease
    ) -> None:
        self._folder = folder / "weights"
        self._store = WeightStoreClient(session)
        self._lease = lease
        self._fetching: dict[tuple[str, int], asyncio.Lock] = {}

    def add_routes(self, app: web.Application) -> None:
        """Register the path."""
        app.router.add_get(CACHE_PATH, self._handle)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        pool, raw = request.match_info["pool"], request.match_info["version"]
        policies = self._lease.snapshot.weight_policies.values()
        policy = next((item for item in policies if item.pool == pool), None)
        if policy is None or not raw.isdecimal():
            raise NotFound(f"no weights of {pool}")
        file = await self._fetch(policy.store, pool, int(raw))
        return web.FileResponse(file)  # answers ranges

    async def _fetch(self, store: str, pool: str, version: int) -> Path:
        file = self._folder / pool / f"{version}.weights"
        async with self._fetching.setdefault((pool, version), asyncio.Lock()):
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
            await asyncio.to_thread(self._keep, partial, file)
            return
        raise Unavailable(f"weights {version} of {pool}", retry_after=RETRY_AFTER_S)

    @staticmethod
    def _keep(partial: Path, file: Path) -> None:
        """Rename what was written whole, so that a crash leaves no half file; drop old versions."""
        partial.rename(file)
        kept = sorted(file.parent.glob("*.weights"), key=lambda path: int(path.stem))
        for old in kept[:-KEPT_VERSIONS]:
            old.unlink(missing_ok=True)


def cache_source(caller_address: str, pool: str, version: int) -> str:
    """URL from which a sampler loads a version through a caching node."""
    return f"http://{caller_address}{CACHE_PATH.format(pool=pool, version=version)}"
