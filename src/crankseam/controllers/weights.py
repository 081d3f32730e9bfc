"""Weight coordinator of one pool: stages a version on all samplers ahead, then switches them.

The coordinator holds a duty lease; its fencing token goes with every order, so that a coordinator
that was paused and wakes late is refused by the samplers.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

import aiohttp

from crankseam.backoff import Backoff
from crankseam.clients.sampler import (
    OrderFailed,
    OrderRefused,
    SamplerClient,
    SamplerError,
    SamplerState,
)
from crankseam.clients.weight_store import WeightStoreClient, WeightStoreError
from crankseam.cluster.agent import ClusterAgent, wall_milliseconds
from crankseam.config.kinds import BackEnd, SamplerPool, WeightPolicy
from crankseam.controllers.back_end_watch import BackEndWatchController
from crankseam.controllers.duty import Duty
from crankseam.decisions import Decision, DecisionLog
from crankseam.errors import CrankseamError
from crankseam.peers.messages import BackEndReport
from crankseam.records.slots import ranked
from crankseam.weights_cache import cache_source

log = logging.getLogger(__name__)

POLICY_POLL_SECONDS = 0.5
COORDINATOR_CANDIDATES = 2
LOAD_BACKOFF_BASE = 0.2
LOAD_BACKOFF_CAP = 3.0


@dataclass
class SamplerProgress:
    """What this coordinator did with one sampler for the version under way."""

    version: int
    failed_loads: int = 0
    set_aside: str = ""
    backoff: Backoff = field(default_factory=lambda: Backoff(LOAD_BACKOFF_BASE, LOAD_BACKOFF_CAP))
    retry_at: float = 0.0


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
        self._sampler = SamplerClient(session, silence_timeout=5.0)
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
        """Compete for the duty and carry it out until cancelled."""
        competing: asyncio.Task[None] | None = None
        try:
            while True:
                wanted = self._is_candidate()
                if wanted and competing is None:
                    competing = self._agent.tasks.start(self._duty.run(), "weights duty")
                if not wanted and competing is not None:
                    competing.cancel()
                    competing = None
                    await self._duty.release()
                if self._duty.is_held():
                    await self._reconcile_safely()
                await asyncio.sleep(self._agent.settings.timing.weights_poll)
        finally:
            if competing is not None:
                competing.cancel()

    async def release(self) -> None:
        """Hand the duty over at a planned stop."""
        await self._duty.release()

    def _is_candidate(self) -> bool:
        policy = self._policy()
        if policy is None or self._agent.is_leaving:
            return False
        members = self._agent.digest.alive_in_region(self._pool(policy).home_region)
        order = ranked(f"weights/{policy.name}", members)[:COORDINATOR_CANDIDATES]
        return any(member.name == self._agent.settings.name for member in order)

    def _policy(self) -> WeightPolicy | None:
        return self._agent.lease.snapshot.weight_policies.get(self._policy_name)

    def _pool(self, policy: WeightPolicy) -> SamplerPool:
        return self._agent.lease.snapshot.pools[policy.pool]

    # --- reconciling

    async def _reconcile_safely(self) -> None:
        try:
            await self._reconcile()
        except (WeightStoreError, CrankseamError) as error:
            log.info("weights not reconciled", extra={"error": type(error).__name__})

    async def _reconcile(self) -> None:
        policy = self._policy()
        if policy is None:
            return
        pool = self._pool(policy)
        version = await self._wanted_version(policy)
        if version is None:
            return
        states = await self._read_states(pool)
        await self._stage(policy, pool, version, states)
        states = await self._read_states(pool)
        await self._switch(pool, version, states)
        self._publish_set_aside(pool)

    async def _wanted_version(self, policy: WeightPolicy) -> int | None:
        if policy.pinned_version is not None:
            return policy.pinned_version
        versions = await self._store.versions(policy.store, policy.pool)
        return versions[-1] if versions else None

    async def _read_states(self, pool: SamplerPool) -> dict[str, SamplerState]:
        async def read(sampler: BackEnd) -> tuple[str, SamplerState | None]:
            try:
                return sampler.name, await self._sampler.state(sampler.address)
            except SamplerError:
                return sampler.name, None

        found = await asyncio.gather(*(read(s) for s in pool.samplers if not s.leaving))
        return {name: state for name, state in found if state is not None}

    def _progress_of(self, sampler: str, version: int) -> SamplerProgress:
        progress = self._progress.get(sampler)
        if progress is None or progress.version != version:
            progress = SamplerProgress(version)
            self._progress[sampler] = progress
        return progress

    async def _stage(
        self, policy: WeightPolicy, pool: SamplerPool, version: int, states: dict[str, SamplerState]
    ) -> None:
        gate = asyncio.Semaphore(policy.staging_concurrency)
        now = asyncio.get_running_loop().time()

        async def load(sampler: BackEnd) -> None:
            async with gate:
                await self._load_one(
                    policy, sampler, version, self._source(policy, sampler, version)
                )

        waiting = [
            sampler
            for sampler in pool.samplers
            if sampler.name in states
            and version not in states[sampler.name].loaded
            and self._progress_of(sampler.name, version).retry_at <= now
        ]
        await asyncio.gather(*(load(sampler) for sampler in waiting))

    def _source(self, policy: WeightPolicy, sampler: BackEnd, version: int) -> str:
        """A caching node, of the sampler's zone if there is one; the store after a failed load."""
        failed = self._progress_of(sampler.name, version).failed_loads
        region = self._pool(policy).home_region
        caching = [m for m in self._agent.digest.alive_in_region(region) if m.caches_weights]
        if not caching or failed:
            return WeightStoreClient.source(policy.store, policy.pool, version)
        near = [member for member in caching if member.zone == sampler.zone]
        chosen = ranked(f"weights-source/{sampler.name}", near or caching)[0]
        return cache_source(chosen.caller_address, policy.pool, version)

    async def _load_one(
        self, policy: WeightPolicy, sampler: BackEnd, version: int, source: str
    ) -> None:
        if not self._duty.is_held():
            return
        progress = self._progress_of(sampler.name, version)
        try:
            await self._sampler.load(sampler.address, version, source, self._duty.fence)
            progress.failed_loads = 0
            if progress.set_aside:
                progress.set_aside = ""
                self._decide("bring_back", sampler, "its load succeeded")
        except OrderRefused:
            log.warning("order refused: a newer coordinator acts", extra={"pool": policy.pool})
        except OrderFailed as error:
            progress.failed_loads += 1
            now = asyncio.get_running_loop().time()
            progress.retry_at = now + progress.backoff.next_delay()
            if progress.failed_loads >= policy.load_attempts and not progress.set_aside:
                progress.set_aside = f"{progress.failed_loads} loads of {version} failed: {error}"
                self._decide("set_aside", sampler, progress.set_aside)

    def _decide(self, kind: str, sampler: BackEnd, reason: str) -> None:
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

    async def _switch(
        self, pool: SamplerPool, version: int, states: dict[str, SamplerState]
    ) -> None:
        """Switch all at once, when each sampler that answers has the version or is set aside."""
        behind = [
            sampler
            for sampler in pool.samplers
            if sampler.name in states and states[sampler.name].serving != version
        ]
        for sampler in behind:
            has_version = version in states[sampler.name].loaded
            if not has_version and not self._progress_of(sampler.name, version).set_aside:
                return
        ready = [sampler for sampler in behind if version in states[sampler.name].loaded]
        await asyncio.gather(*(self._switch_one(sampler, version) for sampler in ready))

    async def _switch_one(self, sampler: BackEnd, version: int) -> None:
        if not self._duty.is_held():
            return
        try:
            await self._sampler.switch(sampler.address, version, self._duty.fence)
        except (OrderRefused, OrderFailed) as error:
            log.info("switch failed", extra={"sampler": sampler.name, "error": str(error)})

    def _publish_set_aside(self, pool: SamplerPool) -> None:
        """Tell all nodes which samplers are out of routing, as reports of this watcher."""
        reports = []
        for sampler in pool.samplers:
            progress = self._progress.get(sampler.name)
            if progress is None:
                continue
            reports.append(
                BackEndReport(
                    target=f"{pool.name}/{sampler.name}",
                    watcher=f"weights/{self._agent.settings.name}",
                    sequence=wall_milliseconds(),
                    alive=True,
                    leaving=False,
                    running=0,
                    waiting=0,
                    version=-1,
                    zone=self._agent.settings.zone,
                    set_aside=progress.set_aside,
                )
            )
        self._watch.publish_notes(f"weights/{pool.name}", reports)


class WeightsController:
    """Runs one coordinator for each weight policy of the configuration."""

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
        self._running: dict[str, tuple[WeightCoordinator, asyncio.Task[None]]] = {}

    async def run(self) -> None:
        """Start and stop coordinators as policies come and go."""
        while True:
            wanted = self._agent.lease.snapshot.weight_policies
            for name in list(self._running):
                if name not in wanted:
                    coordinator, task = self._running.pop(name)
                    task.cancel()
                    await coordinator.release()
            for name in wanted:
                if name not in self._running:
                    self._start(name)
            await asyncio.sleep(POLICY_POLL_SECONDS)

    def _start(self, name: str) -> None:
        coordinator = WeightCoordinator(
            self._agent, self._session, name, self._decisions, self._watch
        )
        task = self._agent.tasks.start(coordinator.run(), f"weights {name}")
        self._running[name] = (coordinator, task)

    async def release(self) -> None:
        """Hand over all duties at a planned stop."""
        await asyncio.gather(*(coordinator.release() for coordinator, _ in self._running.values()))
