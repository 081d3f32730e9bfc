"""Which samplers carry which model: who is to hold each model's newest version?

Inputs: the samplers of one service; its models with their newest named versions; the samplers' pace
classes, the items open lately and the models' shares, where these are known (0.3 s old at most).
Rule: each model gets its share of the samplers, no more than its items need with room to spare and
so many at least that the loads between two steps are used. Those that carry the newest version keep
it; the rest is spread so that each sampler carries few models and each model gets fast ones.
Protects: a model stands still at a sampler while it loads there, and few may load at a time, so a
sampler that carries fewer models serves more.
Shown by: `version_ordered`, `samplers_shared`. Held by: tests/orders/test_assignment.py.
"""

from __future__ import annotations

import math
import statistics
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd

LOADS_A_STEP = 6
"""Loads that end well before the next step, at two at a time and 0.9 s each in steps of 4 s; they
are used if they help. Set where three samplers were left to two models, each carried by two."""
SPARE_FACTOR = 2.0
"""Slots for each open item: a step begins while the last one's long items still run, and some
samplers load or are slow. At 300 processes it took the orders from a third of 3,000 samplers to
those that 192 items use; origin of the factor itself not recorded."""
DEFAULT_SLOTS = 8
"""Slots of a sampler that does not tell them; origin not recorded."""
UNSOUND_FAILURES = 3
"""A sampler that failed so often in a row is not counted on; origin not recorded."""


class _Cost(NamedTuple):
    """What it costs that a sampler carries one more model; the least goes first.

    Attributes
    ==========

    negated_version : what is loaded stays, so an assignment stands as versions move on.
    models : how many models it was assigned already.
    turns : models take turns along the ranking, so each gets its part of the fast samplers.
    rank : the sampler's place in the ranking by pace class and id.
    """

    negated_version: int
    models: int
    turns: int
    rank: int


def carrier_count(samplers: int, models: int, share: float | None = None) -> int:
    """How many of a service's samplers carry one of its models.

    Parameters
    ==========

    share : the model's part of the samplers; an equal one without it.

    Examples
    ========

    >>> carrier_count(24, 3), carrier_count(24, 3, 0.5), carrier_count(5, 2)
    (8, 12, 3)
    """
    of_share = math.ceil(samplers / models if share is None else samplers * share)
    return min(samplers, max(of_share, LOADS_A_STEP // models))


def needed_carriers(samplers: list[BackEnd], open_items: int) -> int:
    """How many samplers a model's items need, with room to spare."""
    slots = statistics.median(one.record.slots or DEFAULT_SLOTS for one in samplers)
    return max(LOADS_A_STEP, math.ceil(SPARE_FACTOR * open_items / slots))


def assign(
    samplers: list[BackEnd],
    models: dict[str, int],
    classes: dict[str, int] | None = None,
    items: dict[str, int] | None = None,
    shares: dict[str, float] | None = None,
) -> dict[str, list[BackEnd]]:
    """The samplers of one service that are to carry each model's newest version.

    A sampler that carries the newest version keeps it, so an assignment stands as long as its
    samplers do, whoever works it out.

    Parameters
    ==========

    models : newest named version by model; 0 if none was named.
    classes : how much slower each sampler is, by id; each model gets its share of each class
        where versions leave the choice open.
    items : how many items want to run at once, by model, where that is known: a model that
        needs fewer samplers than its share is not loaded on the others.
    shares : the models' parts of the samplers; equal ones without them.
    """
    sound = [one for one in samplers if one.failures < UNSOUND_FAILURES] or samplers
    ranks = _rank(sound, classes or {})
    models_of = dict.fromkeys(ranks, 0)
    assigned: dict[str, list[BackEnd]] = {}
    for turn, model in enumerate(sorted(models)):
        count = carrier_count(len(samplers), len(models), (shares or {}).get(model))
        open_items = (items or {}).get(model)
        if open_items is not None:
            count = min(count, needed_carriers(samplers, open_items))

        def cost(sampler: BackEnd, model: str = model, turn: int = turn) -> _Cost:
            key = sampler.record.id
            turns = (ranks[key] - turn) % len(models)
            return _Cost(-sampler.version_of(model), models_of[key], turns, ranks[key])

        assigned[model] = sorted(sound, key=cost)[:count]
        for sampler in assigned[model]:
            models_of[sampler.record.id] += 1
    return assigned


def _rank(samplers: list[BackEnd], classes: dict[str, int]) -> dict[str, int]:
    """The samplers' places by pace class and id, the fastest class first."""
    ids = [sampler.record.id for sampler in samplers]
    ranked = sorted(ids, key=lambda key: (classes.get(key, 0), key))
    return {key: rank for rank, key in enumerate(ranked)}
