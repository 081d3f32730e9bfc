"""Dated identifiers: an idempotency key is a UUID of version 7 (RFC 9562).

Owns the form of the id. Its date bounds how long a request is remembered: an older id is refused
and never run.
"""

from __future__ import annotations

import os
import uuid

from crankseam import clocks

UUID7_VERSION = 7
TIMESTAMP_SHIFT = 80
"""Bits below the 48 of the date (RFC 9562, 5.7)."""


def new_dated_id() -> str:
    """A new UUID of version 7."""
    value = (clocks.wall_ms() << TIMESTAMP_SHIFT) | int.from_bytes(os.urandom(10), "big")
    value = (value & ~(0xF << 76)) | (UUID7_VERSION << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def date_of(identifier: str) -> int:
    """Milliseconds since 1970 at which the id was made.

    Raises:
        ValueError: it is no UUID of version 7.
    """
    value = uuid.UUID(identifier)
    if value.version != UUID7_VERSION:
        raise ValueError("not a UUID of version 7")
    return value.int >> TIMESTAMP_SHIFT
