"""Brings every sampler to the newest named weight version, a few at a time.

Owns the newest named version of each model and the loads under way. Relies on the duty (who may
give orders), on the registry of back ends, and on the rules of `crankseam.orders.assigner` (which
sampler carries which model) and `crankseam.orders.loads` (which of them load now).

A process may order a sampler only under a token of the duty. It is asked for right before each
order; a token that a sampler refused is not used again.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from crankseam.coordination.duty import Duty
from crankseam.orders.assigner import Assigner
from crankseam.orders.demand import Demand, UnknownDemand
from crankseam.orders.loads import (
    AnnouncedVersion,
    Load,
    LoadPriority,
    due_samplers,
    free_load_count,
    loads_to_start,
)
from crankseam.orders.messages import (
    OrderFenced,
    OrderRefused,
    OrderUnanswered,
    RunningRequests,
    SamplerControl,
    VersionOrder,
)
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.paces import SamplerPaces

log = logging.getLogger(__name__)

LOOK_S = 0.1
"""Pause between two looks for samplers that lag; origin not recorded."""
ACQUIRE_SPREAD_S = 0.3
"""Processes that may all try for the duty spread over this time, so that most see the first one's
success and ask the store nothing; origin not recorded."""
FIRST_REPORT_S = 0.8
"""A sampler is asked whether it has loaded first after this: a load takes 0.9 s and more."""
NEXT_REPORT_S = 0.15
"""Pause between further questions; origin not recorded."""
LONGEST_LOAD_S = 8.0
"""A load is waited for so long, then the order is given again; origin not recorded."""
RETRY_S = 0.3
"""Pause after an order that failed, or a load that did not end; origin not recorded."""


@dataclass(frozen=True, slots=True)
class _LoadUnderWay:
    load: Load
    task: asyncio.Task[None]


class VersionCoordinator:
    """Runs in every process; only the holder of the duty gives orders.

    Parameters
    ==========

    holder : the duty to give orders.
    running_requests : what is done with a model's running requests.
    paces : how fast samplers are, if that is known.
    demand : what the models' open jobs need, if that is known.

    Attributes
    ==========

    active : whether this process gives orders; cleared by a planned stop.
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
        self._demand = demand if demand is not None else UnknownDemand()
        self._paces = paces if paces is not None else SamplerPaces()
        self._assigner = Assigner(registry, self._paces, self._demand)
        self._named: dict[str, AnnouncedVersion] = {}
        self._loading: dict[str, _LoadUnderWay] = {}
        """Loads under way by the sampler's id."""
        self.active = True

    def version_named(self, model: str, version: int) -> None:
        """A trainer named a version; an older one changes nothing."""
        known = self._named.get(model)
        if version <= (known.version if known is not None else 0):
            return
        now = time.monotonic()
        self._named[model] = (
            known.followed_by(version, now)
            if known is not None
            else AnnouncedVersion.first(version, now)
        )
        log.info("version_named", extra={"model": model, "version": version})

    async def run(self) -> None:
        """Look for samplers that lag until cancelled."""
        try:
            while True:
                await asyncio.sleep(LOOK_S)
                if self.active:
                    await self._look()
        finally:
            for one in self._loading.values():
                one.task.cancel()

    async def _look(self) -> None:
        """Start the loads that are due, or try for the duty if some are and nobody holds it."""
        self._holder.is_vacant()
        may_try = self._holder.may_try()
        if not may_try and self._holder.fence() is None:
            return
        carriers = self._carriers()
        due = self._due_loads(carriers)
        if not due:
            return
        if may_try:
            await asyncio.sleep(random.uniform(0.0, ACQUIRE_SPREAD_S))
            await self._holder.try_acquire()
            return
        for load in self._loads_to_start(due, carriers):
            self._start(load)

    # --- what to load

    def _carriers(self) -> dict[str, list[BackEnd]]:
        """The samplers that are to carry each named model."""
        versions = {model: named.version for model, named in self._named.items()}
        return self._assigner.samplers_by_model(versions, time.monotonic())

    def _due_loads(self, carriers: dict[str, list[BackEnd]]) -> list[Load]:
        """Samplers that are to load a newer version now, by priority."""
        now = time.monotonic()
        found = [
            Load(back_end.record.service, model, back_end)
            for model, back_ends in carriers.items()
            for back_end in self._due(model, back_ends)
        ]
        return sorted(found, key=lambda load: self._priority(load.back_end, load.model, now))

    def _priority(self, back_end: BackEnd, model: str, now: float) -> LoadPriority:
        version = self._named[model].version
        return LoadPriority.of(back_end, model, version, self._paces, now)

    def _due(self, model: str, back_ends: list[BackEnd]) -> list[BackEnd]:
        now = time.monotonic()
        named = self._named[model]
        needed = self._demand.needed_version(model)
        late_count = 0
        if back_ends and named.is_late_in_step(now):
            service = back_ends[0].record.service
            late_count = free_load_count(self._registry.staying_of(service))
        return due_samplers(
            back_ends,
            model,
            named,
            needed,
            late_count,
            lambda back_end: self._priority(back_end, model, now),
            now,
        )

    def _loads_to_start(self, due: list[Load], carriers: dict[str, list[BackEnd]]) -> list[Load]:
        samplers = {
            service: len(self._registry.staying_of(service))
            for service in {load.service for load in due}
        }
        carrier_counts = {model: len(back_ends) for model, back_ends in carriers.items()}
        under_way = [one.load for one in self._loading.values()]
        return loads_to_start(due, under_way, samplers, carrier_counts)

    # --- one load

    def _start(self, load: Load) -> None:
        key = load.back_end.record.id
        task = asyncio.create_task(self._bring(load.back_end, load.model))
        self._loading[key] = _LoadUnderWay(load, task)
        task.add_done_callback(lambda _: self._loading.pop(key, None))

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
        await asyncio.sleep(RETRY_S)

    async def _order(self, back_end: BackEnd, model: str, version: int) -> bool:
        """Give the order if the sampler needs it; whether a load is under way there."""
        report = await self._control.report(back_end)
        carried = report.versions.get(model, 0)
        if carried >= version:
            back_end.observed_versions[model] = carried
            return False
        if report.busy:
            return True
        # Right before the order: the duty may have been lost while the sampler answered.
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
        """Return once the sampler reports the version, or has stopped loading without it."""
        deadline = time.monotonic() + LONGEST_LOAD_S
        await asyncio.sleep(FIRST_REPORT_S)
        while time.monotonic() < deadline and self._registry.is_known(back_end):
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
            await asyncio.sleep(NEXT_REPORT_S)
