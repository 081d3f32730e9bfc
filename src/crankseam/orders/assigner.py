"""Keeps the assignment of samplers to models, over all services, for the coordinator of versions.

Owns the assignment of the moment and the shares of each service's models. Relies on the registry of
back ends, the paces of samplers and the demand of open jobs; the rules are in
`crankseam.orders.assignment` and `crankseam.orders.shares`.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from crankseam.orders.assignment import assign
from crankseam.orders.demand import Demand
from crankseam.orders.shares import ModelShares
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.paces import SamplerPaces

log = logging.getLogger(__name__)

ASSIGNMENT_KEPT_S = 0.3
"""An assignment is worked out anew after this: one for each look took too much of a core before 300
samplers and more. A model that is named for the first time is assigned at once in any case."""


@dataclass(frozen=True, slots=True)
class _Assignment:
    """Samplers by model, and when (monotonic seconds) and for which models they were chosen."""

    made_at: float = float("-inf")
    models: frozenset[str] = frozenset()
    carriers: dict[str, list[BackEnd]] = field(default_factory=dict)


class Assigner:
    """Which samplers are to carry each named model's newest version.

    Parameters
    ==========

    paces : how fast samplers are, as far as that is known.
    demand : what the models' open jobs need, as far as that is known.
    """

    def __init__(self, registry: BackEndRegistry, paces: SamplerPaces, demand: Demand) -> None:
        self._registry = registry
        self._paces = paces
        self._demand = demand
        self._shares: dict[str, ModelShares] = {}
        """Shares of the models, by service."""
        self._current = _Assignment()

    def carriers(self, versions: dict[str, int], now: float) -> dict[str, list[BackEnd]]:
        """Samplers by named model; made anew when it is old, or when a model was named first.

        Parameters
        ==========

        versions : newest named version by model.
        now : monotonic seconds.
        """
        current = self._current
        if now - current.made_at > ASSIGNMENT_KEPT_S or current.models != versions.keys():
            current = _Assignment(now, frozenset(versions), self.assign_all(versions))
            self._current = current
        return current.carriers

    def assign_all(self, versions: dict[str, int]) -> dict[str, list[BackEnd]]:
        """Samplers by named model, over all services that carry one.

        Models that were not named yet get their share too: what is assigned now is kept later.
        """
        assigned: dict[str, list[BackEnd]] = {model: [] for model in versions}
        for service, back_ends in self._by_service(versions).items():
            for model, chosen in self._assign_service(service, back_ends, versions).items():
                if model in assigned:
                    assigned[model].extend(chosen)
        return assigned

    def _by_service(self, versions: dict[str, int]) -> dict[str, list[BackEnd]]:
        """Samplers that carry a named model, by service."""
        carriers = {
            one.record.id: one for model in versions for one in self._registry.carrying(model)
        }
        by_service: dict[str, list[BackEnd]] = {}
        for one in carriers.values():
            by_service.setdefault(one.record.service, []).append(one)
        return by_service

    def _assign_service(
        self, service: str, back_ends: list[BackEnd], versions: dict[str, int]
    ) -> dict[str, list[BackEnd]]:
        carried = {model for one in back_ends for model in one.record.versions}
        models = {model: versions.get(model, 0) for model in carried}
        classes = self._paces.classes(back_ends)
        items = {model: count for model in models if (count := self._demand.items_of(model))}
        return assign(back_ends, models, classes, items, self._shares_of(service, carried))

    def _shares_of(self, service: str, models: set[str]) -> dict[str, float]:
        known = self._shares.setdefault(service, ModelShares())
        work_s = {model: work for model in models if (work := self._demand.work_s_of(model))}
        before = known.shares
        shares = known.update(models, work_s)
        if shares != before:
            rounded = {model: round(share, 2) for model, share in shares.items()}
            log.info("samplers_shared", extra={"service": service, "shares": rounded})
        return shares
