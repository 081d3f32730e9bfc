"""Tenants, and the lookup of a request's tenant by the API key that the caller presents.

Keys are stored only as digests, so that nothing that is logged, displayed or dumped contains a key.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

MAX_KEY_BYTES = 1024
"""Longer keys are rejected in a configuration and unknown in a request. This bounds the cost of
hashing a key."""
BEARER_SCHEME = "bearer"
"""The authentication scheme of RFC 6750, in lower case: scheme names are case-insensitive."""
NO_TENANT = ""
"""Tenant name of requests and jobs that belong to no tenant."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant.

    Attributes
    ==========

    priority : overrides the priority of the route; None keeps the route's priority.
    """

    name: str
    priority: int | None = None


def effective_priority(tenant: Tenant | None, route_priority: int) -> int:
    """Return the priority of a tenant's requests; 0 is served first."""
    if tenant is None or tenant.priority is None:
        return route_priority
    return tenant.priority


class TenantsInvalid(ValueError):
    """Two tenants share a key, or a key is empty or too long.

    The message never contains a key.
    """


def key_digest(key: str) -> bytes:
    """Return the digest under which a key is stored.

    A plain hash is sufficient: keys are long random strings, which cannot be found by guessing.
    """
    return hashlib.sha256(key.encode()).digest()


@dataclass(frozen=True, slots=True)
class TenantDirectory:
    """The tenants of one configuration, indexed by the digests of their keys.

    Examples
    ========

    >>> directory = TenantDirectory.of([(Tenant("clinics"), ["k1", "k2"])])
    >>> directory.find_by_key("k2").name
    'clinics'
    >>> directory.find_by_key("k3") is None
    True
    """

    by_digest: dict[bytes, Tenant] = field(default_factory=dict)

    @classmethod
    def of(cls, entries: Iterable[tuple[Tenant, Sequence[str]]]) -> TenantDirectory:
        """Build a directory from tenants and their keys.

        Raises
        ======

        TenantsInvalid : two tenants share a key, or a key is empty or too long.
        """
        by_digest: dict[bytes, Tenant] = {}
        for tenant, keys in entries:
            for key in keys:
                if not key or len(key.encode()) > MAX_KEY_BYTES:
                    raise TenantsInvalid(f"a key of tenant {tenant.name} is empty or too long")
                other = by_digest.setdefault(key_digest(key), tenant)
                if other.name != tenant.name:
                    raise TenantsInvalid(f"tenants {other.name} and {tenant.name} share a key")
        return cls(by_digest)

    def find_by_key(self, key: str) -> Tenant | None:
        """Return the tenant that owns a key, or None."""
        if not key or len(key.encode(errors="replace")) > MAX_KEY_BYTES:
            return None
        return self.by_digest.get(key_digest(key))


def bearer_key(authorizations: Sequence[str]) -> str | None:
    """Return the API key from the ``Authorization`` headers of a request.

    Returns None unless there is exactly one such header, with the scheme `Bearer` and one key.
    """
    if len(authorizations) != 1:
        return None
    scheme, _, key = authorizations[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != BEARER_SCHEME or not key or " " in key:
        return None
    return key
