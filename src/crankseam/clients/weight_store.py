"""Client of the weight store: a JSON index, and ranged GETs that may be answered 429 or 503."""

from __future__ import annotations

import aiohttp
import msgspec

from crankseam.errors import CrankseamError

READ_TIMEOUT_SECONDS = 120.0


class WeightStoreError(CrankseamError):
    """The store gave no usable answer; try again later."""


class WeightIndex(msgspec.Struct):
    """The versions published for a pool, oldest first."""

    versions: list[int] = []


class WeightStoreClient:
    """Reads the index; the weights themselves are read by the samplers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def versions(self, address: str, pool: str) -> list[int]:
        """Published versions of a pool. Raises WeightStoreError."""
        timeout = aiohttp.ClientTimeout(total=3.0)
        url = f"http://{address}/pools/{pool}/versions"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                return msgspec.json.decode(await answer.read(), type=WeightIndex).versions
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise WeightStoreError(type(error).__name__) from error

    async def read(self, address: str, pool: str, version: int) -> bytes:
        """A version's bytes. Raises WeightStoreError, also on the store's 429 and 503."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_SECONDS, sock_connect=1.0)
        try:
            async with self._session.get(self.source(address, pool, version), timeout=timeout) as a:
                a.raise_for_status()
                return await a.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WeightStoreError(type(error).__name__) from error

    @staticmethod
    def source(address: str, pool: str, version: int) -> str:
        """URL from which a sampler loads a version."""
        return f"http://{address}/pools/{pool}/versions/{version}"
