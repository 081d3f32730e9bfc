"""Weight coordinator of one pool: stages a version on all samplers, then switches them.

Explanation
===========

The coordinator sends the orders to the samplers and records their progress towards the target
version. `weight_rules` decides when to send which order, the lease of the duty decides whether the
coordinator may act, and the weight store names the newest version. Every order carries the fencing
token of the duty, so that samplers refuse a coordinator that resumes after a pause.

`orders/version_coordinator` is the counterpart on the users' platform and differs on purpose.
There, trainers name the versions, a sampler serves several models and suspends one of them while it
loads its weights, and only a few samplers load at a time, so that little work is interrupted. The
two have only the rule of the fencing token in common.
"""

from __future__ import annotations

import asyncio
import logging
import time

import aiohttp

from crankseam import clocks
from crankseam.clients.load_report import NO_VERSION
from crankseam.clients.sampler import (
    OrderFailed,
    OrderRefused,
    SamplerClient,
    SamplerError,
)
from crankseam.clients.weight_store import WeightStoreClient
from crankseam.cluster.agent import ClusterAgent
from crankseam.config.kinds import BackEnd, SamplerPool, WeightPolicy
from crankseam.controllers.back_end_watch import BackEndWatchController
from crankseam.controllers.duty import Duty
from crankseam.controllers.weight_rules import SamplerProgress, samplers_to_switch
from crankseam.decisions import Decision, DecisionLog
from crankseam.errors import CrankseamError
from crankseam.peers.messages import BackEndReport
from crankseam.records.slots import sort_by_rank
from crankseam.routing import CONTROLLER_REPORT_PREFIX
from crankseam.weights_cache import cache_source

log = logging.getLogger(__name__)

POLICY_POLL_INTERVAL_S = 0.5
"""How often the configuration is checked for added and removed policies."""
COORDINATOR_CANDIDATES = 2
"""Number of nodes that compete for the duty of a pool. Two tolerate the death of one; more would
only cost further calls to the key-value service."""
SAMPLER_READ_TIMEOUT_S = 5.0
"""Read timeout for an answer of a sampler: the longest time without data."""


class WeightCoordinator:
    """Reconciles the samplers of one pool with its weight policy."""

    def __init__(
        self,
        agent: ClusterAgent,
        session: aiohttp.ClientSession,
        policy_name: str,
        decisions: DecisionLog,
        watch: BackEndWatchController,
    ) -> None:
        self._agent = agent
        self._policy_name = policy_name
        self._decisions = decisions
        self._watch = watch
        self._sampler = SamplerClient(session, read_timeout=SAMPLER_READ_TIMEOUT_S)
        self._store = WeightStoreClient(session)
        timing = agent.settings.timing
        self._duty = Duty(
            agent.key_value,
            f"weights/{policy_name}",
            agent.identity,
            timing.duty_term,
            timing.clock_margin,
        )
        self._progress: dict[str, SamplerProgress] = {}

    async def run(self) -> None:
        """Compete for the duty, and reconcile the samplers while holding it, until cancelled."""
        duty_task: asyncio.Task[None] | None = None
        try:
            while True:
                is_candidate = self._is_candidate()
                if is_candidate and duty_task is None:
                    duty_task = self._agent.tasks.start(self._duty.run(), "weights duty")
                if not is_candidate and duty_task is not None:
                    duty_task.cancel()
                    duty_task = None
                    await self._duty.release()
                if self._duty.is_held():
                    await self._try_reconcile()
                await asyncio.sleep(self._agent.settings.timing.weights_poll)
        finally:
            if duty_task is not None:
                duty_task.cancel()

    async def release(self) -> None:
        """Release the duty at a planned stop."""
        await self._duty.release()

    def _is_candidate(self) -> bool:
        policy = self._policy()
        if policy is None or self._agent.is_leaving:
            return False
        members = self._agent.digest.alive_in_region(self._pool(policy).home_region)
        candidates = sort_by_rank(f"weights/{policy.name}", members)[:COORDINATOR_CANDIDATES]
        return any(member.name == self._agent.settings.name for member in candidates)

    def _policy(self) -> WeightPolicy | None:
        return self._agent.lease.snapshot.weight_policies.get(self._policy_name)

    def _pool(self, policy: WeightPolicy) -> SamplerPool:
        return self._agent.lease.snapshot.pools[policy.pool]

    # --- reconciliation

    async def _try_reconcile(self) -> None:
        try:
            await self._reconcile()
        except CrankseamError as error:
            log.info("weights not reconciled", extra={"error": type(error).__name__})

    async def _reconcile(self) -> None:
        policy = self._policy()
        if policy is None:
            return
        pool = self._pool(policy)
        version = await self._target_version(policy)
        if version is None:
            return
        samplers = [sampler for sampler in pool.samplers if not sampler.leaving]
        for sampler in samplers:
            self._detect_restart(pool, sampler, version)
        await self._query_unknown_states(samplers, version)
        await self._stage(policy, samplers, version)
        await self._switch(samplers, version)
        self._publish_set_aside(pool)

    def _detect_restart(self, pool: SamplerPool, sampler: BackEnd, version: int) -> None:
        """Query a sampler again if its watchers report another version than it was switched to."""
        progress = self._progress_of(sampler.name, version)
        reports = self._agent.digest.reports_for(f"{pool.name}/{sampler.name}")
        with_version = [aged for aged in reports if aged.report.version >= 0]
        if not progress.is_serving or not with_version:
            return
        newest = min(with_version, key=lambda aged: aged.age)
        if progress.is_contradicted(newest.report.version, newest.age, time.monotonic()):
            progress.reset_state()

    async def _query_unknown_states(self, samplers: list[BackEnd], version: int) -> None:
        """Query the samplers in an unknown state, each every `STATE_QUERY_INTERVAL_S`.

        The coordinator knows the result of its own orders from the answers, so that it need not
        query hundreds of samplers in every round.
        """
        now = time.monotonic()

        async def query(sampler: BackEnd) -> None:
            progress = self._progress_of(sampler.name, version)
            if not progress.is_state_query_due(now):
                return
            progress.state_queried_at = now
            try:
                state = await self._sampler.state(sampler.address)
            except SamplerError:
                return  # queried again when the next query is due
            progress.is_known = True
            progress.is_loaded = version in state.loaded
            progress.is_serving = state.serving == version

        await asyncio.gather(*(query(sampler) for sampler in samplers))

    async def _target_version(self, policy: WeightPolicy) -> int | None:
        if policy.pinned_version is not None:
            return policy.pinned_version
        versions = await self._store.versions(policy.store, policy.pool)
        return versions[-1] if versions else None

    def _progress_of(self, sampler: str, version: int) -> SamplerProgress:
        progress = self._progress.get(sampler)
        if progress is None or progress.version != version:
            progress = SamplerProgress(version)
            self._progress[sampler] = progress
        return progress

    async def _stage(self, policy: WeightPolicy, samplers: list[BackEnd], version: int) -> None:
        semaphore = asyncio.Semaphore(policy.staging_concurrency)
        now = time.monotonic()

        async def load(sampler: BackEnd) -> None:
            if not self._progress_of(sampler.name, version).is_load_due(now):
                return
            async with semaphore:
                await self._load_one(policy, sampler, version)

        await asyncio.gather(*(load(sampler) for sampler in samplers))

    def _source(self, policy: WeightPolicy, sampler: BackEnd, version: int) -> str:
        """Return the URL to load from: a caching node, or the store after a failed load.

        Caching nodes in the zone of the sampler are preferred. Without a caching node, the sampler
        loads from the store.
        """
        failed = self._progress_of(sampler.name, version).failed_loads
        region = self._pool(policy).home_region
        caching = [m for m in self._agent.digest.alive_in_region(region) if m.caches_weights]
        if not caching or failed:
            return WeightStoreClient.version_url(policy.store, policy.pool, version)
        same_zone = [member for member in caching if member.zone == sampler.zone]
        chosen = sort_by_rank(f"weights-source/{sampler.name}", same_zone or caching)[0]
        return cache_source(chosen.caller_address, policy.pool, version)

    async def _load_one(self, policy: WeightPolicy, sampler: BackEnd, version: int) -> None:
        if not self._duty.is_held():
            return
        progress = self._progress_of(sampler.name, version)
        source = self._source(policy, sampler, version)
        try:
            await self._sampler.load(sampler.address, version, source, self._duty.fence)
        except OrderRefused:
            log.warning("order refused: a newer coordinator acts", extra={"pool": policy.pool})
            return
        except OrderFailed as error:
            self._record_failed_load(policy, sampler, progress, error)
            return
        progress.is_loaded = True
        progress.failed_loads = 0
        if progress.set_aside:
            progress.set_aside = ""
            self._record_decision("bring_back", sampler, "its load succeeded")

    def _record_failed_load(
        self, policy: WeightPolicy, sampler: BackEnd, progress: SamplerProgress, error: OrderFailed
    ) -> None:
        progress.record_failed_load(time.monotonic())
        if progress.is_set_aside_due(policy.load_attempts):
            version = progress.version
            progress.set_aside = f"{progress.failed_loads} loads of {version} failed: {error}"
            self._record_decision("set_aside", sampler, progress.set_aside)

    def _record_decision(self, kind: str, sampler: BackEnd, reason: str) -> None:
        log.warning(kind, extra={"sampler": sampler.name, "reason": reason})
        self._decisions.record(
            Decision(
                decision_id=self._decisions.new_id(),
                kind=kind,
                subject=sampler.name,
                node=self._decisions.node,
                revision=self._agent.lease.snapshot.revision,
                at="",
                reason=reason,
                choice=sampler.name,
            )
        )

    async def _switch(self, samplers: list[BackEnd], version: int) -> None:
        """Switch all samplers at once, when each that answers has the version or is set aside."""
        by_name = {sampler.name: sampler for sampler in samplers}
        ready = samplers_to_switch({name: self._progress_of(name, version) for name in by_name})
        await asyncio.gather(*(self._switch_one(by_name[name], version) for name in ready))

    async def _switch_one(self, sampler: BackEnd, version: int) -> None:
        if not self._duty.is_held():
            return
        progress = self._progress_of(sampler.name, version)
        try:
            await self._sampler.switch(sampler.address, version, self._duty.fence)
        except (OrderRefused, OrderFailed) as error:
            log.info("switch failed", extra={"sampler": sampler.name, "error": str(error)})
            progress.reset_state()
            return
        progress.is_serving = True
        progress.switched_at = time.monotonic()

    def _publish_set_aside(self, pool: SamplerPool) -> None:
        """Publish which samplers are excluded from routing, as reports of this coordinator."""
        reports = []
        for sampler in pool.samplers:
            progress = self._progress.get(sampler.name)
            if progress is None:
                continue
            reports.append(
                BackEndReport(
                    target=f"{pool.name}/{sampler.name}",
                    watcher=f"{CONTROLLER_REPORT_PREFIX}{self._agent.settings.name}",
                    sequence=clocks.wall_ms(),
                    alive=True,
                    leaving=False,
                    running=0,
                    waiting=0,
                    version=NO_VERSION,
                    zone=self._agent.settings.zone,
                    set_aside=progress.set_aside,
                )
            )
        self._watch.publish_controller_reports(f"weights/{pool.name}", reports)


class WeightsController:
    """Runs a coordinator for each weight policy of the configuration."""

    def __init__(
        self,
        agent: ClusterAgent,
        session: aiohttp.ClientSession,
        decisions: DecisionLog,
        watch: BackEndWatchController,
    ) -> None:
        self._agent = agent
        self._session = session
        self._decisions = decisions
        self._watch = watch
        self._coordinators: dict[str, tuple[WeightCoordinator, asyncio.Task[None]]] = {}

    async def run(self) -> None:
        """Start and stop coordinators as policies are added and removed."""
        while True:
            policies = self._agent.lease.snapshot.weight_policies
            for name in list(self._coordinators):
                if name not in policies:
                    coordinator, task = self._coordinators.pop(name)
                    task.cancel()
                    await coordinator.release()
            for name in policies:
                if name not in self._coordinators:
                    self._start(name)
            await asyncio.sleep(POLICY_POLL_INTERVAL_S)

    def _start(self, name: str) -> None:
        coordinator = WeightCoordinator(
            self._agent, self._session, name, self._decisions, self._watch
        )
        task = self._agent.tasks.start(coordinator.run(), f"weights {name}")
        self._coordinators[name] = (coordinator, task)

    async def release(self) -> None:
        """Release all duties at a planned stop."""
        await asyncio.gather(
            *(coordinator.release() for coordinator, _ in self._coordinators.values())
        )
