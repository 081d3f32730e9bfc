"""How many slots of its back ends a service keeps free of scoring requests, for callers.

Inputs: the average number of this process's own forwarded requests that run at the service
(`caller_work`), over some seconds; the number of live processes, as known to this process; the
slots of the service's back ends by discovery.
Rule: the load balancer spreads callers evenly, so all processes together run as many times more
requests as there are processes. Reserved are that many slots and BURST_DEVIATIONS times the square
root of it, spread evenly over the back ends: at least MIN_RESERVED_SLOTS of each, and at most as
much as at a service that is not contended (SCORING_SLOTS_SHARE of jobs/urgency.py). That is also
reserved while this process has not run long enough to tell.
Purpose: texts that are whole do not wait for their score while slots idle that no caller needs.
Logged as: `scoring_sent`, whose `seconds` include the wait for a place.
Tested by: tests/jobs/test_scoring_reserve.py.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from crankseam.jobs.urgency import SCORING_SLOTS_SHARE
from crankseam.serving.back_ends import BackEndRegistry, slots_of
from crankseam.serving.caller_work import CallerWork
from crankseam.serving.contention import Contention, NoContention
from crankseam.serving.routes import Route

BURST_DEVIATIONS = 3.0
"""Headroom for bursts, in standard deviations of a number of requests that arrive independently."""
MIN_RESERVED_SLOTS = 2
"""Slots of each back end that scoring requests leave free, up to the largest reserve. One would not
do: several processes send scoring requests by reports that are a little old, and exceed their part
by one at times."""
ROUNDING_MARGIN_SLOTS = 0.5
"""Subtracted from the slots that are left before their share is computed. Share times slots then
lies between two whole numbers, and no rounding error lets one request more in."""


def reserved_slots(callers_running: float, back_ends: int) -> int:
    """Return how many slots of each back end are reserved for callers.

    Parameters
    ==========

    callers_running : requests of all callers that run at the service at the same time, on average.
    back_ends : number of back ends of the service.

    Examples
    ========

    >>> [reserved_slots(running, 9) for running in (0.0, 2.0, 4.0, 30.0)]
    [2, 2, 2, 6]
    """
    needed = callers_running + BURST_DEVIATIONS * math.sqrt(callers_running)
    return max(MIN_RESERVED_SLOTS, math.ceil(needed / max(1, back_ends)))


def scoring_share(callers_running: float, slots: list[int]) -> float:
    """Return the share of each back end's slots that scoring requests may fill.

    Parameters
    ==========

    slots : number of slots of each back end of the service.

    Examples
    ========

    >>> [scoring_share(running, [8] * 9) for running in (0.0, 12.0, 300.0)]
    [0.6875, 0.5625, 0.5]
    """
    if not slots:
        return SCORING_SLOTS_SHARE
    fewest = min(slots)
    left = fewest - reserved_slots(callers_running, len(slots)) - ROUNDING_MARGIN_SLOTS
    return max(SCORING_SLOTS_SHARE, left / fewest)


class ScoringReserve:
    """Computes the reserve of each service from what this process forwards there.

    Parameters
    ==========

    process_count : returns the number of live processes, this one included.
    """

    def __init__(
        self,
        contention: Contention | NoContention,
        registry: BackEndRegistry,
        caller_work: CallerWork,
        process_count: Callable[[], int],
    ) -> None:
        self._contention = contention
        self._registry = registry
        self._caller_work = caller_work
        self._process_count = process_count

    def slots_share(self, route: Route | None) -> float:
        """Return the share of slots that scoring requests of a route may fill.

        The smallest one counts if the route leads to several services.
        """
        if route is None or not self._caller_work.is_known():
            return SCORING_SLOTS_SHARE
        return min(self._share_at(share.service) for share in route.shares)

    def _share_at(self, service: str) -> float:
        if not self._contention.is_contended(service):
            return SCORING_SLOTS_SHARE
        own = self._caller_work.average_running(service)
        slots = [slots_of(back_end) for back_end in self._registry.of_service(service)]
        return scoring_share(own * max(1, self._process_count()), slots)


def fixed_reserve() -> ScoringReserve:
    """Return the reserve of services that are not contended, for parts without a front."""
    return ScoringReserve(NoContention(), BackEndRegistry(), CallerWork(), lambda: 1)
