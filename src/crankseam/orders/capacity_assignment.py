"""Decides which samplers of a contended service host which model, by capacity.

Inputs: the samplers of one service with their loaded versions and failures; their capacities; for
each model its share of the capacity, the number of recently open items, and its tightness (see
`ModelWork`). These values are at most 0.3 s old; the paces behind the capacities up to 15 s.
Rule: each model is to get its share of the capacity, rounded to whole samplers, but not more than
its items need (SLOTS_PER_OPEN_ITEM), and at least enough samplers to use the loads that fit between
two steps. A model keeps the samplers that host it, those with its newest version first, up to a
surplus of less than one sampler. While it lacks capacity, samplers that host the fewest models are
added, of these first the ones closest to its newest version, then the ones that `even_deal` gives
it: there, the model with the smallest part of its share so far takes the fastest sampler that is
left, and of equal parts the model of the greatest tightness (see `ModelWork`). A sampler
that is left over goes to the model that it hosts, or else to the one with the smallest part of its
share.
Purpose: a share of slow samplers does less work than as many fast ones. A long item only ends in
time on a fast sampler, and which samplers a model has decides where its items may run. Each sampler
that changes its model costs a load.
Logged as: `version_ordered`, `capacity_shared`.
Tested by: tests/orders/test_capacity_assignment.py.
"""

from __future__ import annotations

import heapq
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field

from crankseam.orders.assignment import LOADS_PER_STEP, SLOTS_PER_OPEN_ITEM, healthy_samplers
from crankseam.orders.capacity import slots_of
from crankseam.serving.back_ends import BackEnd

ROUNDING_FRACTION = 0.5
"""Fraction of the mean capacity of a sampler that a model may lack: targets are rounded to the
nearest number of samplers."""


@dataclass(frozen=True, slots=True)
class ModelPart:
    """What one model is to get of a contended service.

    Attributes
    ==========

    share : fraction of the capacity.
    open_items : number of items that need to run at the same time; None if unknown.
    tightness : see `ModelWork`.
    """

    share: float
    open_items: int | None = None
    tightness: float = 0.0


@dataclass(slots=True)
class _Assigned:
    """The samplers of one model while an assignment is computed.

    Attributes
    ==========

    target : capacity that the model is to get, in slots.
    is_limited : whether the target is less than the model's share, because its items are few.
    tolerance : capacity that the model may lack.
    max_surplus : capacity beyond the target that the model keeps if it has it.
    min_count : number of samplers that the model gets at least.
    capacity : capacity of the samplers assigned so far, in slots.
    samplers : samplers assigned so far, by id.
    """

    target: float
    is_limited: bool
    tolerance: float
    max_surplus: float
    min_count: int
    capacity: float = 0.0
    samplers: dict[str, BackEnd] = field(default_factory=dict)

    def is_complete(self) -> bool:
        lacks_capacity = self.target - self.capacity > self.tolerance
        return not lacks_capacity and len(self.samplers) >= self.min_count

    def may_keep(self, capacity: float) -> bool:
        has_room = self.capacity + capacity <= self.target + self.max_surplus
        return has_room or len(self.samplers) < self.min_count

    def filled_part(self) -> float:
        return self.capacity / self.target if self.target > 0.0 else 1.0


def assign_capacity(
    samplers: list[BackEnd], parts: dict[str, ModelPart], capacities: dict[str, float]
) -> dict[str, list[BackEnd]]:
    """Return the samplers of a contended service that are to load each model's newest version.

    An assignment stays the same as long as samplers, capacities and parts stay, whichever process
    computes it.

    Parameters
    ==========

    samplers : samplers of the service; at least one.
    capacities : capacity of each sampler by id, in slots.
    """
    return _Assignment(healthy_samplers(samplers), parts, capacities).compute()


def even_deal(
    keys: Iterable[str], capacities: dict[str, float], targets: dict[str, float]
) -> dict[str, str]:
    """Deal samplers one by one to the model with the smallest part of its target so far.

    Returns the model by sampler id. All samplers are dealt.

    Parameters
    ==========

    keys : sampler ids in the order in which they are dealt.
    targets : capacity that each model is to get; of equal parts, the first model takes a sampler.

    Examples
    ========

    >>> speeds = {"fast1": 8.0, "fast2": 8.0, "slow1": 4.0, "slow2": 4.0}
    >>> even_deal(speeds, speeds, {"a": 12.0, "b": 12.0})
    {'fast1': 'a', 'fast2': 'b', 'slow1': 'a', 'slow2': 'b'}
    """
    dealt = dict.fromkeys(targets, 0.0)
    models = list(targets)
    waiting = [(0.0, position) for position in range(len(models))]
    model_of: dict[str, str] = {}
    for key in keys:
        _, position = waiting[0]
        model = models[position]
        model_of[key] = model
        dealt[model] += capacities[key]
        part = dealt[model] / targets[model] if targets[model] > 0.0 else float("inf")
        heapq.heapreplace(waiting, (part, position))
    return model_of


class _Assignment:
    """One computation of the assignment of a service."""

    def __init__(
        self, samplers: list[BackEnd], parts: dict[str, ModelPart], capacities: dict[str, float]
    ) -> None:
        self._capacities = capacities
        self._samplers = sorted(samplers, key=self._speed_rank)
        self._models = sorted(parts, key=lambda model: (-parts[model].tightness, model))
        self._model_counts = {sampler.record.id: 0 for sampler in self._samplers}
        self._lags = {model: self._lags_of(model) for model in self._models}
        self._hosted = self._hosted_models()
        total = sum(capacities[key] for key in self._model_counts)
        slots = statistics.median(slots_of(sampler) for sampler in samplers)
        self._assigned = {
            model: self._empty_assigned(parts[model], total, slots) for model in self._models
        }
        targets = {model: self._assigned[model].target for model in self._models}
        keys = [sampler.record.id for sampler in self._samplers]
        self._even_deal = even_deal(keys, capacities, targets)

    def _speed_rank(self, sampler: BackEnd) -> tuple[float, str]:
        """Sort key of samplers; the one with the shortest time for an item comes first."""
        speed = self._capacities[sampler.record.id] / slots_of(sampler)
        return -speed, sampler.record.id

    def _lags_of(self, model: str) -> dict[str, int]:
        """By how many versions of a model each sampler is behind the newest one loaded anywhere."""
        versions = {sampler.record.id: sampler.version_of(model) for sampler in self._samplers}
        newest = max(versions.values())
        return {key: newest - version for key, version in versions.items()}

    def _hosted_models(self) -> dict[str, set[str]]:
        """Return the models that each sampler hosts, by sampler id.

        A sampler has loaded a model if its version is not the oldest one anywhere. Of the models
        that it has loaded, it hosts those with which it is the least behind. If there are fewer
        samplers than all models get at least, some host several models, and each sampler hosts all
        that it has loaded.
        """
        hosts_several = self._min_count() * len(self._models) > len(self._samplers)
        oldest = {model: max(lags.values()) for model, lags in self._lags.items()}
        hosted: dict[str, set[str]] = {}
        for sampler in self._samplers:
            key = sampler.record.id
            loaded = {
                model: lags[key] for model, lags in self._lags.items() if lags[key] < oldest[model]
            }
            least = min(loaded.values(), default=0)
            hosted[key] = {model for model, lag in loaded.items() if hosts_several or lag == least}
        return hosted

    def _min_count(self) -> int:
        """Return the number of samplers that each model gets at least."""
        return min(len(self._samplers), max(1, LOADS_PER_STEP // len(self._models)))

    def _empty_assigned(self, part: ModelPart, total: float, slots: float) -> _Assigned:
        target = part.share * total
        needed = float("inf")
        if part.open_items is not None:
            needed = max(LOADS_PER_STEP * slots, SLOTS_PER_OPEN_ITEM * part.open_items)
        tolerance = ROUNDING_FRACTION * total / len(self._samplers)
        # Filling up ends with the sampler that brings the capacity to within the tolerance.
        max_surplus = max(self._capacities.values()) - tolerance
        return _Assigned(
            min(target, needed), needed < target, tolerance, max_surplus, self._min_count()
        )

    def compute(self) -> dict[str, list[BackEnd]]:
        """Return the assigned samplers by model."""
        for model in self._models:
            self._keep_hosting(model)
        for max_models in range(len(self._models)):
            for model in self._models:
                self._fill_up(model, max_models)
        self._assign_left_over()
        return {model: list(self._assigned[model].samplers.values()) for model in self._models}

    def _add(self, model: str, sampler: BackEnd) -> None:
        key = sampler.record.id
        assigned = self._assigned[model]
        assigned.samplers[key] = sampler
        assigned.capacity += self._capacities[key]
        self._model_counts[key] += 1

    def _keep_hosting(self, model: str) -> None:
        """Assign samplers that host the model, those with its newest version first."""
        hosting = [one for one in self._samplers if model in self._hosted[one.record.id]]
        lags = self._lags[model]
        hosting.sort(key=lambda one: (lags[one.record.id], self._model_counts[one.record.id]))
        for sampler in hosting:
            if self._assigned[model].may_keep(self._capacities[sampler.record.id]):
                self._add(model, sampler)

    def _fill_up(self, model: str, max_models: int) -> None:
        """Assign samplers that host at most `max_models` models while the model lacks capacity."""
        assigned = self._assigned[model]
        if assigned.is_complete():
            return
        free = [
            sampler
            for sampler in self._samplers
            if self._model_counts[sampler.record.id] <= max_models
            and sampler.record.id not in assigned.samplers
        ]
        lags = self._lags[model]
        free.sort(key=lambda one: (lags[one.record.id], self._even_deal[one.record.id] != model))
        for sampler in free:
            if assigned.is_complete():
                return
            self._add(model, sampler)

    def _assign_left_over(self) -> None:
        """Assign the samplers that were left over by rounding."""
        models = [model for model in self._models if not self._assigned[model].is_limited]
        for sampler in self._samplers:
            key = sampler.record.id
            if models and not self._model_counts[key]:
                hosted = [model for model in models if model in self._hosted[key]]
                chosen = min(hosted or models, key=lambda one: self._assigned[one].filled_part())
                self._add(chosen, sampler)
