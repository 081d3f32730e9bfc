"""Tells which tenants have left the configuration in force.

Inputs: each configuration that comes into force, compared with the one before; the open items of a
tenant that left, from the keys of open jobs.
Rule: a tenant has left if an earlier configuration had a key of it and the one in force has none.
It counts as present again as soon as a configuration has one. A configuration without tenants
(authentication off) resets this: afterwards none counts as having left. A tenant that this process
has never seen has not left: its job may have come from a process that knows a newer configuration.
Purpose: the items of a tenant that was removed, or whose keys were revoked, take no slot for which
another tenant waits.
Logged as: `tenant_share_freed`.
Tested by: tests/fairness/test_departed_tenants.py.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from crankseam.fairness.open_work import OpenWork
from crankseam.serving.routes import Configuration

log = logging.getLogger(__name__)

MAX_DEPARTED = 1024
"""Number of tenants that are remembered as departed. Beyond it the one that left first is
forgotten: the jobs that it left behind have ended long since."""


def tenant_names(configuration: Configuration) -> frozenset[str]:
    """Return the names of the tenants of a configuration that have a key."""
    if configuration.tenants is None:
        return frozenset()
    return frozenset(tenant.name for tenant in configuration.tenants.by_digest.values())


class DepartedTenants:
    """Follows the tenants of the configuration in force.

    Attributes
    ==========

    on_left : callbacks invoked once with the name of each tenant that left.
    """

    def __init__(self, open_work: OpenWork) -> None:
        self.on_left: list[Callable[[str], None]] = []
        self._open_work = open_work
        self._present: frozenset[str] = frozenset()
        self._departed: dict[str, None] = {}

    def has_left(self, tenant: str) -> bool:
        """Whether a tenant has left the configuration in force."""
        return tenant in self._departed

    def configured(self, configuration: Configuration) -> None:
        """Handle a configuration that has come into force."""
        present = tenant_names(configuration)
        for tenant in present:
            self._departed.pop(tenant, None)
        left, self._present = self._present - present, present
        if configuration.tenants is None:
            self._departed.clear()
            return
        for tenant in sorted(left):
            self._leave(tenant, configuration.version)

    def _leave(self, tenant: str, version: int) -> None:
        self._departed[tenant] = None
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        for notify in self.on_left:
            notify(tenant)
        log.info(
            "tenant_share_freed",
            extra={
                "tenant": tenant,
                "version": version,
                "open_items": self._open_work.total_items(tenant),
            },
        )
