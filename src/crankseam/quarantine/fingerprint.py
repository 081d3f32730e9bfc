"""Are two requests the same one that came twice?

Inputs: tenant, method, host, target and body of each.
Rule: they are if the digests of these five are equal; nothing else of a request counts.
Protects: tenants from being held back for others; the memory of bodies, which are never kept.
Shown by: `fingerprint` of many events. Held by: tests/quarantine/test_fingerprint.py.
"""

from __future__ import annotations

import hashlib

DIGEST_BYTES = 16
"""128 bits: two different requests do not meet by chance, and nobody makes them meet."""
LENGTH_BYTES = 8
"""Bytes of the length before each part, so that no two requests run together to the same text."""


def fingerprint_of(tenant: str, method: str, host: str, target: str, body: bytes) -> str:
    """The digest of what a back end works on, and for whom.

    Explanation
    ===========

    A request that comes again has another id and another deadline, and often another connection
    and process. Tenant, method, host, target and body are what stays. The tenant is part of it, so
    that no tenant's requests count for another's. The body is never kept.

    Parameters
    ==========

    target : path and query as they stood in the request.

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
