"""Waits for a condition instead of a fixed time."""

import asyncio
import time

LONGEST_SECONDS = 30.0


async def eventually(condition, what="the condition"):
    """Return once `condition()` is true; fail if it is still false after `LONGEST_SECONDS`."""
    end = time.monotonic() + LONGEST_SECONDS
    while not condition():
        assert time.monotonic() < end, f"not true within {LONGEST_SECONDS} s: {what}"
        await asyncio.sleep(0.005)
