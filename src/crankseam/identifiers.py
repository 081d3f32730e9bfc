"""Dated identifiers: an idempotency key is a UUID of version 7, whose date bounds how long it is
remembered (RFC 9562)."""

from __future__ import annotations

import os
import time
import uuid

UUID7_VERSION = 7
TIMESTAMP_SHIFT = 80


def new_dated_id() -> str:
    """A new UUID of version 7."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds << TIMESTAMP_SHIFT) | int.from_bytes(os.urandom(10), "big")
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
