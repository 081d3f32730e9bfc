"""Accepts submitted jobs: written to the store once, then run here.

Owns nothing between two submissions. Relies on the store: a job's head is created once, and from
then on the job lasts. While the store lets a submission wait, the job runs already, unlisted.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.coordination.interface import NO_LEASE, LeaseExpired
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.claims import JobClaims
from crankseam.jobs.errors import AcceptanceUnknown
from crankseam.jobs.item_seconds import ItemSeconds
from crankseam.jobs.model import JobDefinition
from crankseam.jobs.repository import JobRepository
from crankseam.jobs.running import RunningJobs

log = logging.getLogger(__name__)

RUN_AHEAD_S = 0.2
"""A job runs, unlisted, when its acceptance takes longer than this: an outage of the store then
costs less of its step's time (0.43 -> 0.58 of a day with outages served)."""
RETRY_BASE_S = 0.1
"""First pause between two tries to write a job; see Backoff. Origin not recorded."""
RETRY_CAP_S = 0.5
"""Longest such pause. Origin not recorded."""


@dataclass(frozen=True, slots=True)
class _Written:
    """A job that lasts.

    Attributes
    ==========

    is_new : whether this submission made it last; else an earlier one did.
    lease : the lease that owns it if it is new; NO_LEASE leaves it to other processes.
    """

    is_new: bool
    lease: int


class JobAcceptance:
    """Submissions to this process.

    Parameters
    ==========

    claims : tells whether this process runs jobs at all, which it does not once it drains.
    item_seconds : how long the items are likely to hold places goes with an accepted job.
    """

    def __init__(
        self,
        repository: JobRepository,
        lease: ProcessLease,
        running: RunningJobs,
        claims: JobClaims,
        item_seconds: ItemSeconds,
    ) -> None:
        self._repository = repository
        self._lease = lease
        self._running = running
        self._claims = claims
        self._item_seconds = item_seconds

    async def submit(self, job: JobDefinition, deadline: float) -> None:
        """Accept a job; returns once it lasts.

        While the store lets it wait, the job runs already, unlisted: so an outage of the store
        costs little of a step's time. A process that drains accepts a job without an owner, for
        another process to claim.

        Args:
            deadline: time of promises until which the caller waits.

        Raises:
            AcceptanceUnknown: the store did not say, or items ran; nothing can be promised.
            JobIdTaken: another tenant's job has this id.
            KeyValueUnavailable: the job was not accepted and never will be; nothing ran.
        """
        acceptance = asyncio.create_task(self._write(job, deadline))
        try:
            done, _ = await asyncio.wait({acceptance}, timeout=RUN_AHEAD_S)
            if not done and self._claims.active and job.id not in self._running.runners:
                log.info("job_run_ahead", extra={"job": job.id})
                self._running.start(job, [], {}, accepted=False)
            written = await acceptance
        except KeyValueError as error:
            if self._running.drop_unaccepted(job.id):
                raise AcceptanceUnknown(job.id) from error
            raise
        except BaseException:
            acceptance.cancel()
            self._running.drop_unaccepted(job.id)
            raise
        log.info(
            "job_accepted",
            extra={
                "job": job.id,
                "tenant": job.tenant,
                "step": job.step,
                "items": len(job.items),
                "min_version": job.min_version,
                "again": not written.is_new,
                "owned": written.is_new and self._claims.active,
            },
        )
        if written.is_new and self._claims.active:
            self._run(job, written.lease)
        else:
            self._running.drop_unaccepted(job.id)

    async def _write(self, job: JobDefinition, deadline: float) -> _Written:
        """Write the job, again and again until the deadline."""
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        unknown = False
        while True:
            try:
                lease = await self._lease.ensure() if self._claims.active else NO_LEASE
                item_s = self._item_seconds.mean_s(job)
                return _Written(await self._repository.create(job, lease, item_s), lease)
            except LeaseExpired:
                self._lease.forget()
            except KeyValueError as error:
                unknown = unknown or not isinstance(error, KeyValueUnavailable)
                delay = backoff.next_delay()
                if clocks.promised_s() + delay >= deadline:
                    if unknown:
                        raise AcceptanceUnknown(job.id) from error
                    raise
                await asyncio.sleep(delay)

    def _run(self, job: JobDefinition, lease: int) -> None:
        self._running.own(job.id, lease)
        self._running.start(job, [], {})
        runner = self._running.runners.get(job.id)
        if runner is not None:
            runner.accepted.set()
