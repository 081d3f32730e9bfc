"""Maintains the assignment of samplers to models, over all services, for the version coordinator.

Holds the current assignment, and for each service its model shares and, if it is contended, the
relative paces of its samplers. Depends on the registry of back ends, the paces of samplers and the
demand of open jobs. The rules are in `crankseam.orders.assignment` and `crankseam.orders.shares`;
for contended services, in `crankseam.orders.capacity`, `crankseam.orders.capacity_assignment` and
`crankseam.orders.urgent_shares`.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from crankseam.orders.assignment import assign
from crankseam.orders.capacity import capacities_of, relative_paces, total_slots
from crankseam.orders.capacity_assignment import ModelPart, assign_capacity
from crankseam.orders.demand import Demand, ModelWork
from crankseam.orders.shares import ModelShares
from crankseam.orders.urgent_shares import CapacityShares, ServiceShares
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.contention import Contention, NoContention
from crankseam.serving.isolation import log_left_out
from crankseam.serving.paces import SamplerPaces

log = logging.getLogger(__name__)

ASSIGNMENT_TTL_S = 0.3
"""Age after which the assignment is recomputed. With 300 or more samplers, recomputing it in every
pass of the coordinator took too much of a CPU core. A model that is announced for the first time is
assigned at once in any case."""


@dataclass(slots=True)
class _ContendedService:
    """What is kept about a contended service between two assignments.

    Attributes
    ==========

    relative_paces : see `crankseam.orders.capacity`, by sampler id.
    """

    shares: ServiceShares = field(default_factory=ServiceShares)
    relative_paces: dict[str, float] = field(default_factory=dict)


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
    contention : tells which services are assigned by capacity and urgency.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        paces: SamplerPaces,
        demand: Demand,
        contention: Contention | NoContention | None = None,
    ) -> None:
        self._registry = registry
        self._paces = paces
        self._demand = demand
        self._contention = contention if contention is not None else NoContention()
        self._shares: dict[str, ModelShares] = {}
        """Model shares by service."""
        self._contended: dict[str, _ContendedService] = {}
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
            try:
                chosen_by_model = self._assign_service(service, back_ends, versions)
            except Exception:
                log_left_out("assignment", service)
                continue
            for model, chosen in chosen_by_model.items():
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
        if self._contention.is_contended(service):
            return self._assign_contended(service, back_ends, hosted)
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

    # --- contended services

    def _assign_contended(
        self, service: str, back_ends: list[BackEnd], models: set[str]
    ) -> dict[str, list[BackEnd]]:
        kept = self._contended.setdefault(service, _ContendedService())
        kept.relative_paces = self._relative_paces(back_ends, kept.relative_paces)
        capacities = capacities_of(back_ends, kept.relative_paces)
        works = {model: self._demand.due_work(model) for model in models}
        shares = self._capacity_shares(service, kept.shares, works, total_slots(back_ends))
        parts = {
            model: ModelPart(
                shares.get(model, 1.0 / len(models)),
                self._demand.peak_open_items(model),
                work.tightness if work is not None else 0.0,
            )
            for model, work in works.items()
        }
        return assign_capacity(back_ends, parts, capacities)

    def _relative_paces(
        self, back_ends: list[BackEnd], previous: dict[str, float]
    ) -> dict[str, float]:
        """Return the relative paces of the samplers that are still there."""
        paces_s = {
            back_end.record.id: pace_s
            for back_end in back_ends
            if (pace_s := self._paces.steady_s(back_end)) is not None
        }
        ids = {back_end.record.id for back_end in back_ends}
        remaining = {key: pace for key, pace in previous.items() if key in ids}
        return relative_paces(paces_s, remaining)

    @staticmethod
    def _capacity_shares(
        service: str, shares: ServiceShares, works: dict[str, ModelWork | None], slots: int
    ) -> dict[str, float]:
        previous = shares.current
        current = shares.update(works, slots)
        if current.shares != previous.shares:
            _log_shares(service, current, works, slots)
        return current.shares


def _log_shares(
    service: str, current: CapacityShares, works: dict[str, ModelWork | None], slots: int
) -> None:
    known = {model: work for model, work in works.items() if work is not None}
    log.info(
        "capacity_shared",
        extra={
            "service": service,
            "reason": current.reason.value,
            "shares": {model: round(share, 2) for model, share in current.shares.items()},
            "capacity": slots,
            "needed_slots": {model: round(work.needed_slots, 1) for model, work in known.items()},
            "priorities": {
                model: [due.priority for due in one.due] for model, one in known.items()
            },
        },
    )
