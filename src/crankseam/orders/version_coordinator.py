"""Brings every sampler to the newest announced weight version, a few samplers at a time.

Holds the newest announced version of each model and the loads in progress. Depends on the duty to
give orders, on the registry of back ends, and on the rules of `crankseam.orders.assigner` (which
sampler hosts which model) and `crankseam.orders.loads` (which samplers load now).

A process may give an order to a sampler only with the fencing token of the duty. The coordinator
requests the token right before each order, and does not reuse a token that a sampler has refused.
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
from crankseam.serving.contention import Contention, NoContention
from crankseam.serving.paces import SamplerPaces

log = logging.getLogger(__name__)

RECONCILE_INTERVAL_S = 0.1
"""Pause between two passes that look for samplers with an outdated version."""
ACQUIRE_JITTER_S = 0.3
"""Maximum random delay before an attempt to acquire the duty. The delay spreads the attempts of all
processes, so that most of them see the first one succeed and send no request to the store."""
FIRST_REPORT_DELAY_S = 0.8
"""Delay between an order and the first request for a report: a load takes at least 0.9 s."""
REPORT_INTERVAL_S = 0.15
"""Pause between further requests for a report."""
LOAD_TIMEOUT_S = 8.0
"""Time after which the coordinator stops waiting for a load and gives the order again."""
RETRY_DELAY_S = 0.3
"""Pause after an order that failed, or a load that did not complete."""


@dataclass(frozen=True, slots=True)
class _LoadInProgress:
    load: Load
    task: asyncio.Task[None]


class VersionCoordinator:
    """Orders samplers to load new versions.

    Runs in every process; only the holder of the duty gives orders.

    Parameters
    ==========

    holder : the duty to give orders to samplers.
    process : name of this process.
    running_requests : returns how samplers treat their running requests when they load a version of
        the given model.
    paces : paces of the samplers, if known.
    demand : what the open jobs of each model need, if known.
    contention : tells which services are contended; see Assigner.

    Attributes
    ==========

    active : whether this process gives orders; set to False by a planned stop.
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
        contention: Contention | NoContention | None = None,
    ) -> None:
        self._registry = registry
        self._control = control
        self._duty = holder
        self._process = process
        self._running_requests = running_requests
        self._demand = demand if demand is not None else UnknownDemand()
        self._paces = paces if paces is not None else SamplerPaces()
        self._assigner = Assigner(registry, self._paces, self._demand, contention)
        self._newest: dict[str, AnnouncedVersion] = {}
        """Newest announced version by model."""
        self._in_progress: dict[str, _LoadInProgress] = {}
        """Loads in progress by sampler id."""
        self.active = True

    def version_announced(self, model: str, version: int) -> None:
        """Take note of a version that a trainer has announced; an older one is ignored."""
        previous = self._newest.get(model)
        if version <= (previous.version if previous is not None else 0):
            return
        now = time.monotonic()
        self._newest[model] = (
            previous.followed_by(version, now)
            if previous is not None
            else AnnouncedVersion.first(version, now)
        )
        log.info("version_named", extra={"model": model, "version": version})

    async def run(self) -> None:
        """Bring samplers to their newest versions until cancelled."""
        try:
            while True:
                await asyncio.sleep(RECONCILE_INTERVAL_S)
                if self.active:
                    await self._reconcile()
        finally:
            for entry in self._in_progress.values():
                entry.task.cancel()

    async def _reconcile(self) -> None:
        """Start the loads that are due.

        If loads are due and this process may try to acquire the duty, try that instead.
        """
        self._duty.is_vacant()
        may_acquire = self._duty.may_acquire()
        if not may_acquire and self._duty.fence() is None:
            return
        assigned = self._assignment()
        due_loads = self._due_loads(assigned)
        if not due_loads:
            return
        if may_acquire:
            await asyncio.sleep(random.uniform(0.0, ACQUIRE_JITTER_S))
            await self._duty.try_acquire()
            return
        for load in self._loads_to_start(due_loads, assigned):
            self._start_load(load)

    # --- selection of loads

    def _assignment(self) -> dict[str, list[BackEnd]]:
        """Return the samplers assigned to each announced model."""
        versions = {model: announced.version for model, announced in self._newest.items()}
        return self._assigner.samplers_by_model(versions, time.monotonic())

    def _due_loads(self, assigned: dict[str, list[BackEnd]]) -> list[Load]:
        """Return the loads that are due now, sorted by priority."""
        now = time.monotonic()
        loads = [
            Load(back_end.record.service, model, back_end)
            for model, back_ends in assigned.items()
            for back_end in self._find_due(model, back_ends)
        ]
        return sorted(loads, key=lambda load: self._priority(load.back_end, load.model, now))

    def _priority(self, back_end: BackEnd, model: str, now: float) -> LoadPriority:
        version = self._newest[model].version
        return LoadPriority.of(back_end, model, version, self._paces, now)

    def _find_due(self, model: str, back_ends: list[BackEnd]) -> list[BackEnd]:
        now = time.monotonic()
        announced = self._newest[model]
        needed = self._demand.min_usable_version(model)
        late_target = 0
        if back_ends and announced.is_late_in_step(now):
            service = back_ends[0].record.service
            late_target = free_load_count(self._registry.not_leaving(service))
        return due_samplers(
            back_ends,
            model,
            announced,
            needed,
            late_target,
            lambda back_end: self._priority(back_end, model, now),
            now,
        )

    def _loads_to_start(
        self, due_loads: list[Load], assigned: dict[str, list[BackEnd]]
    ) -> list[Load]:
        samplers = {
            service: len(self._registry.not_leaving(service))
            for service in {load.service for load in due_loads}
        }
        assigned_counts = {model: len(back_ends) for model, back_ends in assigned.items()}
        in_progress = [entry.load for entry in self._in_progress.values()]
        return loads_to_start(due_loads, in_progress, samplers, assigned_counts)

    # --- execution of a load

    def _start_load(self, load: Load) -> None:
        key = load.back_end.record.id
        task = asyncio.create_task(self._load_version(load.back_end, load.model))
        self._in_progress[key] = _LoadInProgress(load, task)
        task.add_done_callback(lambda _: self._in_progress.pop(key, None))

    async def _load_version(self, back_end: BackEnd, model: str) -> None:
        """Bring one sampler to the announced version of the model.

        A failure is only logged; a later pass tries again.
        """
        version = self._newest[model].version
        try:
            if await self._ensure_ordered(back_end, model, version):
                await self._wait_until_loaded(back_end, model, version)
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
        await asyncio.sleep(RETRY_DELAY_S)

    async def _ensure_ordered(self, back_end: BackEnd, model: str, version: int) -> bool:
        """Give the order if the sampler needs it; return whether a load is in progress there."""
        report = await self._control.report(back_end)
        reported_version = report.versions.get(model, 0)
        if reported_version >= version:
            back_end.observed_versions[model] = reported_version
            return False
        if report.busy:
            return True
        # Request the token only now: the duty may have been lost while the sampler answered.
        fence = self._duty.fence()
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
            self._duty.refuse(fence)
            raise
        return True

    async def _wait_until_loaded(self, back_end: BackEnd, model: str, version: int) -> None:
        """Wait until the sampler reports the version or has stopped loading without it.

        Also returns when the load times out or the sampler is gone.
        """
        deadline = time.monotonic() + LOAD_TIMEOUT_S
        await asyncio.sleep(FIRST_REPORT_DELAY_S)
        while time.monotonic() < deadline and self._registry.is_known(back_end):
            report = await self._control.report(back_end)
            reported_version = report.versions.get(model, 0)
            if reported_version >= version:
                back_end.observed_versions[model] = reported_version
                log.info(
                    "version_loaded",
                    extra={
                        "back_end": back_end.record.id,
                        "model": model,
                        "version": reported_version,
                    },
                )
                return
            if not report.busy:
                return
            await asyncio.sleep(REPORT_INTERVAL_S)
