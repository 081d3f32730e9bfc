"""Tracks the demand of open jobs by model: number of items, their work, and the required version.

Keeps for each model the recent peak of concurrently open items, computed from the keys of open
jobs, which all processes follow. The controllers that order weight versions and samplers use it.
Also keeps the recent peak of the work that is due, by priority; see due_work.py.
"""

from __future__ import annotations

import math
import time
from collections import Counter

import msgspec

from crankseam.jobs.due_work import RecentNeeds, due_work
from crankseam.orders.demand import DueWork, ModelWork

PEAK_RETENTION_S = 30.0
"""Seconds for which a peak counts. A training step comes every few seconds, and no item is open
between two steps, so the current number alone would drop to zero."""
MAX_STATED_S = 1e9
"""Largest number of seconds that a stored value can state; a larger one counts as unknown, since a
sum of such values may be infinite."""
NEED_INTERVAL_S = 0.1
"""Shortest time, in seconds, between two looks at all open jobs of a model as keys end. Many keys
end together, and the first look has already found their peak."""
UNKNOWN_PRIORITY = 5
"""Priority of a job whose priority no process has stated: that of a route without one."""


class OpenJob(msgspec.Struct, frozen=True):
    """The stored value of an open job's key, which all processes read.

    Processes of earlier builds write it without the later fields, so each field has a default.

    Attributes
    ==========

    items : number of the job's items.
    min_version : oldest weight version that may generate the job's tokens.
    item_s : expected seconds for which an item occupies a sampler slot; 0 if unknown.
    priority : the job's priority; 0 is the most urgent, None if unknown.
    work_s : expected seconds for which all items occupy sampler slots, by their hints; 0 if
        unknown.
    longest_item_s : expected seconds for which the longest item occupies a slot; 0 if unknown.
    due_s : seconds from the job's acceptance until its results are due; 0 if never or unknown.
    """

    model: str = ""
    items: int = 0
    min_version: int = 0
    item_s: float = 0.0
    tenant: str = ""
    priority: int | None = None
    work_s: float = 0.0
    longest_item_s: float = 0.0
    due_s: float = 0.0

    def expected_work_s(self) -> float:
        """Expected slot-seconds of all items; 0 if unknown."""
        return self.work_s or self.items * self.item_s

    def tightness(self) -> float:
        """See ModelWork."""
        return self.longest_item_s / self.due_s if self.due_s > 0.0 else 0.0


def decode_open_job(value: bytes) -> OpenJob:
    """Decode the value of an open job's key; an unreadable value yields the defaults.

    Numbers that no job can have count as unknown.
    """
    try:
        job = msgspec.msgpack.decode(value, type=OpenJob)
    except msgspec.DecodeError:
        return OpenJob()
    return msgspec.structs.replace(
        job,
        items=max(0, job.items),
        item_s=_stated_s(job.item_s),
        work_s=_stated_s(job.work_s),
        longest_item_s=_stated_s(job.longest_item_s),
        due_s=_stated_s(job.due_s),
    )


def _stated_s(seconds: float) -> float:
    """Return stated seconds, or 0 if no job can have them; not a number is one of these."""
    return seconds if 0.0 <= seconds <= MAX_STATED_S else 0.0


class ModelDemand:
    """The recent peaks of open items and due work and the needs of the newest jobs, by model."""

    def __init__(self) -> None:
        self._open_jobs: dict[str, OpenJob] = {}
        self._seen_at: dict[str, float] = {}
        """Monotonic time at which this process first saw each open job."""
        self._peaks: dict[str, tuple[int, float]] = {}
        """Peak number of open items, and the monotonic time at which it was last reached."""
        self._min_usable_versions: dict[str, int] = {}
        self._item_s: dict[str, float] = {}
        """Expected seconds per item from the newest job that states them, by model."""
        self._ranked: dict[str, OpenJob] = {}
        """Newest job that states its priority, by model."""
        self._tightness: dict[str, float] = {}
        """Tightness of the newest job that states it, by model."""
        self._recent_needs: dict[str, RecentNeeds] = {}
        self._open_items: Counter[str] = Counter()
        """Number of items of open jobs, by model."""
        self._looked_at: dict[str, float] = {}
        """Monotonic time, in seconds, of the last look at all open jobs of a model."""

    def opened(self, job_id: str, job: OpenJob) -> None:
        """Add an open job.

        The work that is due is not looked at here: it only grows until a job ends.
        """
        previous = self._open_jobs.get(job_id)
        if previous is not None:
            self._open_items[previous.model] -= previous.items
        self._open_jobs[job_id] = job
        self._open_items[job.model] += job.items
        self._seen_at.setdefault(job_id, time.monotonic())
        self._min_usable_versions[job.model] = max(
            self._min_usable_versions.get(job.model, 0), job.min_version
        )
        if job.item_s > 0.0:
            self._item_s[job.model] = job.item_s
        if job.priority is not None:
            self._ranked[job.model] = job
        if job.tightness() > 0.0:
            self._tightness[job.model] = job.tightness()
        self._update_peak(job.model)

    def ended(self, job_id: str) -> None:
        """Remove a job that is no longer open; an unknown job is ignored."""
        job = self._open_jobs.get(job_id)
        if job is not None:
            self._update_peak(job.model)
            if time.monotonic() - self._looked_at.get(job.model, -math.inf) > NEED_INTERVAL_S:
                self.due_work(job.model)
            self._open_items[job.model] -= job.items
            del self._open_jobs[job_id]
            del self._seen_at[job_id]

    def _update_peak(self, model: str) -> None:
        items = self._open_items[model]
        peak, at = self._peaks.get(model, (0, float("-inf")))
        now = time.monotonic()
        if items >= peak or now - at > PEAK_RETENTION_S:
            self._peaks[model] = (items, now)

    def peak_open_items(self, model: str) -> int | None:
        """Recent peak of concurrently open items; None if the model had no open item."""
        peak, _ = self._peaks.get(model, (0, 0.0))
        return peak or None

    def required_slot_seconds(self, model: str) -> float | None:
        """Slot-seconds that the recent peak of open items needs; None if unknown."""
        items, item_s = self.peak_open_items(model), self._item_s.get(model)
        return items * item_s if items is not None and item_s is not None else None

    def due_work(self, model: str) -> ModelWork | None:
        """See Demand."""
        now = time.monotonic()
        self._looked_at[model] = now
        works: list[DueWork] = []
        for job_id, job in self._open_jobs.items():
            if job.model != model or not job.items:
                continue
            work_s = job.expected_work_s() or job.items * self._item_s.get(model, 0.0)
            work = self._due_work_of(job, work_s, now - self._seen_at[job_id])
            if work is None:
                continue
            if work_s <= 0.0:
                return None
            works.append(work)
        needs = self._recent_needs.setdefault(model, RecentNeeds())
        return ModelWork(needs.update(works, now), self._tightness.get(model, 0.0))

    def _due_work_of(self, job: OpenJob, work_s: float, elapsed_s: float) -> DueWork | None:
        """Return the remaining work of an open job.

        A job of an earlier build states neither priority nor due time; it gets those of the model's
        newest job that does.
        """
        ranked = job if job.priority is not None else self._ranked.get(job.model, job)
        priority = ranked.priority if ranked.priority is not None else UNKNOWN_PRIORITY
        return due_work(priority, work_s, ranked.due_s, elapsed_s)

    def min_usable_version(self, model: str) -> int | None:
        """Highest `min_version` among the jobs seen of a model; None if no job was seen."""
        return self._min_usable_versions.get(model)
