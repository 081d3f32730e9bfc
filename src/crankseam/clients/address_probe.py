"""Checks whether any process listens at an address, without sending it a request.

A refused connection proves that the process there has ended; a time-out proves nothing.
"""

from __future__ import annotations

import asyncio

CONNECT_TIMEOUT_S = 0.1
"""An address where nothing listens refuses a connection within one round trip, which is shorter
than this between regions too."""


async def refuses_connections(address: str) -> bool:
    """Whether `ip:port` refuses a connection; False on success, time-out or another error."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False  # only a refused connection proves that the process ended
    writer.close()
    return False
