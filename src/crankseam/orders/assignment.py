"""Decides which samplers host which model, and so load each of its new weight versions.

Inputs: the samplers of one service; its models with their newest announced versions; and, where
known, the pace classes of the samplers, and the number of recently open items and the share of each
model. These values are at most 0.3 s old.
Rule: each model is assigned its share of the samplers, but not more than its items need with some
reserve, and at least enough to use the loads that fit between two steps. Samplers that have the
newest version loaded keep the model. The other places are distributed so that each sampler hosts
few models and each model gets some of the fast samplers. Contended services have a rule of their
own, see `capacity_assignment`.
Purpose: a sampler cannot serve a model while it loads a version of it, and only few samplers may
load at the same time, so a sampler that hosts fewer models serves more requests.
Logged as: `version_ordered`, `samplers_shared`.
Tested by: tests/orders/test_assignment.py.
"""

from __future__ import annotations

import math
import statistics
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd

LOADS_PER_STEP = 6
"""Loads that complete well before the next step: two at a time, 0.9 s each, in steps of 4 s. Each
model is assigned enough samplers to use its part of them: with three samplers left for two models,
each model was otherwise hosted by only two."""
SLOTS_PER_OPEN_ITEM = 2.0
"""Slots to provide for each open item. More than one is needed because a step begins while long
items of the previous step still run, and because some samplers are slow or loading. With 300
processes, this limit reduced the samplers that get orders from a third of 3,000 to those that 192
items use."""
DEFAULT_SLOTS = 8
"""Slots assumed for a sampler that does not report a number."""
UNHEALTHY_FAILURES = 3
"""Consecutive failures after which a sampler is assigned no model, unless all are unhealthy."""


class _Cost(NamedTuple):
    """Cost of assigning one more model to a sampler; samplers with the lowest cost are chosen.

    Attributes
    ==========

    negated_version : loaded version of the model, negated. Samplers with the newest version come
        first, so that an assignment stays the same as versions advance.
    models : number of models that the sampler has been assigned so far.
    rotated_rank : `rank` minus the index of the model, modulo the number of models, so that each
        model gets an equal part of the fast samplers.
    rank : position of the sampler when sorted by pace class and id.
    """

    negated_version: int
    models: int
    rotated_rank: int
    rank: int


def samplers_per_model(samplers: int, models: int, share: float | None = None) -> int:
    """Return how many samplers of a service host one of its models.

    Parameters
    ==========

    samplers : number of samplers of the service.
    models : number of models of the service.
    share : fraction of the samplers that the model gets; by default all models get equal shares.

    Examples
    ========

    >>> samplers_per_model(24, 3), samplers_per_model(24, 3, 0.5), samplers_per_model(5, 2)
    (8, 12, 3)
    """
    count_by_share = math.ceil(samplers / models if share is None else samplers * share)
    return min(samplers, max(count_by_share, LOADS_PER_STEP // models))


def needed_samplers(samplers: list[BackEnd], open_items: int) -> int:
    """Return how many samplers the open items of a model need, including a reserve."""
    slots = statistics.median(back_end.record.slots or DEFAULT_SLOTS for back_end in samplers)
    return max(LOADS_PER_STEP, math.ceil(SLOTS_PER_OPEN_ITEM * open_items / slots))


def healthy_samplers(samplers: list[BackEnd]) -> list[BackEnd]:
    """Return the samplers that may be assigned models; see `UNHEALTHY_FAILURES`."""
    return [back_end for back_end in samplers if back_end.failures < UNHEALTHY_FAILURES] or samplers


def assign(
    samplers: list[BackEnd],
    models: dict[str, int],
    classes: dict[str, int] | None = None,
    items: dict[str, int] | None = None,
    shares: dict[str, float] | None = None,
) -> dict[str, list[BackEnd]]:
    """Return the samplers of one service that are to load the newest version of each model.

    A sampler that has the newest version loaded keeps the model. An assignment therefore stays the
    same as long as its samplers stay, whichever process computes it.

    Parameters
    ==========

    models : newest announced version by model; 0 if none has been announced.
    classes : pace class by sampler id, 0 for the fastest. Where the loaded versions leave a choice,
        each model gets an equal part of each class.
    items : number of items that need to run at the same time, by model, where known. A model that
        needs fewer samplers than its share is not loaded on the rest.
    shares : fraction of the samplers by model; by default all models get equal shares.
    """
    healthy = healthy_samplers(samplers)
    ranks = _rank(healthy, classes or {})
    model_counts = dict.fromkeys(ranks, 0)
    assigned: dict[str, list[BackEnd]] = {}
    for index, model in enumerate(sorted(models)):
        count = samplers_per_model(len(samplers), len(models), (shares or {}).get(model))
        open_items = (items or {}).get(model)
        if open_items is not None:
            count = min(count, needed_samplers(samplers, open_items))

        def cost(sampler: BackEnd, model: str = model, index: int = index) -> _Cost:
            key = sampler.record.id
            rotated_rank = (ranks[key] - index) % len(models)
            return _Cost(-sampler.version_of(model), model_counts[key], rotated_rank, ranks[key])

        assigned[model] = sorted(healthy, key=cost)[:count]
        for sampler in assigned[model]:
            model_counts[sampler.record.id] += 1
    return assigned


def _rank(samplers: list[BackEnd], classes: dict[str, int]) -> dict[str, int]:
    """Return the position of each sampler when sorted by pace class, fastest first, and id."""
    ids = [sampler.record.id for sampler in samplers]
    ranked = sorted(ids, key=lambda key: (classes.get(key, 0), key))
    return {key: rank for rank, key in enumerate(ranked)}
