"""How many samplers of which kind is each zone of a service to hold?

Inputs: what the operator allows, what each zone holds, how many are needed altogether, and the
zones that have none to give now.
Rule: where there are spot samplers, the standing ones stay as they are and the rest is ordered as
spot; else standing ones are ordered beyond the smallest counts. Zones get them one by one: the one
with fewest first, the cheapest of these.
Protects: spot samplers of a zone go all at once, so each zone holds as few of them as may be.
Shown by: `samplers_ordered`. Held by: tests/scaling/test_plan.py.
"""

from __future__ import annotations

import math

from crankseam.scaling.model import Kind, Order, ScalingBounds, ZoneSupply


def samplers_for(open_items: int, slots: int) -> int:
    """Samplers on which so many items have a slot each.

    Explanation
    ===========

    A step ends with its longest items, and these end in time only if they begin at once: the mean
    work of a step would fit fewer samplers, but its items come at one moment.

    Examples
    ========

    >>> samplers_for(344, 8)
    43
    """
    return math.ceil(open_items / max(1, slots))


def spread(count: int, room: dict[str, int], prices: dict[str, float]) -> dict[str, int]:
    """Spread samplers over zones one by one: to the zone with fewest, the cheapest of these first.

    Parameters
    ==========

    room : the most that each zone takes.
    prices : of a sampler, by zone; 1 where it is not given.

    Examples
    ========

    >>> spread(4, {"a": 3, "b": 3, "c": 0}, {"a": 1.0, "b": 0.8, "c": 0.5})
    {'a': 2, 'b': 2, 'c': 0}
    """
    counts = dict.fromkeys(room, 0)
    for _ in range(min(count, sum(max(0, one) for one in room.values()))):
        zones = [zone for zone in room if counts[zone] < room[zone]]
        chosen = min(zones, key=lambda zone: (counts[zone], prices.get(zone, 1.0), zone))
        counts[chosen] += 1
    return counts


def plan(
    service: str,
    bounds: ScalingBounds,
    supply: dict[str, ZoneSupply],
    wanted: int,
    dry: set[str],
) -> list[Order]:
    """Orders that bring a service to so many samplers.

    Where there are spot samplers, the standing ones stay as they are: the operator put them there,
    and they are what is left when the others are taken away. What is missing is ordered as spot.

    Parameters
    ==========

    supply : what each zone holds now.
    wanted : samplers altogether.
    dry : zones where none can be had now; what they lack is ordered elsewhere.
    """
    if bounds.spot_price is None:
        return _standing_orders(service, bounds, supply, wanted, dry)
    room = {
        zone: supply[zone].spot if zone in dry else max(0, bounds.largest - supply[zone].standing)
        for zone in supply
    }
    more = max(0, wanted - sum(one.standing for one in supply.values()))
    spots = spread(more, room, bounds.zone_prices)
    return [_order(service, zone, Kind.SPOT, spots[zone], wanted) for zone in sorted(spots)]


def _standing_orders(
    service: str,
    bounds: ScalingBounds,
    supply: dict[str, ZoneSupply],
    wanted: int,
    dry: set[str],
) -> list[Order]:
    """Orders where there are no spot samplers: beyond the smallest counts, spread likewise."""
    room = {
        zone: supply[zone].standing - bounds.smallest
        if zone in dry
        else bounds.largest - bounds.smallest
        for zone in supply
    }
    base = bounds.smallest * len(supply)
    extra = spread(max(0, wanted - base), room, bounds.zone_prices)
    return [
        _order(service, zone, Kind.STANDING, bounds.smallest + extra[zone], wanted)
        for zone in sorted(extra)
    ]


def _order(service: str, zone: str, kind: Kind, count: int, wanted: int) -> Order:
    return Order(service, zone, kind, count, f"its part of {wanted} samplers of the service")
