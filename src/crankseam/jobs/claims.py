"""Claims open jobs that have no living owner, and goes on with their runs.

Owns the claims that are under way. Relies on the follower of the jobs' states for what is known, on
the store for who wins, on take_over.py for when to try, and on RunningJobs for the runs.
"""

from __future__ import annotations

import asyncio
import logging
import random
from functools import partial

from crankseam import clocks
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import Entry
from crankseam.coordination.presence import living_capacities
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueError
from crankseam.jobs.demand import ModelDemand, decode_open_job
from crankseam.jobs.repository import OPEN_PREFIX, OWNER_PREFIX, JobRepository
from crankseam.jobs.running import RunningJobs
from crankseam.jobs.take_over import (
    FORMER_OWNER_LOOK_S,
    FORMER_OWNER_S,
    RECLAIM_S,
    claim_delay_s,
    needs_owner,
)
from crankseam.serving.supervisor import Supervisor

log = logging.getLogger(__name__)


class JobClaims:
    """Reacts to the prefix of jobs' states.

    Parameters
    ==========

    process : this process's name.
    state : follows the prefix of jobs' states.
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
        self._name = process
        self._process = process.encode()
        self._state = state
        self._claiming: set[str] = set()
        self._owners: dict[str, str] = {}
        """Process by open job, as the store last told."""
        self.demand = ModelDemand()
        self.active = True
        """False once this process hands its jobs over."""

    def _owner(self, job_id: str) -> Entry | None:
        return self._state.entries.get(OWNER_PREFIX + job_id)

    def other_owner(self, job_id: str) -> str | None:
        """The process that is known to own a job, if it is another one."""
        owner = self._owner(job_id)
        if owner is None or owner.value == self._process:
            return None
        return owner.value.decode()

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Take a change below the prefix of states."""
        if key.startswith(OPEN_PREFIX):
            job_id = key.removeprefix(OPEN_PREFIX)
            if entry is None:
                self.demand.ended(job_id)
                self._running.end(job_id)
            else:
                self.demand.opened(job_id, decode_open_job(entry.value))
                self._consider(job_id)
        elif key.startswith(OWNER_PREFIX):
            self._owner_changed(key.removeprefix(OWNER_PREFIX), entry)

    def owners(self) -> set[str]:
        """Processes that run open jobs, as far as is known."""
        return set(self._owners.values())

    def _owner_changed(self, job_id: str, entry: Entry | None) -> None:
        if entry is None:
            self._owners.pop(job_id, None)
        else:
            self._owners[job_id] = entry.value.decode()
        if entry is None:
            self._consider(job_id)
        elif entry.value != self._process:
            self._lose(job_id, entry.value.decode())
        elif not self._running.was_owned(job_id):
            self._consider(job_id)

    def _lose(self, job_id: str, owner: str) -> None:
        """Another process owns the job: stop the run, and list what it had finished."""
        runner = self._running.runners.get(job_id)
        if runner is None:
            return
        log.warning("job_lost", extra={"job": job_id, "owner": owner})
        self._running.stop(job_id)
        self._supervisor.once(runner.list_rest, f"rest of {job_id}")

    def lease_replaced(self, _lease: int) -> None:
        """The keys of the old lease are gone: claim the own jobs again."""
        for job_id, runner in self._running.runners.items():
            if runner.accepted.is_set():
                self._consider(job_id)

    # --- claiming

    def _needs_owner(self, job_id: str) -> bool:
        owner = self._owner(job_id)
        return needs_owner(
            OPEN_PREFIX + job_id in self._state.entries,
            owner.value if owner is not None else None,
            self._process,
            self._running.is_owned_under_current_lease(job_id),
        )

    def _was_own(self, job_id: str) -> bool:
        owner = self._owner(job_id)
        return owner is not None and owner.value == self._process

    def _consider(self, job_id: str) -> None:
        if job_id not in self._claiming:
            self._claiming.add(job_id)
            self._supervisor.once(partial(self._claim_later, job_id), f"claim {job_id}")

    async def _claim_later(self, job_id: str) -> None:
        """Claim a job while it has no owner; its entries may still be on their way."""
        try:
            # Who runs it already, or did before it started again, goes first.
            if job_id not in self._running.runners and not self._was_own(job_id):
                await asyncio.sleep(self._claim_delay_s(job_id))
            while self._needs_owner(job_id) and self.active:
                if await self._claim(job_id):
                    return
                await asyncio.sleep(random.uniform(0.5, 1.0) * RECLAIM_S)
        finally:
            self._claiming.discard(job_id)

    def _claim_delay_s(self, job_id: str) -> float:
        return claim_delay_s(self._subject(job_id), living_capacities(self._state), self._name)

    def _subject(self, job_id: str) -> str:
        """See claim_delay_s."""
        opened = self._state.entries.get(OPEN_PREFIX + job_id)
        model = decode_open_job(opened.value).model if opened is not None else ""
        return model or job_id

    async def _claim(self, job_id: str) -> bool:
        """Try once; True when there is nothing left to try."""
        try:
            lease = await self._lease.ensure()
            if not await self._repository.claim(job_id, lease):
                return True
            if job_id in self._running.runners:
                self._running.runners[job_id].accepted.set()
                return await self._catch_up(job_id, lease)
            stored = await self._repository.load(job_id)
            if stored is None or stored.ended:
                return True
        except KeyValueError:
            # The caller tries again while the job needs an owner.
            return False
        log.info(
            "job_taken_over",
            extra={"job": job_id, "chunks": len(stored.chunks), "kept": len(stored.kept)},
        )
        self._running.own(job_id, lease)
        self._running.start(stored.definition, stored.chunks, stored.kept)
        self._follow_former_owner(job_id)
        return True

    async def _catch_up(self, job_id: str, lease: int) -> bool:
        """Own a job again that still runs here; others may have listed results meanwhile."""
        await self.take_listed(job_id)
        if job_id not in self._running.runners:
            return True
        self._running.own(job_id, lease)
        self._follow_former_owner(job_id)
        return True

    # --- what others listed

    async def take_listed(self, job_id: str) -> None:
        """Take what others have listed of a job that runs here."""
        runner = self._running.runners.get(job_id)
        if runner is None:
            return
        first_number = runner.listing.chunks
        chunks, _ = await self._repository.read_chunks(job_id, first_number)
        runner.listing.take_chunks(first_number, chunks)

    def _follow_former_owner(self, job_id: str) -> None:
        self._supervisor.once(partial(self._read_on, job_id), f"follow {job_id}")

    async def _read_on(self, job_id: str) -> None:
        """Read on for a while: a former owner's last listing may still take effect.

        Without this, readers of the store would see results that the owner does not know.
        """
        runner = self._running.runners.get(job_id)
        if runner is None:
            return
        listing = runner.listing
        listing.checked_at = clocks.promised_s()
        end = listing.checked_at + FORMER_OWNER_S
        while (
            clocks.promised_s() < end
            and self._running.runners.get(job_id) is runner
            and self._running.is_owner(job_id)
        ):
            await asyncio.sleep(FORMER_OWNER_LOOK_S)
            asked_at = clocks.promised_s()
            try:
                await self.take_listed(job_id)
                listing.checked_at = asked_at
            except KeyValueError as error:
                log.warning(
                    "results_not_read", extra={"job": job_id, "error": type(error).__name__}
                )
        listing.checked_at = None
