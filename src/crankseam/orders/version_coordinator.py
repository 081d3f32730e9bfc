"""Brings every sampler to the newest named weight version, a few at a time."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from crankseam.coordination.duty import Duty
from crankseam.orders.assignment import assign
from crankseam.orders.loads import (
    Load,
    NamedVersion,
    due,
    free_loads,
    loads_to_start,
    order_cost,
)
from crankseam.orders.messages import (
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    RunningRequests,
    SamplerControl,
    VersionOrder,
)
from crankseam.orders.shares import ModelShares
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.paces import SamplerPaces

log = logging.getLogger(__name__)

LOOK_SECONDS = 0.1
ASSIGNMENT_KEPT_S = 0.3
"""Which samplers carry which model is worked out anew after this."""
FIRST_LOOK_SECONDS = 0.8
NEXT_LOOK_SECONDS = 0.15
LONGEST_LOAD_SECONDS = 8.0
RETRY_SECONDS = 0.3
ACQUIRE_SPREAD_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class _LoadUnderWay:
    """One sampler that is being brought to a version of a model."""

    load: Load
    task: asyncio.Task[None]


class Demand(Protocol):
    """What the open jobs of each model need."""

    def items_of(self, model: str) -> int | None:
        """How many items want to run at once; None if that is not known."""

    def work_s_of(self, model: str) -> float | None:
        """Seconds of places that these items need; None if that is not known."""

    def needed_version(self, model: str) -> int | None:
        """The oldest version that may serve the newest job; None if that is not known."""


class _NoDemand:
    def items_of(self, model: str) -> int | None:
        return None

    def work_s_of(self, model: str) -> float | None:
        return None

    def needed_version(self, model: str) -> int | None:
        return None


class VersionCoordinator:
    """Runs in every process; only the holder of the right gives orders.

    Args:
        running_requests: what is done with a model's running requests.
        paces: how fast samplers are, if that is known.
        demand: what the models' open jobs need, if that is known.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        control: SamplerControl,
        holder: Duty,
        process: str,
        running_requests: Callable[[str], RunningRequests],
        paces: SamplerPaces | None = None,
        demand: Demand | None = None,
    ) -> None:
        self._registry = registry
        self._control = control
        self._holder = holder
        self._process = process
        self._running_requests = running_requests
        self._demand = demand if demand is not None else _NoDemand()
        self._paces = paces if paces is not None else SamplerPaces()
        self._named: dict[str, NamedVersion] = {}
        self._loading: dict[str, _LoadUnderWay] = {}
        """Loads under way by the sampler's id."""
        self._assignment: tuple[float, set[str], dict[str, list[BackEnd]]] = (
            float("-inf"),
            set(),
            {},
        )
        """When it was worked out, for which models, and the samplers by model."""
        self._shares: dict[str, ModelShares] = {}
        """Shares of the models, by service."""
        self.active = True

    def version_named(self, model: str, version: int) -> None:
        """A trainer named a version; an older one changes nothing."""
        known = self._named.get(model)
        if version <= self._version(model):
            return
        now = time.monotonic()
        # The first one seen may have been named long before this process began.
        first = NamedVersion(version, now, now)
        self._named[model] = known.followed_by(version, now) if known is not None else first
        log.info("version_named", extra={"model": model, "version": version})

    async def run(self) -> None:
        """Look for samplers that lag until cancelled."""
        try:
            while True:
                await asyncio.sleep(LOOK_SECONDS)
                if self.active:
                    await self._look()
        finally:
            for one in self._loading.values():
                one.task.cancel()

    async def _look(self) -> None:
        self._holder.is_vacant()
        may_try = self._holder.may_try()
        if not may_try and self._holder.fence() is None:
            return
        assigned = self._current_assignment()
        lagging = self._lagging(assigned)
        if not lagging:
            return
        if may_try:
            await asyncio.sleep(random.uniform(0.0, ACQUIRE_SPREAD_SECONDS))
            await self._holder.try_acquire()
            return
        self._start_loads(lagging, assigned)

    def _start_loads(self, lagging: list[Load], assigned: dict[str, list[BackEnd]]) -> None:
        samplers = {
            service: len(self._registry.of_service(service))
            for service in {load.service for load in lagging}
        }
        carriers = {model: len(back_ends) for model, back_ends in assigned.items()}
        under_way = [one.load for one in self._loading.values()]
        for load in loads_to_start(lagging, under_way, samplers, carriers):
            self._start(load)

    def _lagging(self, assigned: dict[str, list[BackEnd]]) -> list[Load]:
        """Samplers that are to load a newer version now, those with least work first."""
        now = time.monotonic()
        found = [
            Load(back_end.record.service, model, back_end)
            for model, back_ends in assigned.items()
            for back_end in self._due(model, back_ends)
        ]
        return sorted(
            found,
            key=lambda load: order_cost(
                load.back_end, load.model, self._named[load.model].version, self._paces, now
            ),
        )

    def _due(self, model: str, back_ends: list[BackEnd]) -> list[BackEnd]:
        now = time.monotonic()
        named = self._named[model]
        free = 0
        if named.is_late(now):
            free = free_loads(self._registry.of_service(back_ends[0].record.service))
        needed = self._demand.needed_version(model)
        return due(back_ends, model, named, needed, free, self._paces, now)

    def _current_assignment(self) -> dict[str, list[BackEnd]]:
        """Worked out now and then: at thousands of samplers it takes a while."""
        now = time.monotonic()
        worked_out_at, named, assigned = self._assignment
        if now - worked_out_at > ASSIGNMENT_KEPT_S or named != self._named.keys():
            assigned = self._assigned()
            self._assignment = (now, set(self._named), assigned)
        return assigned

    def _assigned(self) -> dict[str, list[BackEnd]]:
        """Samplers by named model, over all services that carry one.

        Models that were not named yet get their share too: what is dealt now is kept later.
        """
        carriers = {
            one.record.id: one for model in self._named for one in self._registry.carrying(model)
        }
        by_service: dict[str, list[BackEnd]] = {}
        for one in carriers.values():
            by_service.setdefault(one.record.service, []).append(one)
        assigned: dict[str, list[BackEnd]] = {model: [] for model in self._named}
        for service, back_ends in by_service.items():
            carried = {model for one in back_ends for model in one.record.versions}
            models = {model: self._version(model) for model in carried}
            classes = self._paces.classes(back_ends)
            items = {model: count for model in models if (count := self._demand.items_of(model))}
            shares = self._shares_of(service, carried)
            for model, chosen in assign(back_ends, models, classes, items, shares).items():
                if model in assigned:
                    assigned[model].extend(chosen)
        return assigned

    def _shares_of(self, service: str, models: set[str]) -> dict[str, float]:
        known = self._shares.setdefault(service, ModelShares())
        work_s = {model: work for model in models if (work := self._demand.work_s_of(model))}
        before = known.shares
        shares = known.update(models, work_s)
        if shares != before:
            rounded = {model: round(share, 2) for model, share in shares.items()}
            log.info("samplers_shared", extra={"service": service, "shares": rounded})
        return shares

    def _version(self, model: str) -> int:
        """The newest named version; 0 if none was named."""
        named = self._named.get(model)
        return named.version if named is not None else 0

    def _start(self, load: Load) -> None:
        back_end_id = load.back_end.record.id
        task = asyncio.create_task(self._bring(load.back_end, load.model))
        self._loading[back_end_id] = _LoadUnderWay(load, task)
        task.add_done_callback(lambda _: self._loading.pop(back_end_id, None))

    async def _bring(self, back_end: BackEnd, model: str) -> None:
        """Bring one sampler to the model's named version; a failure is tried again later."""
        version = self._named[model].version
        try:
            if await self._order(back_end, model, version):
                await self._wait_loaded(back_end, model, version)
                return
        except (OrderRefused, OrderUnanswered, OrderFenced) as error:
            log.warning(
                "order_failed",
                extra={
                    "back_end": back_end.record.id,
                    "model": model,
                    "version": version,
                    "error": type(error).__name__,
                },
            )
        await asyncio.sleep(RETRY_SECONDS)

    async def _order(self, back_end: BackEnd, model: str, version: int) -> bool:
        """Give the order if the sampler needs it; whether it is under way."""
        report = await self._control.report(back_end)
        carried = report.versions.get(model, 0)
        if carried >= version:
            back_end.observed_versions[model] = carried
            return False
        if report.busy:
            return True
        fence = self._holder.fence()
        if fence is None or not self._registry.is_known(back_end):
            return False
        order = VersionOrder(
            model, version, self._running_requests(model), self._process, fence, report.sequence
        )
        log.info(
            "version_ordered",
            extra={
                "back_end": back_end.record.id,
                "model": model,
                "version": version,
                "fence": fence,
                "sequence": report.sequence,
            },
        )
        try:
            await self._control.order_version(back_end, order)
        except OrderFenced:
            self._holder.refuse(fence)
            raise
        return True

    async def _wait_loaded(self, back_end: BackEnd, model: str, version: int) -> None:
        end = time.monotonic() + LONGEST_LOAD_SECONDS
        await asyncio.sleep(FIRST_LOOK_SECONDS)
        while time.monotonic() < end and self._registry.is_known(back_end):
            report = await self._control.report(back_end)
            carried = report.versions.get(model, 0)
            if carried >= version:
                back_end.observed_versions[model] = carried
                log.info(
                    "version_loaded",
                    extra={"back_end": back_end.record.id, "model": model, "version": carried},
                )
                return
            if not report.busy:
                return
            await asyncio.sleep(NEXT_LOOK_SECONDS)
