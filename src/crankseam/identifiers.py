"""Dated identifiers: an idempotency key is a UUID of version 7 (RFC 9562).

The timestamp in the id bounds how long a request is remembered: a request whose id is older is
refused and never run.
"""

from __future__ import annotations

import os
import uuid

from crankseam import clocks

UUID7_VERSION = 7
TIMESTAMP_SHIFT = 80
"""Number of bits below the 48-bit timestamp (RFC 9562, 5.7)."""


def new_uuid7() -> str:
    """Return a new UUID of version 7, dated by the wall clock."""
    value = (clocks.wall_ms() << TIMESTAMP_SHIFT) | int.from_bytes(os.urandom(10), "big")
    value = (value & ~(0xF << 76)) | (UUID7_VERSION << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def timestamp_ms_of(identifier: str) -> int:
    """Return the time at which the id was created, in milliseconds since the Unix epoch.

    Raises
    ======

    ValueError : the identifier is not a UUID of version 7.
    """
    value = uuid.UUID(identifier)
    if value.version != UUID7_VERSION:
        raise ValueError("not a UUID of version 7")
    return value.int >> TIMESTAMP_SHIFT
