"""Which samplers carry which model's newest version, where they carry several models.

Each sampler can take part in every model, but each new version costs a load during which the
model stands still there, and few may load at a time. So a service's samplers are dealt to its
models: together they carry each model often enough, and each loads seldom.
"""

from __future__ import annotations

import math
import statistics
from collections import Counter

from crankseam.serving.back_ends import BackEnd

LOADS_A_STEP = 6
"""So many loads end well before the next step, a few at a time; they are used if they help."""
SPARE_FACTOR = 2.0
"""A step begins while the last one's long items still run, and some samplers load or are slow."""
DEFAULT_SLOTS = 8
UNSOUND_FAILURES = 3
"""A sampler that failed so often in a row is not counted on."""


def copies(samplers: int, models: int, share: float | None = None) -> int:
    """How many of a service's samplers carry one of its models.

    Args:
        share: the model's part of the samplers; an equal one without it.
    """
    dealt = math.ceil(samplers / models if share is None else samplers * share)
    return min(samplers, max(dealt, LOADS_A_STEP // models))


def needed(samplers: list[BackEnd], items: dict[str, int] | None, model: str, unknown: int) -> int:
    """How many samplers a model's items need, with room to spare; `unknown` if nobody knows."""
    wanted = (items or {}).get(model)
    if wanted is None:
        return unknown
    slots = statistics.median(one.record.slots or DEFAULT_SLOTS for one in samplers)
    return max(LOADS_A_STEP, math.ceil(SPARE_FACTOR * wanted / slots))


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

    Args:
        models: newest named version by model.
        classes: how much slower each sampler is, by id; each model gets its share of each class
            where versions leave the choice open.
        items: how many items want to run at once, by model, where that is known: a model that
            needs fewer samplers than its share is not loaded on the others.
        shares: the models' parts of the samplers; equal ones without them.
    """
    known = classes or {}
    sound = [one for one in samplers if one.failures < UNSOUND_FAILURES] or samplers
    assigned: dict[str, list[BackEnd]] = {}
    taken: Counter[str] = Counter()
    dealt = sorted(sound, key=lambda one: (known.get(one.record.id, 0), one.record.id))
    places = {one.record.id: place for place, one in enumerate(dealt)}
    for turn, model in enumerate(sorted(models)):

        def cost(
            sampler: BackEnd, model: str = model, turn: int = turn
        ) -> tuple[int, int, int, int]:
            key = sampler.record.id
            its_turn = (places[key] - turn) % len(models)
            return (-sampler.version_of(model), taken[key], its_turn, places[key])

        most = copies(len(samplers), len(models), (shares or {}).get(model))
        chosen = sorted(sound, key=cost)[: min(most, needed(samplers, items, model, most))]
        taken.update(sampler.record.id for sampler in chosen)
        assigned[model] = chosen
    return assigned
