"""The operations on jobs that callers use: accept, read and end.

Connects the components that manage the jobs of one process: its lease, the follower of the job
state prefix, claims, runs and reads. All durable state is in the coordination store. A job that
this process does not own is read from its owner or from the store.
"""

from __future__ import annotations

import logging

from crankseam.coordination.follower import DEFAULT_WATCH_WAIT_S, PrefixFollower
from crankseam.coordination.interface import CoordinationStore, Entry, WatchedStore
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.acceptance import JobAcceptance
from crankseam.jobs.claims import JobClaims
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.earlier_outputs import EarlierOutputs
from crankseam.jobs.errors import EndUnknown, JobUnknown
from crankseam.jobs.item_maker import ItemMaker
from crankseam.jobs.item_run import RouteFinder
from crankseam.jobs.job_memory import JobMemory
from crankseam.jobs.job_tenants import JobTenants
from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText
from crankseam.jobs.pace_sharing import PACE_PREFIX, PaceSharing
from crankseam.jobs.peer_reads import OwnerClient
from crankseam.jobs.placement import has_room
from crankseam.jobs.reader import JobReader
from crankseam.jobs.repository import STATE_PREFIX, JobRepository
from crankseam.jobs.runner import JobRunner
from crankseam.jobs.running import RunningJobs
from crankseam.memory.room import MemoryRoom
from crankseam.serving.supervisor import Supervisor
from crankseam.serving.tenants import NO_TENANT

log = logging.getLogger(__name__)


class JobService:
    """Accepts, runs, reads and ends jobs in one process.

    Args:
        maker: produces the items' results.
        find_route: looks up a job's route in the newest configuration.
        watched_store: where prefixes are watched, if not directly at the store.
        owner_client: queries the owners of jobs; if None, jobs of other processes are read from the
            store.
        memory: the memory budget of the process; None if it has none.
    """

    def __init__(
        self,
        store: CoordinationStore,
        process: str,
        dispatcher: Dispatcher,
        maker: ItemMaker,
        find_route: RouteFinder,
        supervisor: Supervisor,
        watch_wait_s: float = DEFAULT_WATCH_WAIT_S,
        watched_store: WatchedStore | None = None,
        owner_client: OwnerClient | None = None,
        memory: MemoryRoom | None = None,
    ) -> None:
        self._repository = JobRepository(store, process)
        self._dispatcher = dispatcher
        self._maker = maker
        self._find_route = find_route
        self._supervisor = supervisor
        self._owner_client = owner_client
        self._reader = JobReader(self._repository)
        self.lease = ProcessLease(store)
        self._earlier_outputs = EarlierOutputs()
        self.running = RunningJobs(
            self._make_runner,
            self.lease,
            self._reader,
            self._earlier_outputs,
            supervisor,
            JobMemory(memory),
        )
        self.pace_sharing = PaceSharing(
            store, self.lease, process, dispatcher.paces, dispatcher.is_registered
        )
        self.state = PrefixFollower(
            watched_store or store, STATE_PREFIX, self._state_changed, watch_wait_s
        )
        self.claims = JobClaims(
            self._repository, self.lease, self.running, supervisor, process, self.state
        )
        self._acceptance = JobAcceptance(
            self._repository,
            self.lease,
            self.running,
            self.claims,
            maker.item_seconds,
            maker.due_s,
        )
        self.tenants = JobTenants(self._repository, self.running, self.state)
        self.lease.on_new.append(self.claims.lease_replaced)
        self.lease.on_recovered.append(self.state.restart)

    def _make_runner(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        kept: dict[str, PartialText],
    ) -> JobRunner:
        """See RunnerFactory."""
        route = self._find_route(job)
        earlier = self._earlier_outputs.reusable_outputs(
            job, route is not None and route.single_version
        )
        if earlier.finished or earlier.partial:
            log.info(
                "texts_carried",
                extra={
                    "job": job.id,
                    "finished": len(earlier.finished),
                    "partial": len(earlier.partial),
                },
            )
        return JobRunner(
            job,
            listed,
            earlier.partial | kept,
            list(earlier.finished.values()),
            self._repository,
            self._maker,
            self.running.memory,
        )

    def _state_changed(self, key: str, entry: Entry | None) -> None:
        if key.startswith(PACE_PREFIX):
            self.pace_sharing.state_changed(key, entry)
        else:
            self.claims.state_changed(key, entry)

    def start(self) -> None:
        """Start the background tasks."""
        self._supervisor.keep(self.lease.run, "lease")
        self._supervisor.keep(self.state.run, "follow jobs")
        self._supervisor.keep(self._dispatcher.run, "dispatch")
        self._supervisor.keep(self.pace_sharing.run, "paces")

    def running_count(self) -> int:
        """Number of jobs that run in this process."""
        return len(self.running.runners)

    def has_room(self, items: int) -> bool:
        """See JobAcceptor."""
        unlisted = sum(runner.unlisted_count() for runner in self.running.runners.values())
        return self.claims.active and has_room(unlisted, items)

    # --- accept and end

    async def submit(self, job: JobDefinition, deadline: float) -> None:
        """Accept a job; returns once it is stored durably. See JobAcceptance.submit."""
        await self._acceptance.submit(job, deadline)

    async def end(self, job_id: str, tenant: str = NO_TENANT) -> None:
        """End a job of a tenant; idempotent.

        Raises:
            JobUnknown: there is no such job.
            EndUnknown: the job may have ended, or may still.
            KeyValueError: the job has not ended.
        """
        if self.running.has_ended(job_id):
            return
        known = self.running.was_owned(job_id) or self._reader.is_cached(job_id)
        if not known and not await self._repository.exists(job_id):
            raise JobUnknown(job_id)
        try:
            await self._repository.end(job_id, tenant)
        except KeyValueUnavailable:
            raise
        except KeyValueError as error:
            raise EndUnknown(job_id) from error
        log.info("job_ended", extra={"job": job_id})
        self.running.end(job_id)

    # --- read

    async def read(self, job_id: str, position: int, wait_s: float) -> tuple[int, list[ItemResult]]:
        """Number of items, and the listed results from a position on.

        Args:
            wait_s: seconds to wait for a result at this position if none is listed.

        Raises:
            JobUnknown: there is no such job.
            KeyValueError: this process is not certain of the listed results, and neither the job's
                owner nor the store answered.
        """
        runner = self.running.runners.get(job_id)
        if runner is not None and self.is_owner(job_id):
            if wait_s:
                await runner.listing.wait_for(position, wait_s)
            results = runner.listing.results
            if len(results) > position or self.is_owner(job_id):
                return len(runner.job.items), results[position:]
        owner = self.claims.other_owner(job_id)
        if owner is not None and self._owner_client is not None:
            answer = await self._owner_client.results(owner, job_id, position, wait_s)
            if answer is not None:
                return answer
        return await self._reader.read(job_id, position, wait_s)

    async def item(self, job_id: str, item_id: str) -> ItemDefinition:
        """The definition of an item; raises JobUnknown if there is no such job or item.

        Of a large job, items that are listed are not known any more.
        """
        runner = self.running.runners.get(job_id)
        if runner is not None and not runner.accepted.is_set():
            runner = None
        owner = self.claims.other_owner(job_id)
        if runner is None and owner is not None and self._owner_client is not None:
            found = await self._owner_client.item(owner, job_id, item_id)
            if found is not None:
                return found
        definition = runner.job if runner else await self._reader.definition(job_id)
        for item in definition.items:
            if item.id == item_id:
                if runner is not None and runner.is_large and runner.listing.is_listed(item_id):
                    break
                return item
        raise JobUnknown(item_id)

    def is_owner(self, job_id: str) -> bool:
        """Whether this process owns a job and knows its listed results.

        Results that were listed a moment ago may be missing; see ResultListing.is_certain.
        """
        runner = self.running.runners.get(job_id)
        return runner is not None and runner.listing.is_certain() and self.running.is_owner(job_id)

    async def stop(self) -> None:
        """Hand the jobs over: end the lease, so that other processes claim them."""
        self.claims.active = False
        for job_id, runner in list(self.running.runners.items()):
            if runner.accepted.is_set():
                await runner.save_progress()
            self.running.stop(job_id)
        await self.lease.end()
