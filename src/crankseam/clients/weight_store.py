"""Client of the weight store: a JSON index, and ranged GETs that may be answered 429 or 503.

The client uses the session of its caller and never retries; after a `WeightStoreError`, retries are
up to the caller.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import aiohttp
import msgspec

from crankseam.clients.bounded_responses import read_limited
from crankseam.errors import CrankseamError

READ_TIMEOUT_S = 30.0
"""A read fails after this time without data."""
CONNECT_TIMEOUT_S = 1.0
INDEX_TIMEOUT_S = 3.0
"""Timeout for reading the whole index."""
CHUNK_BYTES = 4 * 1024 * 1024
"""Size of the chunks in which a download is written to its file, in a thread."""


class WeightStoreError(CrankseamError):
    """The store gave no usable answer; a later attempt may succeed."""


class WeightIndex(msgspec.Struct):
    """The versions published for a pool, oldest first."""

    versions: list[int] = []


class WeightStoreClient:
    """Reads the index and downloads weights. Samplers load weights from the store themselves."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def versions(self, address: str, pool: str) -> list[int]:
        """Return the published versions of a pool. Raises WeightStoreError."""
        timeout = aiohttp.ClientTimeout(total=INDEX_TIMEOUT_S)
        url = f"http://{address}/pools/{pool}/versions"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                return msgspec.json.decode(await read_limited(answer), type=WeightIndex).versions
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise WeightStoreError(type(error).__name__) from error

    async def download(self, address: str, pool: str, version: int, file: Path) -> None:
        """Download a version to a file, in chunks.

        Raises:
            WeightStoreError: the download failed, or the store answered with an error such as 429
                or 503. The file may be incomplete.
        """
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
        )
        url = self.version_url(address, pool, version)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                with await asyncio.to_thread(file.open, "wb") as target:
                    async for chunk in answer.content.iter_chunked(CHUNK_BYTES):
                        await asyncio.to_thread(target.write, chunk)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WeightStoreError(type(error).__name__) from error

    @staticmethod
    def version_url(address: str, pool: str, version: int) -> str:
        """Return the URL of a version, for a download or for a sampler's load order."""
        return f"http://{address}/pools/{pool}/versions/{version}"
