"""Keeps the number of open items of each tenant and model, at all processes.

Owns one entry for each open job, from the keys that every process follows; makes no call to the
store. While the store is away the last state holds. A key that names no tenant, as processes of an
earlier version write it, counts for no tenant. The number of a job's items counts until the job
ends, however many of them have results.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from crankseam.coordination.interface import Entry
from crankseam.jobs.demand import OpenJob, decode_open_job
from crankseam.serving.tenants import NO_TENANT


@dataclass(slots=True)
class _OpenItems:
    """Open items of one tenant, in all and by model."""

    total: int = 0
    by_model: dict[str, int] = field(default_factory=dict)

    def add(self, model: str, items: int) -> None:
        """Add items of a model; a negative number removes them."""
        self.total += items
        self.by_model[model] = self.by_model.get(model, 0) + items
        if not self.by_model[model]:
            del self.by_model[model]


class OpenWork:
    """Open items by tenant and model."""

    def __init__(self) -> None:
        self._jobs: dict[str, OpenJob] = {}
        self._by_tenant: dict[str, _OpenItems] = {}

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Handle a changed or removed key of an open job; see ChangeHandler."""
        self._remove(key)
        if entry is not None:
            self._add(key, decode_open_job(entry.value))

    def _add(self, key: str, job: OpenJob) -> None:
        if job.tenant == NO_TENANT or job.items <= 0:
            return
        self._jobs[key] = job
        self._by_tenant.setdefault(job.tenant, _OpenItems()).add(job.model, job.items)

    def _remove(self, key: str) -> None:
        job = self._jobs.pop(key, None)
        if job is None:
            return
        own = self._by_tenant[job.tenant]
        own.add(job.model, -job.items)
        if not own.total:
            del self._by_tenant[job.tenant]

    def items(self, tenant: str, model: str) -> int:
        """Return the number of a tenant's open items of one model."""
        own = self._by_tenant.get(tenant)
        return own.by_model.get(model, 0) if own is not None else 0

    def total_items(self, tenant: str) -> int:
        """Return the number of a tenant's open items of all models."""
        own = self._by_tenant.get(tenant)
        return own.total if own is not None else 0

    def items_elsewhere(self, tenant: str, model: str) -> int:
        """Return the number of a tenant's open items of all models but one."""
        own = self._by_tenant.get(tenant)
        return own.total - own.by_model.get(model, 0) if own is not None else 0
