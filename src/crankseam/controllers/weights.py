"""Weight coordinator of one pool: stages a version on all samplers ahead, then switches them.

Owns the orders to samplers and what is known of each for the version under way. Relies on
`weight_rules` for when to order what, on the duty's lease for whether it may, and on the weight
store for the newest version. The duty's fencing token goes with every order, so that a coordinator
that was paused and wakes late is refused by the samplers.

`orders/version_coordinator` does this on the users' platform, and differs by intent: there trainers
name the versions, a sampler carries several models and stands still for one while it loads it, and
a few load at a time so that little work is broken off. The two share no rule but the fence.
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
from crankseam.records.slots import ranked
from crankseam.routing import NOTE_PREFIX
from crankseam.weights_cache import cache_source

log = logging.getLogger(__name__)

POLICY_POLL_S = 0.5
"""How often policies are looked for that came or went. Origin not recorded."""
COORDINATOR_CANDIDATES = 2
"""Nodes that compete for a pool's duty: one may die, and the key-value service pays for no more.
Origin not recorded."""
SAMPLER_SILENCE_S = 5.0
"""Silence after which a sampler's answer is given up. Origin not recorded."""


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
        self._sampler = SamplerClient(session, silence_timeout=SAMPLER_SILENCE_S)
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
        except CrankseamError as error:
            log.info("weights not reconciled", extra={"error": type(error).__name__})

    async def _reconcile(self) -> None:
        policy = self._policy()
        if policy is None:
            return
        pool = self._pool(policy)
        version = await self._wanted_version(policy)
        if version is None:
            return
        samplers = [sampler for sampler in pool.samplers if not sampler.leaving]
        for sampler in samplers:
            self._notice_restart(pool, sampler, version)
        await self._look_at_unknown(samplers, version)
        await self._stage(policy, samplers, version)
        await self._switch(samplers, version)
        self._publish_set_aside(pool)

    def _notice_restart(self, pool: SamplerPool, sampler: BackEnd, version: int) -> None:
        """Have a sampler looked at again that its watchers see at another version."""
        progress = self._progress_of(sampler.name, version)
        reports = self._agent.digest.reports_for(f"{pool.name}/{sampler.name}")
        seen = [each for each in reports if each.report.version >= 0]
        if not progress.is_serving or not seen:
            return
        newest = min(seen, key=lambda each: each.age)
        if progress.is_contradicted(newest.report.version, newest.age, time.monotonic()):
            progress.forget_state()

    async def _look_at_unknown(self, samplers: list[BackEnd], version: int) -> None:
        """Ask those samplers for their state of which nothing is known, every few seconds.

        What this coordinator ordered itself it knows from the answers, so that it does not ask
        hundreds of samplers all the time.
        """
        now = time.monotonic()

        async def look(sampler: BackEnd) -> None:
            progress = self._progress_of(sampler.name, version)
            if not progress.is_look_due(now):
                return
            progress.looked_at = now
            try:
                state = await self._sampler.state(sampler.address)
            except SamplerError:
                return  # looked at again when the next look is due
            progress.is_known = True
            progress.is_loaded = version in state.loaded
            progress.is_serving = state.serving == version

        await asyncio.gather(*(look(sampler) for sampler in samplers))

    async def _wanted_version(self, policy: WeightPolicy) -> int | None:
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
        gate = asyncio.Semaphore(policy.staging_concurrency)
        now = time.monotonic()

        async def load(sampler: BackEnd) -> None:
            if not self._progress_of(sampler.name, version).is_load_due(now):
                return
            async with gate:
                await self._load_one(policy, sampler, version)

        await asyncio.gather(*(load(sampler) for sampler in samplers))

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
            self._note_failed_load(policy, sampler, progress, error)
            return
        progress.is_loaded = True
        progress.failed_loads = 0
        if progress.set_aside:
            progress.set_aside = ""
            self._decide("bring_back", sampler, "its load succeeded")

    def _note_failed_load(
        self, policy: WeightPolicy, sampler: BackEnd, progress: SamplerProgress, error: OrderFailed
    ) -> None:
        progress.note_failed_load(time.monotonic())
        if progress.is_set_aside_due(policy.load_attempts):
            version = progress.version
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

    async def _switch(self, samplers: list[BackEnd], version: int) -> None:
        """Switch all at once, when each sampler that answers has the version or is set aside."""
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
            progress.forget_state()
            return
        progress.is_serving = True
        progress.switched_at = time.monotonic()

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
                    watcher=f"{NOTE_PREFIX}{self._agent.settings.name}",
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
            await asyncio.sleep(POLICY_POLL_S)

    def _start(self, name: str) -> None:
        coordinator = WeightCoordinator(
            self._agent, self._session, name, self._decisions, self._watch
        )
        task = self._agent.tasks.start(coordinator.run(), f"weights {name}")
        self._running[name] = (coordinator, task)

    async def release(self) -> None:
        """Hand over all duties at a planned stop."""
        await asyncio.gather(*(coordinator.release() for coordinator, _ in self._running.values()))
