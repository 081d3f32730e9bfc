"""Keeps the number of open items of each tenant and model, at all processes.

Owns one entry for each open job, from the keys that every process follows; makes no call to the
store. While the store is away the last state holds. A key that names no tenant, as processes of an
earlier version write it, counts for no tenant. The number of a job's items counts until the job
ends, however many of them have results.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from crankseam.coordination.interface import Entry
from crankseam.jobs.demand import OpenJob, decode_open_job
from crankseam.serving.tenants import NO_TENANT


class _Holder(NamedTuple):
    """Key of the counts: whose items of which model."""

    tenant: str
    model: str


class OpenWork:
    """Open items by tenant and model."""

    def __init__(self) -> None:
        self._jobs: dict[str, OpenJob] = {}
        self._by_model: Counter[_Holder] = Counter()
        self._by_tenant: Counter[str] = Counter()

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Handle a changed or removed key of an open job; see ChangeHandler."""
        self._remove(key)
        if entry is not None:
            self._add(key, decode_open_job(entry.value))

    def _add(self, key: str, job: OpenJob) -> None:
        if job.tenant == NO_TENANT or job.items <= 0:
            return
        self._jobs[key] = job
        self._by_model[_Holder(job.tenant, job.model)] += job.items
        self._by_tenant[job.tenant] += job.items

    def _remove(self, key: str) -> None:
        job = self._jobs.pop(key, None)
        if job is None:
            return
        holder = _Holder(job.tenant, job.model)
        self._by_model[holder] -= job.items
        self._by_tenant[job.tenant] -= job.items
        if not self._by_model[holder]:
            del self._by_model[holder]
        if not self._by_tenant[job.tenant]:
            del self._by_tenant[job.tenant]

    def items(self, tenant: str, model: str) -> int:
        """Return the number of a tenant's open items of one model."""
        return self._by_model.get(_Holder(tenant, model), 0)

    def total_items(self, tenant: str) -> int:
        """Return the number of a tenant's open items of all models."""
        return self._by_tenant.get(tenant, 0)

    def items_elsewhere(self, tenant: str, model: str) -> int:
        """Return the number of a tenant's open items of all models but one."""
        return self.total_items(tenant) - self.items(tenant, model)
