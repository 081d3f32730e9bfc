"""Maintains the assignment of samplers to models, over all services, for the version coordinator.

Holds the current assignment and the model shares of each service. Depends on the registry of back
ends, the paces of samplers and the demand of open jobs. The rules are in
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

ASSIGNMENT_TTL_S = 0.3
"""Age after which the assignment is recomputed. With 300 or more samplers, recomputing it in every
pass of the coordinator took too much of a CPU core. A model that is announced for the first time is
assigned at once in any case."""


@dataclass(frozen=True, slots=True)
class _Assignment:
    """Assignment of samplers to models.

    Attributes
    ==========

    computed_at : monotonic seconds.
    models : the announced models for which the assignment was computed.
    """

    computed_at: float = float("-inf")
    models: frozenset[str] = frozenset()
    samplers_by_model: dict[str, list[BackEnd]] = field(default_factory=dict)


class Assigner:
    """Determines the samplers that are to load the newest version of each announced model.

    Parameters
    ==========

    paces : paces of the samplers, where known.
    demand : what the open jobs of each model need, where known.
    """

    def __init__(self, registry: BackEndRegistry, paces: SamplerPaces, demand: Demand) -> None:
        self._registry = registry
        self._paces = paces
        self._demand = demand
        self._shares: dict[str, ModelShares] = {}
        """Model shares by service."""
        self._current = _Assignment()

    def samplers_by_model(self, versions: dict[str, int], now: float) -> dict[str, list[BackEnd]]:
        """Return the samplers assigned to each announced model.

        The assignment is recomputed when it is too old or when the set of announced models has
        changed.

        Parameters
        ==========

        versions : newest announced version by model.
        now : monotonic seconds.
        """
        current = self._current
        if now - current.computed_at > ASSIGNMENT_TTL_S or current.models != versions.keys():
            current = _Assignment(now, frozenset(versions), self.assign_all(versions))
            self._current = current
        return current.samplers_by_model

    def assign_all(self, versions: dict[str, int]) -> dict[str, list[BackEnd]]:
        """Compute the samplers of each announced model, over all services that host one.

        Models without an announced version also get their share of the samplers, because samplers
        that are assigned now are kept later.
        """
        assigned: dict[str, list[BackEnd]] = {model: [] for model in versions}
        for service, back_ends in self._by_service(versions).items():
            for model, chosen in self._assign_service(service, back_ends, versions).items():
                if model in assigned:
                    assigned[model].extend(chosen)
        return assigned

    def _by_service(self, versions: dict[str, int]) -> dict[str, list[BackEnd]]:
        """Return the samplers that host an announced model, by service."""
        by_id = {
            back_end.record.id: back_end
            for model in versions
            for back_end in self._registry.with_model(model)
        }
        by_service: dict[str, list[BackEnd]] = {}
        for back_end in by_id.values():
            by_service.setdefault(back_end.record.service, []).append(back_end)
        return by_service

    def _assign_service(
        self, service: str, back_ends: list[BackEnd], versions: dict[str, int]
    ) -> dict[str, list[BackEnd]]:
        hosted = {model for back_end in back_ends for model in back_end.record.versions}
        models = {model: versions.get(model, 0) for model in hosted}
        classes = self._paces.classes(back_ends)
        items = {model: count for model in models if (count := self._demand.peak_open_items(model))}
        return assign(back_ends, models, classes, items, self._shares_of(service, hosted))

    def _shares_of(self, service: str, models: set[str]) -> dict[str, float]:
        model_shares = self._shares.setdefault(service, ModelShares())
        work_s = {
            model: work for model in models if (work := self._demand.required_slot_seconds(model))
        }
        previous = model_shares.shares
        shares = model_shares.update(models, work_s)
        if shares != previous:
            rounded = {model: round(share, 2) for model, share in shares.items()}
            log.info("samplers_shared", extra={"service": service, "shares": rounded})
        return shares
