"""Reports tenants whose items or requests wait long, with the shares of the work granted here.

Inputs: for each tenant that waits after a round, the number of its waiting requests and the longest
wait, by this process's clock; the work that this process granted to each tenant in the last one to
two periods of SHARE_PERIOD_S.
Rule: a tenant is reported if it has waited for REPORTED_WAIT_S, at most once in REPORT_INTERVAL_S.
Purpose: tells an operator whether a tenant waited behind others or behind its own work.
Logged as: `tenant_waited`.
Tested by: tests/fairness/test_waits.py.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from crankseam import clocks

log = logging.getLogger(__name__)

REPORTED_WAIT_S = 1.0
"""Callers' requests with shorter waits are within the bounds of their routes."""
REPORT_INTERVAL_S = 5.0
"""Seconds between two lines about one tenant."""
LOOK_INTERVAL_S = 0.5
"""Seconds between two counts of what waits, since a count visits every waiting request."""
SHARE_PERIOD_S = 10.0
"""Length of a period over which granted work is summed: a training step takes a few seconds."""
MAX_REPORTED = 1024
"""Number of tenants whose last report is remembered, and whose work is summed in one period."""


class WaitingRequest(NamedTuple):
    """One waiting request: whose it is, and the time of its arrival by the reports' clock."""

    tenant: str
    arrived_s: float


class GrantedShares(NamedTuple):
    """Shares of the work granted lately, as fractions of all of it; 0 if nothing was granted."""

    own: float
    largest_other: float


class TenantWaits:
    """Reports of one process.

    Parameters
    ==========

    clock : returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = clocks.monotonic_s) -> None:
        self._clock = clock
        self._granted_s: dict[str, float] = {}
        self._granted_before_s: dict[str, float] = {}
        self._period_began_s = clock()
        self._looked_s = float("-inf")
        self._reported_s: dict[str, float] = {}

    def granted(self, tenant: str, work_s: float) -> None:
        """Add work that a tenant was granted."""
        self._start_period_if_due()
        if tenant in self._granted_s or len(self._granted_s) < MAX_REPORTED:
            self._granted_s[tenant] = self._granted_s.get(tenant, 0.0) + work_s

    def _start_period_if_due(self) -> None:
        now = self._clock()
        elapsed_s = now - self._period_began_s
        if elapsed_s < SHARE_PERIOD_S:
            return
        is_recent = elapsed_s < 2.0 * SHARE_PERIOD_S
        self._granted_before_s = self._granted_s if is_recent else {}
        self._granted_s = {}
        self._period_began_s = now

    def shares(self, tenant: str) -> GrantedShares:
        """Return a tenant's share of the work granted lately, and the largest other share."""
        self._start_period_if_due()
        granted_s = dict(self._granted_before_s)
        for name, work_s in self._granted_s.items():
            granted_s[name] = granted_s.get(name, 0.0) + work_s
        total_s = sum(granted_s.values())
        if total_s <= 0.0:
            return GrantedShares(0.0, 0.0)
        own_s = granted_s.pop(tenant, 0.0)
        return GrantedShares(own_s / total_s, max(granted_s.values(), default=0.0) / total_s)

    def is_due(self) -> bool:
        """Whether what waits should be counted now; see LOOK_INTERVAL_S."""
        return abs(self._clock() - self._looked_s) >= LOOK_INTERVAL_S

    def look(self, waiting: Iterable[WaitingRequest]) -> None:
        """Report the tenants that have waited long."""
        now = self._looked_s = self._clock()
        counts: Counter[str] = Counter()
        oldest_s: dict[str, float] = {}
        for tenant, arrived_s in waiting:
            counts[tenant] += 1
            oldest_s[tenant] = min(arrived_s, oldest_s.get(tenant, arrived_s))
        for tenant, arrived_s in oldest_s.items():
            if now - arrived_s >= REPORTED_WAIT_S and self._may_report(tenant, now):
                self._report(tenant, counts[tenant], now - arrived_s)

    def _may_report(self, tenant: str, now: float) -> bool:
        reported_s = self._reported_s.pop(tenant, float("-inf"))
        is_due = abs(now - reported_s) >= REPORT_INTERVAL_S
        self._reported_s[tenant] = now if is_due else reported_s
        if len(self._reported_s) > MAX_REPORTED:
            del self._reported_s[next(iter(self._reported_s))]
        return is_due

    def _report(self, tenant: str, waiting: int, waited_s: float) -> None:
        shares = self.shares(tenant)
        log.info(
            "tenant_waited",
            extra={
                "tenant": tenant,
                "waiting": waiting,
                "waited_s": round(waited_s, 3),
                "share": round(shares.own, 3),
                "largest_other": round(shares.largest_other, 3),
            },
        )
