"""Looks whether anything listens at an address, without asking it anything.

Owns nothing. A refused connection proves that the process there has ended; silence proves nothing.
"""

from __future__ import annotations

import asyncio

REFUSAL_S = 0.1
"""An address where nothing listens says so within a round trip, between regions too. Origin not
recorded."""


async def refuses_connections(address: str) -> bool:
    """Whether `ip:port` said that nothing listens there; False if it said nothing."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(REFUSAL_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False  # silence proves nothing
    writer.close()
    return False
