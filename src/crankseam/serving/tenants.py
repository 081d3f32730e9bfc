"""Tenants: whose a request is, by the API key that its caller shows.

Keys are kept as digests only, so that nothing that is logged, shown or dumped holds one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

LONGEST_KEY_BYTES = 1024
"""A longer key is not known, whatever a configuration says; hashing it would cost more than it is
worth."""
SCHEME = "bearer"
"""The one scheme of RFC 6750; schemes are written in either case."""
NO_TENANT = ""
"""Name of the tenant of what nobody in particular owns."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant. ``priority`` goes before that of a route; None leaves the route's."""

    name: str
    priority: int | None = None


def effective_priority(tenant: Tenant | None, of_route: int) -> int:
    """The priority of a tenant's requests: 0 goes first."""
    if tenant is None or tenant.priority is None:
        return of_route
    return tenant.priority


class TenantsInvalid(ValueError):
    """Two tenants hold one key, or a key is none; no text of this error holds a key."""


def digest_of_key(key: str) -> bytes:
    """What is kept of a key.

    Keys are long random texts, so a plain hash is enough: there is nothing to guess.
    """
    return hashlib.sha256(key.encode()).digest()


@dataclass(frozen=True, slots=True)
class TenantDirectory:
    """The tenants of one configuration, by the digests of their keys.

    Examples
    ========

    >>> directory = TenantDirectory.of([(Tenant("clinics"), ["k1", "k2"])])
    >>> directory.of_key("k2").name
    'clinics'
    >>> directory.of_key("k3") is None
    True
    """

    by_digest: dict[bytes, Tenant] = field(default_factory=dict)

    @classmethod
    def of(cls, entries: Iterable[tuple[Tenant, Sequence[str]]]) -> TenantDirectory:
        """The directory of tenants with their keys; raises TenantsInvalid."""
        by_digest: dict[bytes, Tenant] = {}
        for tenant, keys in entries:
            for key in keys:
                if not key or len(key.encode()) > LONGEST_KEY_BYTES:
                    raise TenantsInvalid(f"a key of tenant {tenant.name} is empty or too long")
                other = by_digest.setdefault(digest_of_key(key), tenant)
                if other.name != tenant.name:
                    raise TenantsInvalid(f"tenants {other.name} and {tenant.name} share a key")
        return cls(by_digest)

    def of_key(self, key: str) -> Tenant | None:
        """The tenant that holds a key; None if nobody does."""
        if not key or len(key.encode(errors="replace")) > LONGEST_KEY_BYTES:
            return None
        return self.by_digest.get(digest_of_key(key))


def shown_key(authorizations: Sequence[str]) -> str | None:
    """The key that a request shows by its ``Authorization`` headers.

    None unless there is just one such header, of the scheme `Bearer`, with one key.
    """
    if len(authorizations) != 1:
        return None
    scheme, _, key = authorizations[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key or " " in key:
        return None
    return key
