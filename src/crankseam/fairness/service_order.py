"""Offers the order among tenants to the waiting lines of forwarded requests.

Owns one FairQueueing for each service and priority of this process. Callers' requests come to any
process, and nothing tells how many of a tenant wait elsewhere, so all tenants weigh the same. In
effect only while the configuration has tenants; otherwise all starts are equal.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple

from crankseam.fairness.departed_tenants import DepartedTenants
from crankseam.fairness.fair_queueing import FairQueueing
from crankseam.serving.fair_order import FairOrder


class _LineKey(NamedTuple):
    service: str
    priority: int


class LineOrder:
    """Implementation of FairOrder for one waiting line; in effect only with tenants."""

    def __init__(self, has_tenants: Callable[[], bool], departed: DepartedTenants) -> None:
        self._has_tenants = has_tenants
        self._departed = departed
        self._queueing = FairQueueing()
        departed.on_left.append(self._queueing.forget)

    def start_of(self, tenant: str) -> float:
        """See FairOrder; infinite for a tenant that has left."""
        if not self._has_tenants():
            return 0.0
        if self._departed.has_left(tenant):
            return math.inf
        return self._queueing.start_of(tenant)

    def charge(self, tenant: str, work_s: float) -> None:
        """See FairOrder."""
        if self._has_tenants():
            self._queueing.charge(tenant, work_s)


class ServiceFairness:
    """The orders of this process's waiting lines, by service and priority."""

    def __init__(self, has_tenants: Callable[[], bool], departed: DepartedTenants) -> None:
        self._has_tenants = has_tenants
        self._departed = departed
        self._orders: dict[_LineKey, LineOrder] = {}

    def order_of(self, service: str, priority: int = 0) -> FairOrder:
        """Return the order of the waiting line of one priority at a service of a configuration."""
        key = _LineKey(service, priority)
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = LineOrder(self._has_tenants, self._departed)
        return order
