"""Decides for which services callers of different size or urgency compete.

Inputs: the configuration in force; whether the back ends of a service report a slowdown.
Rule: a service is contended if the configuration has tenants, if job routes of different priorities
lead to it, or if one of its back ends reports a slowdown, which those do that share their machines.
Purpose: the decisions under load (choice by expected completion, shares by urgent work, order of
groups, admission, fair shares) take effect at contended services only. All others are served in
the order and at the places that load alone gives.
Logged as: nothing; each decision that it switches on has its own event.
Tested by: tests/serving/test_contention.py.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

from crankseam.serving.back_ends import BackEndRegistry
from crankseam.serving.routes import Configuration, RequestKind


def services_with_ranked_jobs(configuration: Configuration) -> frozenset[str]:
    """Return the services to which job routes of different priorities lead."""
    priorities: dict[str, set[int]] = defaultdict(set)
    for route in configuration.routes:
        if route.kind is RequestKind.JOB:
            for share in route.shares:
                priorities[share.service].add(route.priority)
    return frozenset(service for service, found in priorities.items() if len(found) > 1)


class Contention:
    """Tells which services are contended, by the configuration in force.

    Parameters
    ==========

    configuration : returns the configuration in force; None while none is known.
    """

    def __init__(
        self, configuration: Callable[[], Configuration | None], registry: BackEndRegistry
    ) -> None:
        self._configuration = configuration
        self._registry = registry
        self._known: Configuration | None = None
        self._ranked: frozenset[str] = frozenset()

    def is_contended(self, service: str) -> bool:
        """Whether callers compete for a service; see the module's rule."""
        configuration = self._configuration()
        if configuration is None:
            return False
        if configuration.tenants is not None:
            return True
        if configuration is not self._known:
            self._known = configuration
            self._ranked = services_with_ranked_jobs(configuration)
        return service in self._ranked or self._registry.reports_slowdown(service)

    def has_tenants(self) -> bool:
        """Whether the configuration has tenants, among which capacity is shared."""
        configuration = self._configuration()
        return configuration is not None and configuration.tenants is not None


class NoContention:
    """Stands in for `Contention` where no service is contended."""

    def is_contended(self, _service: str) -> bool:
        """See Contention."""
        return False

    def has_tenants(self) -> bool:
        """See Contention."""
        return False
