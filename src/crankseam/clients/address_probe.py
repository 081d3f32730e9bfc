"""Looks whether anything listens at an address, without asking it anything."""

from __future__ import annotations

import asyncio

REFUSAL_SECONDS = 0.1
"""An address where nothing listens says so within a round trip, between regions too."""


async def refuses_connections(address: str) -> bool:
    """Whether `ip:port` said that nothing listens there; False if it said nothing."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(REFUSAL_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
