"""Client of the platform's list of machines: polled JSON, which lags behind the truth.

Owns its connection. A list that cannot be read is empty and logged; nothing may be concluded from
that.
"""

from __future__ import annotations

import logging

import aiohttp
import msgspec

log = logging.getLogger(__name__)

TIMEOUT_S = 2.0
"""For one reading of the list. Origin not recorded."""


class Machine(msgspec.Struct, frozen=True):
    """One machine of the list."""

    name: str
    zone: str
    peer_address: str
    state: str = "live"
    """`live`, `leaving` or `gone`."""


class MachineList(msgspec.Struct):
    """The document that the platform serves."""

    machines: list[Machine] = []


class MachineListClient:
    """Reads the list; it may be late and may be down."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/machines"
        self._session: aiohttp.ClientSession | None = None

    async def fetch_or_empty(self) -> list[Machine]:
        """The machines listed now; empty when the list cannot be read."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as answer:
                answer.raise_for_status()
                content = await answer.read()
            return msgspec.json.decode(content, type=MachineList).machines
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            log.info("machine list not read", extra={"error": type(error).__name__})
            return []

    async def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            await self._session.close()
