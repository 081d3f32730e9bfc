"""Client of the platform's list of machines: a JSON document that is polled and may be out of date.

If the list cannot be read, the failure is logged and the result is empty. An empty result therefore
does not mean that there are no machines.
"""

from __future__ import annotations

import logging

import aiohttp
import msgspec

from crankseam.clients.bounded_responses import bounded_connector, read_limited

log = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 2.0
"""Timeout of one request for the list."""


class Machine(msgspec.Struct, frozen=True):
    """One machine in the list."""

    name: str
    zone: str
    peer_address: str
    state: str = "live"
    """`live`, `leaving` or `gone`."""


class MachineList(msgspec.Struct):
    """The JSON document that the platform serves."""

    machines: list[Machine] = []


class MachineListClient:
    """Reads the list of machines, which may be out of date or unavailable."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/machines"
        self._session: aiohttp.ClientSession | None = None

    async def fetch_or_empty(self) -> list[Machine]:
        """Return the machines in the list; empty if the list cannot be read."""
        if self._session is None:
            self._session = aiohttp.ClientSession(connector=bounded_connector())
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
        try:
            async with self._session.get(self._url, timeout=timeout) as answer:
                answer.raise_for_status()
                content = await read_limited(answer)
            return msgspec.json.decode(content, type=MachineList).machines
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            log.info("machine list not read", extra={"error": type(error).__name__})
            return []

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
