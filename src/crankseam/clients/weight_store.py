"""Client of the weight store: a JSON index, and ranged GETs that may be answered 429 or 503.

Owns no connection of its own and tries nothing twice: what a caller does after a WeightStoreError
is its own matter.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import msgspec

from crankseam.errors import CrankseamError

READ_SILENCE_S = 30.0
"""Silence after which a read is given up. Origin not recorded."""
CONNECT_TIMEOUT_S = 1.0
"""Origin not recorded."""
INDEX_TIMEOUT_S = 3.0
"""For the whole index. Origin not recorded."""
CHUNK_BYTES = 4 * 1024 * 1024
"""Written to the file at a time, in a thread. Origin not recorded."""


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
        timeout = aiohttp.ClientTimeout(total=INDEX_TIMEOUT_S)
        url = f"http://{address}/pools/{pool}/versions"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                return msgspec.json.decode(await answer.read(), type=WeightIndex).versions
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise WeightStoreError(type(error).__name__) from error

    async def download(self, address: str, pool: str, version: int, file: Path) -> None:
        """Write a version's bytes to a file, a chunk at a time.

        Raises:
            WeightStoreError: also on the store's 429 and 503; the file may be half written.
        """
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_SILENCE_S
        )
        url = self.source(address, pool, version)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                with await asyncio.to_thread(file.open, "wb") as target:
                    async for chunk in answer.content.iter_chunked(CHUNK_BYTES):
                        await asyncio.to_thread(target.write, chunk)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WeightStoreError(type(error).__name__) from error

    @staticmethod
    def source(address: str, pool: str, version: int) -> str:
        """URL from which a sampler loads a version."""
        return f"http://{address}/pools/{pool}/versions/{version}"
