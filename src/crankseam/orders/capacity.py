"""Computes the capacity of samplers: how much work each can do in the same time.

Inputs: the slots of each sampler, from discovery; the steady paces of the samplers, observed by
this process or by others, each at most 15 s old.
Rule: the capacity of a sampler is its number of slots divided by its relative pace, which is its
pace divided by the median pace of the service. A sampler whose pace has never been known counts as
a median one. A relative pace is kept until it deviates by more than a tolerance, and while the pace
is unknown. The needs of models are measured on samplers of all paces, so they are compared with
the number of slots of the service.
Purpose: a sampler that takes twice as long serves half as many items, so counting samplers gives
too little to the model that has the slow ones. Small changes of pace must not move a sampler.
Logged as: `capacity_shared`.
Tested by: tests/orders/test_capacity.py.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from crankseam.orders.assignment import DEFAULT_SLOTS
from crankseam.serving.back_ends import BackEnd

PACE_TOLERANCE = 0.15
"""Relative change of a relative pace up to which the previous value is kept: the width of a pace
class (`crankseam.serving.paces`), within which samplers count as equally fast."""
POSSIBLE_PACES_S = (1e-6, 3600.0)
"""Shortest and longest pace, in seconds, that a sampler can have. Others count as unknown: they are
read from stored tables, and a pace of 0 would be an infinite capacity."""
MEDIAN_PACE = 1.0
"""Relative pace of a sampler whose pace is unknown."""


def slots_of(sampler: BackEnd) -> int:
    """Return the number of slots of a sampler, or a default if it reports none."""
    return sampler.record.slots if sampler.record.slots > 0 else DEFAULT_SLOTS


def total_slots(samplers: Iterable[BackEnd]) -> int:
    """Return the number of slots of a service."""
    return sum(slots_of(sampler) for sampler in samplers)


def relative_paces(paces_s: dict[str, float], previous: dict[str, float]) -> dict[str, float]:
    """Return the paces of a service's samplers relative to their median.

    Parameters
    ==========

    paces_s : steady pace by sampler id, in seconds, for the samplers whose pace is known.
    previous : result of the previous call.

    Examples
    ========

    >>> relative_paces({"a": 0.1, "b": 0.1, "c": 0.2}, {})
    {'a': 1.0, 'b': 1.0, 'c': 2.0}
    >>> relative_paces({"a": 0.1, "b": 0.1, "c": 0.22}, {"c": 2.0, "d": 1.5})
    {'c': 2.0, 'd': 1.5, 'a': 1.0, 'b': 1.0}
    """
    shortest_s, longest_s = POSSIBLE_PACES_S
    paces_s = {key: pace_s for key, pace_s in paces_s.items() if shortest_s <= pace_s <= longest_s}
    if not paces_s:
        return previous
    median_s = statistics.median(paces_s.values())
    relative = dict(previous)
    for key, pace_s in paces_s.items():
        new, old = pace_s / median_s, previous.get(key, MEDIAN_PACE)
        if key not in previous or abs(new - old) > PACE_TOLERANCE * old:
            relative[key] = new
    return relative


def capacities_of(samplers: Iterable[BackEnd], relative: dict[str, float]) -> dict[str, float]:
    """Return the capacity of each sampler by id, in slots of a sampler of median pace.

    Parameters
    ==========

    relative : relative pace by sampler id, where known.
    """
    return {
        sampler.record.id: slots_of(sampler) / relative.get(sampler.record.id, MEDIAN_PACE)
        for sampler in samplers
    }
