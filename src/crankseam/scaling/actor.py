"""Orders samplers: what the holder of the scaling duty does."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import defaultdict
from collections.abc import Callable, Iterable

from crankseam.backoff import Backoff
from crankseam.coordination.duty import Duty, DutyRefused, DutyUnanswered
from crankseam.coordination.interface import CoordinationStore
from crankseam.errors import KeyValueError
from crankseam.scaling.demand import SteadyCount, need_of
from crankseam.scaling.model import (
    Kind,
    Order,
    OrderConflict,
    SamplerMarket,
    ScalingBounds,
    ZoneSupply,
)
from crankseam.scaling.plan import plan
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.routes import Configuration

log = logging.getLogger(__name__)

LOOK_S = 0.5
RETRY_BASE_S = 0.5
RETRY_CAP_S = 4.0
ARRIVAL_SLACK_S = 4.0
"""Samplers that are not there so long after they should have booted are ordered again: the order
may have been overtaken by an older one, or a zone gave fewer."""
CALL_PAUSE_S = 0.1
"""Pause between two orders: ten a second are a fifth of what the users' platform takes."""
SETTLED_S = 1.5
"""Nothing is ordered so long after more standing samplers came in: at the start of a deployment,
and of this process, they are not all known yet."""
DRY_S = 4.0
"""What a zone can't give is ordered elsewhere for so long, and then asked for there again."""

Subject = tuple[str, str, Kind]


class _Placed:
    """One subject: what was ordered last, and when it may be ordered again."""

    def __init__(self) -> None:
        self.count: int | None = None
        """What the last order that was taken said; None if that is not known."""
        self.taken_at = float("-inf")
        self.wait_until = float("-inf")
        self.backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    def wait(self) -> None:
        self.wait_until = time.monotonic() + RETRY_BASE_S + self.backoff.next_delay()


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
        self._needs: dict[str, SteadyCount] = {}
        self._standing: dict[tuple[str, str], SteadyCount] = defaultdict(SteadyCount)
        """By service and zone: one that crashes and returns must not cost a spot sampler."""
        self._grew_at = float("-inf")
        self._placed: dict[Subject, _Placed] = defaultdict(_Placed)
        self._dry_until: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Order what is missing until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            await self._look()

    async def _look(self) -> None:
        configuration = self._configuration()
        if configuration is None:
            return
        scaled = [one for one in configuration.services.values() if one.scaling is not None]
        if not scaled:
            return
        fence = await self._duty.take_turn()
        if fence is None:
            return
        if fence != self._fence:
            # What an earlier holder ordered is not known.
            self._placed.clear()
            self._fence = fence
        for service in scaled:
            assert service.scaling is not None
            await self._scale(service.name, service.scaling, fence)

    async def _scale(self, service: str, bounds: ScalingBounds, fence: int) -> None:
        back_ends = self._registry.of_service(service)
        supply = {
            zone: self._held_supply(service, zone, seen)
            for zone, seen in self._supply(back_ends, bounds).items()
        }
        if not back_ends:
            return
        now = time.monotonic()
        if now - self._grew_at < SETTLED_S:
            return
        # The largest count before the work is known: one too many for a while costs less than a
        # late first step.
        most = bounds.largest * len(supply)
        held = self._needs.setdefault(service, SteadyCount(most))
        need = held.follow(self._need(back_ends))
        dry = {zone for zone in supply if self._dry_until.get((service, zone), 0.0) > now}
        for order in plan(service, bounds, supply, need, dry):
            if order.zone not in dry and self._is_due(order, supply[order.zone], bounds, now):
                await self._order(order, fence)

    def _held_supply(self, service: str, zone: str, seen: ZoneSupply) -> ZoneSupply:
        """What is seen of a zone, with the standing samplers that were there until lately."""
        held = self._standing[service, zone]
        before = held.follow(None)
        standing = held.follow(seen.standing)
        if standing > before:
            self._grew_at = time.monotonic()
        return ZoneSupply(standing, seen.spot)

    def _need(self, back_ends: Iterable[BackEnd]) -> int | None:
        models = {model for one in back_ends for model in one.record.versions}
        slots = max((one.record.slots for one in back_ends), default=1)
        return need_of([self._items_of(model) for model in models], slots)

    @staticmethod
    def _supply(back_ends: Iterable[BackEnd], bounds: ScalingBounds) -> dict[str, ZoneSupply]:
        counts: dict[str, dict[bool, int]] = {zone: {} for zone in bounds.zone_prices}
        for one in back_ends:
            record = one.record
            if not record.leaving:
                of_zone = counts.setdefault(record.zone, {})
                of_zone[record.is_spot] = of_zone.get(record.is_spot, 0) + 1
        return {
            zone: ZoneSupply(of_kind.get(False, 0), of_kind.get(True, 0))
            for zone, of_kind in counts.items()
        }

    def _is_due(self, order: Order, supply: ZoneSupply, bounds: ScalingBounds, now: float) -> bool:
        placed = self._placed[order.service, order.zone, order.kind]
        if now < placed.wait_until:
            return False
        if placed.count != order.count:
            return True
        there = supply.spot if order.kind is Kind.SPOT else supply.standing
        return there < order.count and now - placed.taken_at > bounds.boot_s + ARRIVAL_SLACK_S

    async def _order(self, order: Order, fence: int) -> None:
        # Directly before the call: the duty may have been lost meanwhile.
        if self._duty.fence() != fence:
            return
        placed = self._placed[order.service, order.zone, order.kind]
        outcome = "taken"
        try:
            await self._market.order_samplers(order, self._process, fence)
            placed.count, placed.taken_at = order.count, time.monotonic()
            placed.backoff.reset()
        except OrderConflict:
            outcome = await self._conflict(order, fence)
            placed.wait()
        except (DutyRefused, DutyUnanswered) as error:
            outcome = f"{type(error).__name__}: {error}"
            placed.wait()
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
            return f"refused, and the store did not say why ({type(error).__name__})"
        if entry is None or entry.revision != fence:
            self._duty.refuse(fence)
            return "fenced"
        self._dry_until[order.service, order.zone] = time.monotonic() + DRY_S
        return "none to be had"
