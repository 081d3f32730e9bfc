"""Orders samplers while this process holds the scaling duty.

Holds the numbers that were ordered under the current fencing token and drops them when the token
changes, because the orders of an earlier holder are unknown. Depends on the duty, on the samplers
that discovery reports, on the newest configuration (the limits that the operator sets) and on the
open items of each model. The rules are in `crankseam.scaling`: `demand` (how many samplers are
needed), `plan` (of which kind and in which zone), `supply` (how many are present) and `ordering`
(when to order).
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from crankseam.coordination.duty import Duty, DutyRefused, DutyUnanswered
from crankseam.coordination.interface import CoordinationStore
from crankseam.errors import KeyValueError
from crankseam.scaling.demand import StabilizedCount, required_samplers
from crankseam.scaling.model import (
    Kind,
    Order,
    OrderConflict,
    SamplerProvisioner,
    ScalingBounds,
    ZoneSupply,
)
from crankseam.scaling.ordering import ExhaustedZones, OrderedCount
from crankseam.scaling.plan import plan
from crankseam.scaling.supply import StabilizedSupply, count_supply
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.isolation import log_left_out
from crankseam.serving.routes import Configuration

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.5
"""Pause between two comparisons of the present samplers with the needed ones."""
ORDER_INTERVAL_S = 0.1
"""Pause after each order: ten orders per second are a fifth of what the users' platform accepts."""


class _OrderTarget(NamedTuple):
    """The samplers whose number an order sets."""

    service: str
    zone: str
    kind: Kind


class SamplerAutoscaler:
    """Orders the samplers that each service needs.

    Runs in every process; only the holder of the duty gives orders.

    Parameters
    ==========

    process : name of this process.
    configuration : returns the newest configuration; None while none is known.
    peak_open_items : returns the highest number of items of a model that were recently open at the
        same time; None if unknown.
    """

    def __init__(
        self,
        store: CoordinationStore,
        duty: Duty,
        registry: BackEndRegistry,
        provisioner: SamplerProvisioner,
        process: str,
        configuration: Callable[[], Configuration | None],
        peak_open_items: Callable[[str], int | None],
    ) -> None:
        self._store = store
        self._duty = duty
        self._registry = registry
        self._provisioner = provisioner
        self._process = process
        self._configuration = configuration
        self._peak_open_items = peak_open_items
        self._fence: int | None = None
        """Fencing token under which `_ordered_counts` were ordered."""
        self._ordered_counts: dict[_OrderTarget, OrderedCount] = defaultdict(OrderedCount)
        self._stabilized_needs: dict[str, StabilizedCount] = {}
        """Number of samplers that the work needs, by service."""
        self._supply = StabilizedSupply()
        self._exhausted_zones = ExhaustedZones()

    async def run(self) -> None:
        """Order missing samplers until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_S)
            await self._reconcile()

    async def _reconcile(self) -> None:
        scaled = self._scaled_services()
        if not scaled:
            return
        fence = await self._duty.acquire_if_vacant()
        if fence is None:
            return
        if fence != self._fence:
            self._ordered_counts.clear()
            self._fence = fence
        for service, bounds in scaled.items():
            try:
                await self._scale_service(service, bounds, fence)
            except Exception:
                log_left_out("scaling", service)

    def _scaled_services(self) -> dict[str, ScalingBounds]:
        """Return the operator's limits for each service that is scaled."""
        configuration = self._configuration()
        services = configuration.services.values() if configuration is not None else ()
        return {
            definition.name: definition.scaling
            for definition in services
            if definition.scaling is not None
        }

    async def _scale_service(self, service: str, bounds: ScalingBounds, fence: int) -> None:
        back_ends = self._registry.not_leaving(service)
        supply = self._supply_of(service, back_ends, bounds)
        now = time.monotonic()
        if not back_ends or not self._supply.is_settled(now):
            return
        need = self._stabilized_need(service, back_ends, bounds.max_samplers * len(supply))
        exhausted = {
            zone for zone in supply if self._exhausted_zones.is_exhausted(service, zone, now)
        }
        for order in plan(service, bounds, supply, need, exhausted):
            if order.zone not in exhausted and self._is_due(order, supply[order.zone], bounds, now):
                await self._order(order, fence)

    def _supply_of(
        self, service: str, back_ends: list[BackEnd], bounds: ScalingBounds
    ) -> dict[str, ZoneSupply]:
        observed = count_supply(back_ends, bounds.zone_prices)
        now = time.monotonic()
        return {
            zone: self._supply.update(service, zone, zone_supply, now)
            for zone, zone_supply in observed.items()
        }

    def _stabilized_need(self, service: str, back_ends: list[BackEnd], largest: int) -> int:
        """Return the number of samplers that the work needs.

        Before the work is known, this is the largest number, because too many samplers for a while
        cost less than a late first step.
        """
        held = self._stabilized_needs.setdefault(service, StabilizedCount(largest))
        return held.update(self._current_need(back_ends))

    def _current_need(self, back_ends: Iterable[BackEnd]) -> int | None:
        models = {model for back_end in back_ends for model in back_end.record.versions}
        slots = max((back_end.record.slots for back_end in back_ends), default=1)
        return required_samplers([self._peak_open_items(model) for model in models], slots)

    def _is_due(self, order: Order, supply: ZoneSupply, bounds: ScalingBounds, now: float) -> bool:
        present = supply.spot if order.kind is Kind.SPOT else supply.standing
        return self._ordered_count(order).is_due(order.count, present, bounds.boot_s, now)

    def _ordered_count(self, order: Order) -> OrderedCount:
        return self._ordered_counts[_OrderTarget(order.service, order.zone, order.kind)]

    async def _order(self, order: Order, fence: int) -> None:
        # Check the token right before the call: the duty may have been lost in the meantime.
        if self._duty.fence() != fence:
            return
        ordered = self._ordered_count(order)
        outcome = "taken"
        try:
            await self._provisioner.order_samplers(order, self._process, fence)
            ordered.taken(order.count, time.monotonic())
        except OrderConflict:
            outcome = await self._resolve_conflict(order, fence)
            ordered.failed(time.monotonic())
        except (DutyRefused, DutyUnanswered) as error:
            outcome = f"{type(error).__name__}: {error}"
            ordered.failed(time.monotonic())
        log.info(
            "samplers_ordered",
            extra={
                "service": order.service,
                "zone": order.zone,
                "kind": order.kind.value,
                "count": order.count,
                "reason": order.reason,
                "fence": fence,
                "outcome": outcome,
            },
        )
        await asyncio.sleep(ORDER_INTERVAL_S)

    async def _resolve_conflict(self, order: Order, fence: int) -> str:
        """Find out why the platform refused an order, and return the outcome to log.

        A newer holder must have written the duty's key before it acted, so the key tells whether
        this process has been fenced.
        """
        try:
            entry = await self._store.get(self._duty.holder_key)
        except KeyValueError as error:
            # The error is logged in the outcome of the order; the order is given again.
            return f"refused, and the store did not say why ({type(error).__name__})"
        if entry is None or entry.revision != fence:
            self._duty.refuse(fence)
            return "fenced"
        self._exhausted_zones.mark_exhausted(order.service, order.zone, time.monotonic())
        return "none to be had"
