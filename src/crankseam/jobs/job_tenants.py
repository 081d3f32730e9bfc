"""Whose a job is: a job shows itself to its own tenant only.

A job that belongs to nobody was submitted where callers need no key; any caller may see it.
"""

from __future__ import annotations

from crankseam.coordination.follower import PrefixFollower
from crankseam.jobs.demand import decode_open_job
from crankseam.jobs.errors import JobUnknown
from crankseam.jobs.repository import ENDED_PREFIX, OPEN_PREFIX, JobRepository
from crankseam.jobs.running import RunningJobs
from crankseam.serving.tenants import NO_TENANT


class JobTenants:
    """Finds a job's tenant: by what this process runs or follows, else in the store.

    Explanation
    ===========

    The keys that tell all processes that a job is open or ended name its tenant, so a call on a
    job costs a read of the store only for one that this process has not heard of yet.
    """

    def __init__(
        self, repository: JobRepository, running: RunningJobs, state: PrefixFollower
    ) -> None:
        self._repository = repository
        self._running = running
        self._state = state

    async def check(self, job_id: str, tenant: str) -> None:
        """Return if the job belongs to a tenant.

        Raises
        ======

        JobUnknown : there is no such job for this tenant.
        KeyValueError : the store did not say whose it is.
        """
        owner = self._known(job_id)
        if owner is None:
            owner = await self._repository.tenant_of(job_id)
        if owner is None or owner not in (tenant, NO_TENANT):
            raise JobUnknown(job_id)

    def _known(self, job_id: str) -> str | None:
        runner = self._running.runners.get(job_id)
        if runner is not None:
            return runner.job.tenant
        opened = self._state.entries.get(OPEN_PREFIX + job_id)
        if opened is not None:
            return decode_open_job(opened.value).tenant
        ended = self._state.entries.get(ENDED_PREFIX + job_id)
        return ended.value.decode() if ended is not None else None
