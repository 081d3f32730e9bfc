"""Orders samplers: what the holder of the scaling duty does.

Owns what it ordered under its token, which it forgets with the token: what an earlier holder
ordered is not known. Relies on the duty, on discovery's samplers, on the newest configuration (what
the operator allows) and on the open items of each model. The rules are in `crankseam.scaling`:
`demand` (how many are needed), `plan` (of which kind and where), `supply` (what is there) and
`ordering` (when an order is given).
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
    SamplerMarket,
    ScalingBounds,
    ZoneSupply,
)
from crankseam.scaling.ordering import ExhaustedZones, OrderedCount
from crankseam.scaling.plan import plan
from crankseam.scaling.supply import StabilizedSupply, count_supply
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.routes import Configuration

log = logging.getLogger(__name__)

LOOK_S = 0.5
"""Pause between two looks at what is there and what is needed; origin not recorded."""
CALL_PAUSE_S = 0.1
"""Pause after each order: ten a second are a fifth of what the users' platform takes."""


class _Subject(NamedTuple):
    """What one order sets the count of."""

    service: str
    zone: str
    kind: Kind


class SamplerScaling:
    """Runs in every process; only the holder of the duty orders.

    Parameters
    ==========

    configuration : the newest one, or None while none is known.
    items_of : the most items of a model that were open at once lately; None if not known.
    """

    def __init__(
        self,
        store: CoordinationStore,
        duty: Duty,
        registry: BackEndRegistry,
        market: SamplerMarket,
        process: str,
        configuration: Callable[[], Configuration | None],
        items_of: Callable[[str], int | None],
    ) -> None:
        self._store = store
        self._duty = duty
        self._registry = registry
        self._market = market
        self._process = process
        self._configuration = configuration
        self._items_of = items_of
        self._fence: int | None = None
        """The token under which the counts below were ordered."""
        self._ordered: dict[_Subject, OrderedCount] = defaultdict(OrderedCount)
        self._needs: dict[str, StabilizedCount] = {}
        """Samplers that the work needs, by service."""
        self._supply = StabilizedSupply()
        self._dry = ExhaustedZones()

    async def run(self) -> None:
        """Order what is missing until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            await self._look()

    async def _look(self) -> None:
        scaled = self._scaled_services()
        if not scaled:
            return
        fence = await self._duty.take_turn()
        if fence is None:
            return
        if fence != self._fence:
            self._ordered.clear()
            self._fence = fence
        for service, bounds in scaled.items():
            await self._scale(service, bounds, fence)

    def _scaled_services(self) -> dict[str, ScalingBounds]:
        """What the operator allows for each service with samplers on demand."""
        configuration = self._configuration()
        services = configuration.services.values() if configuration is not None else ()
        return {one.name: one.scaling for one in services if one.scaling is not None}

    async def _scale(self, service: str, bounds: ScalingBounds, fence: int) -> None:
        back_ends = self._registry.staying_of(service)
        supply = self._supply_of(service, back_ends, bounds)
        now = time.monotonic()
        if not back_ends or not self._supply.is_settled(now):
            return
        need = self._steady_need(service, back_ends, bounds.largest * len(supply))
        dry = {zone for zone in supply if self._dry.is_exhausted(service, zone, now)}
        for order in plan(service, bounds, supply, need, dry):
            if order.zone not in dry and self._is_due(order, supply[order.zone], bounds, now):
                await self._order(order, fence)

    def _supply_of(
        self, service: str, back_ends: list[BackEnd], bounds: ScalingBounds
    ) -> dict[str, ZoneSupply]:
        seen = count_supply(back_ends, bounds.zone_prices)
        now = time.monotonic()
        return {zone: self._supply.update(service, zone, one, now) for zone, one in seen.items()}

    def _steady_need(self, service: str, back_ends: list[BackEnd], largest: int) -> int:
        """Samplers that the work needs; the largest count before the work is known.

        One too many for a while costs less than a late first step.
        """
        held = self._needs.setdefault(service, StabilizedCount(largest))
        return held.update(self._need(back_ends))

    def _need(self, back_ends: Iterable[BackEnd]) -> int | None:
        models = {model for one in back_ends for model in one.record.versions}
        slots = max((one.record.slots for one in back_ends), default=1)
        return required_samplers([self._items_of(model) for model in models], slots)

    def _is_due(self, order: Order, supply: ZoneSupply, bounds: ScalingBounds, now: float) -> bool:
        there = supply.spot if order.kind is Kind.SPOT else supply.standing
        return self._ordered_of(order).is_due(order.count, there, bounds.boot_s, now)

    def _ordered_of(self, order: Order) -> OrderedCount:
        return self._ordered[_Subject(order.service, order.zone, order.kind)]

    async def _order(self, order: Order, fence: int) -> None:
        # Right before the call: the duty may have been lost meanwhile.
        if self._duty.fence() != fence:
            return
        ordered = self._ordered_of(order)
        outcome = "taken"
        try:
            await self._market.order_samplers(order, self._process, fence)
            ordered.taken(order.count, time.monotonic())
        except OrderConflict:
            outcome = await self._conflict(order, fence)
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
        await asyncio.sleep(CALL_PAUSE_S)

    async def _conflict(self, order: Order, fence: int) -> str:
        """What a refusal meant: a newer holder must have written the duty's key before it acted."""
        try:
            entry = await self._store.get(self._duty.holder_key)
        except KeyValueError as error:
            # Said in the outcome of the order's line; the order is given again.
            return f"refused, and the store did not say why ({type(error).__name__})"
        if entry is None or entry.revision != fence:
            self._duty.refuse(fence)
            return "fenced"
        self._dry.mark_exhausted(order.service, order.zone, time.monotonic())
        return "none to be had"
