"""Recognizes a request that is received again.

Inputs: tenant, method, host, target and body of each request.
Rule: Two requests are the same if the digests of these five values are equal. Nothing else of a
request is compared.
Purpose: No tenant's request is held because of another tenant's request, and bodies are never kept
in memory.
Logged as: the field `fingerprint` of many events.
Tested by: tests/quarantine/test_fingerprint.py.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16
"""128 bits: collisions are neither likely by chance nor feasible to construct."""
LENGTH_BYTES = 8
"""Size of the length prefix of each part. Without it, parts that are divided differently could
concatenate to the same bytes."""


def fingerprint_of(tenant: str, method: str, host: str, target: str, body: bytes) -> str:
    """Returns the digest that identifies a request across retries.

    Explanation
    ===========

    A request that is sent again has another id and another deadline, and often arrives on another
    connection or at another process. Its tenant, method, host, target and body stay the same. The
    digest includes the tenant, so that crashes caused by one tenant's requests never count against
    another tenant. The body itself is never kept.

    Parameters
    ==========

    target : path and query exactly as received.

    Examples
    ========

    >>> first = fingerprint_of("t", "POST", "h", "/p", b"x")
    >>> first == fingerprint_of("t", "POST", "h", "/p", b"x")
    True
    >>> first == fingerprint_of("u", "POST", "h", "/p", b"x")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (tenant, method, host.lower(), target):
        raw = part.encode()
        digest.update(len(raw).to_bytes(LENGTH_BYTES, "big"))
        digest.update(raw)
    digest.update(body)
    return digest.hexdigest()
