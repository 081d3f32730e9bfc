"""Decides which tenant's waiting request goes first: start-time fair queueing by tenant.

Inputs: the work, in seconds of an occupied slot, that each tenant was granted here, as expected
when it started; the tenants' weights. No clock.
Rule: each grant moves the tenant's finish on by its work divided by its weight, from the later of
the tenant's last finish and the virtual time; the virtual time is the latest start of a grant. The
tenant whose next grant starts earliest goes first. Among tenants whose last finish the virtual time
has passed, the one passed by more goes first; they start at most MAX_LEAD_S before the virtual
time.
Purpose: tenants that wait at the same time get work in proportion to their weights, whatever they
have waiting, and idle time earns no claim to later work.
Logged as: `tenant_waited` of waits.py.
Tested by: tests/fairness/test_fair_queueing.py.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable

MAX_TENANTS = 1024
"""Number of tenants whose last finish is kept. Beyond it the tenant whose last grant is the oldest
is forgotten, and counts as new."""
MAX_LEAD_S = 0.01
"""Bound of the lead of a tenant that the virtual time has passed. It only has to tell such tenants
apart: without it, those that other constraints hold back would be tied, and the one with the oldest
backlog would always win the tie."""
LEAD_SCALE_S = 1.0
"""Virtual seconds by which a tenant is passed when it has half of the lead."""
MIN_WEIGHT = 0.01
"""Smaller weights count as this one, so that no grant excludes a tenant for good."""
MAX_WORK_S = 600.0
"""Longer expectations count as this one, for the same reason."""

WeightOf = Callable[[str], float]
"""Returns the weight of a tenant; 1 is the full share."""


def full_weight(_tenant: str) -> float:
    """Weight of tenants that share equally."""
    return 1.0


def bounded(value: float, lowest: float, highest: float) -> float:
    """Return a value within bounds; the upper one in place of NaN."""
    return highest if math.isnan(value) else min(max(value, lowest), highest)


class FairQueueing:
    """Implementation of FairOrder: start-time fair queueing by tenant.

    Parameters
    ==========

    weight_of : returns a tenant's weight at the time of a grant.
    max_tenants : number of tenants that are remembered.

    Examples
    ========

    >>> order = FairQueueing()
    >>> order.charge("large", 5.0)
    >>> order.start_of("large") > order.start_of("small")
    True
    """

    def __init__(self, weight_of: WeightOf = full_weight, max_tenants: int = MAX_TENANTS) -> None:
        self._weight_of = weight_of
        self._max_tenants = max_tenants
        self._virtual_s = 0.0
        self._finishes: OrderedDict[str, float] = OrderedDict()
        """Virtual time at which a tenant's granted work ends, the oldest last grant first."""

    def start_of(self, tenant: str) -> float:
        """See FairOrder. The start of a tenant never decreases while the tenant is remembered."""
        finish_s = self._finishes.get(tenant)
        if finish_s is None:
            return self._virtual_s - MAX_LEAD_S
        passed_by_s = self._virtual_s - finish_s
        if passed_by_s <= 0.0:
            return finish_s
        return self._virtual_s - MAX_LEAD_S * passed_by_s / (passed_by_s + LEAD_SCALE_S)

    def charge(self, tenant: str, work_s: float) -> None:
        """See FairOrder."""
        start_s = max(self._virtual_s, self._finishes.get(tenant, self._virtual_s))
        weight = bounded(self._weight_of(tenant), MIN_WEIGHT, 1.0)
        self._virtual_s = start_s
        self._finishes[tenant] = start_s + bounded(work_s, 0.0, MAX_WORK_S) / weight
        self._finishes.move_to_end(tenant)
        if len(self._finishes) > self._max_tenants:
            self._finishes.popitem(last=False)

    def forget(self, tenant: str) -> None:
        """Forget a tenant that is gone; should it come back, it counts as new."""
        self._finishes.pop(tenant, None)

    def tenant_count(self) -> int:
        """Return the number of tenants that are remembered."""
        return len(self._finishes)
