"""Claims open jobs that have no living owner, and resumes their runs.

Keeps track of the claims in progress. What is known about jobs comes from the follower of the job
state prefix. take_over.py decides when this process tries to claim a job, the store decides which
process wins, and RunningJobs runs the jobs that were won.
"""

from __future__ import annotations

import asyncio
import logging
import random
from functools import partial

from crankseam import clocks
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import Entry
from crankseam.coordination.presence import live_capacities
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueError
from crankseam.jobs.demand import ModelDemand, decode_open_job
from crankseam.jobs.repository import OPEN_PREFIX, OWNER_PREFIX, JobRepository
from crankseam.jobs.running import RunningJobs
from crankseam.jobs.take_over import (
    FORMER_OWNER_POLL_DURATION_S,
    FORMER_OWNER_POLL_INTERVAL_S,
    MAX_CLAIM_RETRY_DELAY_S,
    claim_delay_s,
    needs_owner,
)
from crankseam.serving.supervisor import Supervisor

log = logging.getLogger(__name__)


class JobClaims:
    """Claims and gives up jobs as their keys below the job state prefix change.

    Parameters
    ==========

    process : this process's name.
    state : follower of the job state prefix.

    Attributes
    ==========

    demand : what the open jobs of each model need.
    active : False once this process hands its jobs over.
    """

    def __init__(
        self,
        repository: JobRepository,
        lease: ProcessLease,
        running: RunningJobs,
        supervisor: Supervisor,
        process: str,
        state: PrefixFollower,
    ) -> None:
        self._repository = repository
        self._lease = lease
        self._running = running
        self._supervisor = supervisor
        self._process_name = process
        self._process_bytes = process.encode()
        self._state = state
        self._claiming: set[str] = set()
        self._owners: dict[str, str] = {}
        """Owning process by open job, according to the last update from the store."""
        self.demand = ModelDemand()
        self.active = True

    def _owner(self, job_id: str) -> Entry | None:
        return self._state.entries.get(OWNER_PREFIX + job_id)

    def other_owner(self, job_id: str) -> str | None:
        """The name of another process that is known to own the job; None if there is none."""
        owner = self._owner(job_id)
        if owner is None or owner.value == self._process_bytes:
            return None
        return owner.value.decode()

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Handle a changed or removed key below the job state prefix."""
        if key.startswith(OPEN_PREFIX):
            job_id = key.removeprefix(OPEN_PREFIX)
            if entry is None:
                self.demand.ended(job_id)
                self._running.end(job_id)
            else:
                self.demand.opened(job_id, decode_open_job(entry.value))
                self._schedule_claim(job_id)
        elif key.startswith(OWNER_PREFIX):
            self._owner_changed(key.removeprefix(OWNER_PREFIX), entry)

    def owners(self) -> set[str]:
        """Names of the processes that are known to own open jobs."""
        return set(self._owners.values())

    def _owner_changed(self, job_id: str, entry: Entry | None) -> None:
        if entry is None:
            self._owners.pop(job_id, None)
        else:
            self._owners[job_id] = entry.value.decode()
        if entry is None:
            self._schedule_claim(job_id)
        elif entry.value != self._process_bytes:
            self._stop_lost_run(job_id, entry.value.decode())
        elif not self._running.was_owned(job_id):
            self._schedule_claim(job_id)

    def _stop_lost_run(self, job_id: str, owner: str) -> None:
        """Stop the run of a job that another process owns now, and list its finished results."""
        runner = self._running.runners.get(job_id)
        if runner is None:
            return
        log.warning("job_lost", extra={"job": job_id, "owner": owner})
        self._running.stop(job_id)
        self._supervisor.once(runner.list_pending, f"rest of {job_id}")

    def lease_replaced(self, _lease: int) -> None:
        """Claim the running jobs again: their owner keys went with the old lease."""
        for job_id, runner in self._running.runners.items():
            if runner.accepted.is_set():
                self._schedule_claim(job_id)

    # --- claiming

    def _needs_owner(self, job_id: str) -> bool:
        owner = self._owner(job_id)
        return needs_owner(
            OPEN_PREFIX + job_id in self._state.entries,
            owner.value if owner is not None else None,
            self._process_bytes,
            self._running.is_owned_under_current_lease(job_id),
        )

    def _was_owned_here(self, job_id: str) -> bool:
        owner = self._owner(job_id)
        return owner is not None and owner.value == self._process_bytes

    def _schedule_claim(self, job_id: str) -> None:
        if job_id not in self._claiming:
            self._claiming.add(job_id)
            self._supervisor.once(partial(self._claim_after_delay, job_id), f"claim {job_id}")

    async def _claim_after_delay(self, job_id: str) -> None:
        """Try to claim a job until it has an owner or this process hands its jobs over.

        The keys that tell its state may not have arrived yet, so the need for an owner is checked
        before each try.
        """
        try:
            # A process that runs the job, or ran it before a restart, tries without delay.
            if job_id not in self._running.runners and not self._was_owned_here(job_id):
                await asyncio.sleep(self._claim_delay_s(job_id))
            while self._needs_owner(job_id) and self.active:
                if await self._claim(job_id):
                    return
                await asyncio.sleep(random.uniform(0.5, 1.0) * MAX_CLAIM_RETRY_DELAY_S)
        finally:
            self._claiming.discard(job_id)

    def _claim_delay_s(self, job_id: str) -> float:
        return claim_delay_s(
            self._ranking_subject(job_id), live_capacities(self._state), self._process_name
        )

    def _ranking_subject(self, job_id: str) -> str:
        """The subject for which processes are ranked; see claim_delay_s."""
        opened = self._state.entries.get(OPEN_PREFIX + job_id)
        model = decode_open_job(opened.value).model if opened is not None else ""
        return model or job_id

    async def _claim(self, job_id: str) -> bool:
        """Try once to claim a job; False if the claim has to be tried again."""
        try:
            lease = await self._lease.ensure()
            if not await self._repository.claim(job_id, lease):
                return True
            if job_id in self._running.runners:
                self._running.runners[job_id].accepted.set()
                return await self._reclaim_running_job(job_id, lease)
            stored = await self._repository.load(job_id)
            if stored is None or stored.ended:
                return True
        except KeyValueError:
            # The caller retries while the job needs an owner.
            return False
        log.info(
            "job_taken_over",
            extra={"job": job_id, "chunks": len(stored.chunks), "kept": len(stored.kept)},
        )
        self._running.record_ownership(job_id, lease)
        self._running.start(stored.definition, stored.chunks, stored.kept)
        self._start_former_owner_poll(job_id)
        return True

    async def _reclaim_running_job(self, job_id: str, lease: int) -> bool:
        """Resume ownership of a job that still runs here.

        Reads the results that other processes may have listed in the meantime. Returns True, as
        _claim does once nothing is left to try.
        """
        await self.read_new_chunks(job_id)
        if job_id not in self._running.runners:
            return True
        self._running.record_ownership(job_id, lease)
        self._start_former_owner_poll(job_id)
        return True

    # --- results listed by other processes

    async def read_new_chunks(self, job_id: str) -> None:
        """Read the results that other processes have listed of a job that runs here."""
        runner = self._running.runners.get(job_id)
        if runner is None:
            return
        first_number = runner.listing.chunks
        chunks, _ = await self._repository.read_chunks(job_id, first_number)
        runner.listing.add_chunks(first_number, chunks)

    def _start_former_owner_poll(self, job_id: str) -> None:
        self._supervisor.once(partial(self._poll_former_owner, job_id), f"follow {job_id}")

    async def _poll_former_owner(self, job_id: str) -> None:
        """Poll the job's results for FORMER_OWNER_POLL_DURATION_S.

        A write of the former owner that got no answer may still take effect. Without the polling,
        readers of the store would see results that the new owner does not know.
        """
        runner = self._running.runners.get(job_id)
        if runner is None:
            return
        listing = runner.listing
        listing.former_owner_polled_at = clocks.boottime_s()
        end = listing.former_owner_polled_at + FORMER_OWNER_POLL_DURATION_S
        while (
            clocks.boottime_s() < end
            and self._running.runners.get(job_id) is runner
            and self._running.is_owner(job_id)
        ):
            await asyncio.sleep(FORMER_OWNER_POLL_INTERVAL_S)
            asked_at = clocks.boottime_s()
            try:
                await self.read_new_chunks(job_id)
                listing.former_owner_polled_at = asked_at
            except KeyValueError as error:
                log.warning(
                    "results_not_read", extra={"job": job_id, "error": type(error).__name__}
                )
        listing.former_owner_polled_at = None
