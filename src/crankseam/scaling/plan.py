"""Decides how many samplers of which kind each zone of a service should have.

Inputs: the limits that the operator sets, the present samplers of each zone, the number of samplers
that the service needs in total, and the zones that have no samplers available at present.
Rule: if the service has spot samplers, the number of standing ones stays as it is and the rest is
ordered as spot. Otherwise standing samplers are ordered beyond the minimum of each zone. Samplers
are distributed over the zones one by one: each goes to the zone with the fewest, and among these to
the cheapest.
Purpose: all spot samplers of a zone are reclaimed at the same time, so each zone should have as few
of them as possible.
Logged as: `samplers_ordered`.
Tested by: tests/scaling/test_plan.py.
"""

from __future__ import annotations

import math

from crankseam.scaling.model import Kind, Order, ScalingBounds, ZoneSupply


def samplers_for_items(open_items: int, slots: int) -> int:
    """Return how many samplers are needed to give each open item a slot.

    Explanation
    ===========

    A step ends with its longest items, and these end in time only if they start at once. Fewer
    samplers could handle the mean work of a step, but all of its items arrive at the same time.

    Examples
    ========

    >>> samplers_for_items(344, 8)
    43
    """
    return math.ceil(open_items / max(1, slots))


def spread(count: int, limits: dict[str, int], prices: dict[str, float]) -> dict[str, int]:
    """Distribute samplers over zones, and return the number of samplers by zone.

    Each sampler goes to the zone with the fewest samplers, and among these to the cheapest.

    Parameters
    ==========

    count : number of samplers; those beyond the sum of the limits are not distributed.
    limits : maximum number of samplers by zone.
    prices : price of a sampler by zone; 1 for a zone without an entry.

    Examples
    ========

    >>> spread(4, {"a": 3, "b": 3, "c": 0}, {"a": 1.0, "b": 0.8, "c": 0.5})
    {'a': 2, 'b': 2, 'c': 0}
    """
    counts = dict.fromkeys(limits, 0)
    for _ in range(min(count, sum(max(0, limit) for limit in limits.values()))):
        zones = [zone for zone in limits if counts[zone] < limits[zone]]
        chosen = min(zones, key=lambda zone: (counts[zone], prices.get(zone, 1.0), zone))
        counts[chosen] += 1
    return counts


def plan(
    service: str,
    bounds: ScalingBounds,
    supply: dict[str, ZoneSupply],
    desired: int,
    exhausted: set[str],
) -> list[Order]:
    """Return the orders that bring a service to the desired number of samplers.

    If the service has spot samplers, the number of standing ones stays as it is: the operator
    placed them, and they are what remains when the spot samplers are reclaimed. The missing
    samplers are ordered as spot.

    Parameters
    ==========

    supply : present samplers by zone.
    desired : number of samplers of the service in total.
    exhausted : zones that have no samplers available at present; what they lack is ordered in other
        zones.
    """
    if bounds.spot_price is None:
        return _standing_orders(service, bounds, supply, desired, exhausted)
    limits = {
        zone: supply[zone].spot
        if zone in exhausted
        else max(0, bounds.max_samplers - supply[zone].standing)
        for zone in supply
    }
    more = max(0, desired - sum(zone_supply.standing for zone_supply in supply.values()))
    spot_counts = spread(more, limits, bounds.zone_prices)
    return [
        _order(service, zone, Kind.SPOT, spot_counts[zone], desired) for zone in sorted(spot_counts)
    ]


def _standing_orders(
    service: str,
    bounds: ScalingBounds,
    supply: dict[str, ZoneSupply],
    desired: int,
    exhausted: set[str],
) -> list[Order]:
    """Return the orders for a service without spot samplers.

    Each zone gets its minimum, and the remaining samplers are distributed by `spread`.
    """
    limits = {
        zone: supply[zone].standing - bounds.min_samplers
        if zone in exhausted
        else bounds.max_samplers - bounds.min_samplers
        for zone in supply
    }
    minimum = bounds.min_samplers * len(supply)
    additional = spread(max(0, desired - minimum), limits, bounds.zone_prices)
    return [
        _order(service, zone, Kind.STANDING, bounds.min_samplers + additional[zone], desired)
        for zone in sorted(additional)
    ]


def _order(service: str, zone: str, kind: Kind, count: int, desired: int) -> Order:
    return Order(service, zone, kind, count, f"its part of {desired} samplers of the service")
