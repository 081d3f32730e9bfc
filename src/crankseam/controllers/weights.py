"""Weight coordinator of one pool: stages a version on all samplers ahead, then switches them.

The coordinator holds a duty lease; its fencing token goes with every order, so that a coordinator
that was paused and wakes late is refused by the samplers.
"""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass, field

import aiohttp

from crankseam import clocks
from crankseam.backoff import Backoff
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
from crankseam.decisions import Decision, DecisionLog
from crankseam.errors import CrankseamError
from crankseam.peers.messages import BackEndReport
from crankseam.records.slots import ranked
from crankseam.weights_cache import cache_source

log = logging.getLogger(__name__)

POLICY_POLL_SECONDS = 0.5
COORDINATOR_CANDIDATES = 2
LOOK_SECONDS = 2.0
"""A sampler whose state is unknown is asked for it this often."""
REPORT_LAG_SECONDS = 3.0
"""Reports lag behind; one that came later than this after a switch must show it."""
LOAD_BACKOFF_BASE = 0.2
LOAD_BACKOFF_CAP = 3.0


@dataclass
class SamplerProgress:
    """What this coordinator did with one sampler for the version under way."""

    version: int
    is_known: bool = False
    """Whether its state was read, or follows from an order that it carried out."""
    is_loaded: bool = False
    is_serving: bool = False
    looked_at: float = float("-inf")
    switched_at: float = float("-inf")
    failed_loads: int = 0
    set_aside: str = ""
    backoff: Backoff = field(default_factory=lambda: Backoff(LOAD_BACKOFF_BASE, LOAD_BACKOFF_CAP))
    retry_at: float = 0.0

    def forget_state(self) -> None:
        """Have the sampler looked at again."""
        self.is_known = False
        self.is_loaded = False
        self.is_serving = False


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
        """A sampler that its watchers see at another version than it was switched to is looked at
        again: it was started anew, or another coordinator ordered it."""
        progress = self._progress_of(sampler.name, version)
        reports = self._agent.digest.reports_for(f"{pool.name}/{sampler.name}")
        seen = [item for item in reports if item[0].version >= 0]
        if not progress.is_serving or not seen:
            return
        report, age = min(seen, key=lambda item: item[1])
        since_switch = time.monotonic() - progress.switched_at
        if report.version != version and age < since_switch - REPORT_LAG_SECONDS:
            progress.forget_state()

    async def _look_at_unknown(self, samplers: list[BackEnd], version: int) -> None:
        """Ask those samplers for their state of which nothing is known, every few seconds.

        What this coordinator ordered itself it knows from the answers, so that it does not ask
        hundreds of samplers all the time.
        """
        now = time.monotonic()

        async def look(sampler: BackEnd) -> None:
            progress = self._progress_of(sampler.name, version)
            if progress.is_known or now - progress.looked_at < LOOK_SECONDS:
                return
            progress.looked_at = now
            try:
                state = await self._sampler.state(sampler.address)
            except SamplerError:
                return
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
            progress = self._progress_of(sampler.name, version)
            if not progress.is_known or progress.is_loaded or progress.retry_at > now:
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
        progress.failed_loads += 1
        progress.retry_at = time.monotonic() + progress.backoff.next_delay()
        if progress.failed_loads >= policy.load_attempts and not progress.set_aside:
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
        progress = {item.name: self._progress_of(item.name, version) for item in samplers}
        known = [item for item in samplers if progress[item.name].is_known]
        behind = [item for item in known if not progress[item.name].is_serving]
        for sampler in behind:
            own = progress[sampler.name]
            if not own.is_loaded and not own.set_aside:
                return
        ready = [item for item in behind if progress[item.name].is_loaded]
        await asyncio.gather(*(self._switch_one(sampler, version) for sampler in ready))

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
                    watcher=f"weights/{self._agent.settings.name}",
                    sequence=clocks.wall_ms(),
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
