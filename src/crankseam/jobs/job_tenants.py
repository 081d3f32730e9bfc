"""Restricts access to a job to the tenant that submitted it.

A job without a tenant was submitted where callers need no API key; every caller may access it.
"""

from __future__ import annotations

from crankseam.coordination.follower import PrefixFollower
from crankseam.jobs.demand import decode_open_job
from crankseam.jobs.errors import JobUnknown
from crankseam.jobs.repository import ENDED_PREFIX, OPEN_PREFIX, JobRepository
from crankseam.jobs.running import RunningJobs
from crankseam.serving.tenants import NO_TENANT


class JobTenants:
    """Looks up the tenant of a job.

    Explanation
    ===========

    The keys that mark a job as open or ended name its tenant, and every process follows these keys.
    So the store is read only for a job that this process neither runs nor knows from these keys.
    """

    def __init__(
        self, repository: JobRepository, running: RunningJobs, state: PrefixFollower
    ) -> None:
        self._repository = repository
        self._running = running
        self._state = state

    async def check(self, job_id: str, tenant: str) -> None:
        """Check that a tenant may access a job.

        Raises
        ======

        JobUnknown : the job does not exist, or belongs to another tenant.
        KeyValueError : the store could not be read.
        """
        owner = self._known_tenant(job_id)
        if owner is None:
            owner = await self._repository.tenant_of(job_id)
        if owner is None or owner not in (tenant, NO_TENANT):
            raise JobUnknown(job_id)

    def _known_tenant(self, job_id: str) -> str | None:
        runner = self._running.runners.get(job_id)
        if runner is not None:
            return runner.job.tenant
        opened = self._state.entries.get(OPEN_PREFIX + job_id)
        if opened is not None:
            return decode_open_job(opened.value).tenant
        ended = self._state.entries.get(ENDED_PREFIX + job_id)
        return ended.value.decode() if ended is not None else None
