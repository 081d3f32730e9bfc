"""Fair shares among the tenants of this process's items; decides nothing itself.

Owns one FairQueueing for each model and priority, because items of different models run at
different samplers and the order by priority goes before all shares. Relies on fair_queueing.py for
the order of tenants, on tenant_shares.py for their weights and on departed_tenants.py for tenants
that have left, whose items go after those of all others of their priority. In effect only while the
configuration has tenants; otherwise all starts are equal.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from crankseam.fairness.departed_tenants import DepartedTenants
from crankseam.fairness.fair_queueing import FairQueueing
from crankseam.fairness.open_work import OpenWork
from crankseam.fairness.tenant_shares import handicap_s, weight_in_model
from crankseam.fairness.waits import TenantWaits

MAX_QUEUES = 256
"""Number of pairs of model and priority that are remembered; the one seen first is forgotten
first, and its tenants count as new should it come back."""


class _QueueKey(NamedTuple):
    model: str
    priority: float


class ItemFairness:
    """Order among the tenants that have items or scoring requests waiting in this process.

    Parameters
    ==========

    has_tenants : whether the configuration has tenants.
    waits : reports tenants that wait long.
    """

    def __init__(
        self,
        has_tenants: Callable[[], bool],
        departed: DepartedTenants,
        open_work: OpenWork,
        waits: TenantWaits,
    ) -> None:
        self.waits = waits
        self._has_tenants = has_tenants
        self._departed = departed
        self._open_work = open_work
        self._queues: dict[_QueueKey, FairQueueing] = {}
        departed.on_left.append(self.tenant_left)

    def is_active(self) -> bool:
        """Whether shares are in effect."""
        return self._has_tenants()

    def start_of(self, tenant: str, model: str, priority: float = 0.0) -> float:
        """Return the virtual time at which a tenant's next item starts; smaller goes first.

        Within one round of grants it never decreases. Infinite for a tenant that has left.

        Parameters
        ==========

        model : model of the item; empty for a scoring request.
        priority : priority of the item; starts of different priorities are not comparable.
        """
        if not self.is_active():
            return 0.0
        if self._departed.has_left(tenant):
            return math.inf
        elsewhere = self._open_work.items_elsewhere(tenant, model)
        return self._queue(model, priority).start_of(tenant) + handicap_s(elsewhere)

    def granted(self, tenant: str, model: str, expected_s: float, priority: float = 0.0) -> None:
        """Record that an item of a tenant was granted a place.

        Parameters
        ==========

        expected_s : seconds for which the item is expected to hold its place.
        """
        if not self.is_active():
            return
        self._queue(model, priority).charge(tenant, expected_s)
        self.waits.granted(tenant, expected_s)

    def tenant_left(self, tenant: str) -> None:
        """Forget what a tenant was granted."""
        for queue in self._queues.values():
            queue.forget(tenant)

    def _queue(self, model: str, priority: float) -> FairQueueing:
        key = _QueueKey(model, priority)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = FairQueueing(partial(self._weight, model))
            if len(self._queues) > MAX_QUEUES:
                del self._queues[next(iter(self._queues))]
        return queue

    def _weight(self, model: str, tenant: str) -> float:
        items = self._open_work.items(tenant, model)
        return weight_in_model(items, self._open_work.items_elsewhere(tenant, model))
