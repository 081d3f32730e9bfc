"""Tracks the demand of open jobs by model: number of items, their work, and the required version.

Keeps for each model the recent peak of concurrently open items, computed from the keys of open
jobs, which all processes follow. The controllers that order weight versions and samplers use it.
"""

from __future__ import annotations

import time
from collections import Counter

import msgspec

PEAK_RETENTION_S = 30.0
"""Seconds for which a peak counts. A training step comes every few seconds, and no item is open
between two steps, so the current number alone would drop to zero."""


class OpenJob(msgspec.Struct, frozen=True):
    """The stored value of an open job's key, which all processes read.

    Attributes
    ==========

    items : number of the job's items.
    min_version : oldest weight version that may generate the job's tokens.
    item_s : expected seconds for which an item occupies a sampler slot; 0 if unknown.
    """

    model: str = ""
    items: int = 0
    min_version: int = 0
    item_s: float = 0.0
    tenant: str = ""


def decode_open_job(value: bytes) -> OpenJob:
    """Decode the value of an open job's key; an unreadable value yields the defaults."""
    try:
        return msgspec.msgpack.decode(value, type=OpenJob)
    except msgspec.DecodeError:
        return OpenJob()


class ModelDemand:
    """The recent peak of concurrently open items and the needs of the newest jobs, by model."""

    def __init__(self) -> None:
        self._open_jobs: dict[str, OpenJob] = {}
        self._peaks: dict[str, tuple[int, float]] = {}
        """Peak number of open items, and the monotonic time at which it was last reached."""
        self._min_usable_versions: dict[str, int] = {}
        self._item_s: dict[str, float] = {}
        """Expected seconds per item from the newest job that states them, by model."""

    def opened(self, job_id: str, job: OpenJob) -> None:
        """Add an open job."""
        self._open_jobs[job_id] = job
        self._min_usable_versions[job.model] = max(
            self._min_usable_versions.get(job.model, 0), job.min_version
        )
        if job.item_s > 0.0:
            self._item_s[job.model] = job.item_s
        self._update_peak(job.model)

    def ended(self, job_id: str) -> None:
        """Remove a job that is no longer open; an unknown job is ignored."""
        job = self._open_jobs.get(job_id)
        if job is not None:
            self._update_peak(job.model)
            del self._open_jobs[job_id]

    def _update_peak(self, model: str) -> None:
        items = self._open_items()[model]
        peak, at = self._peaks.get(model, (0, float("-inf")))
        now = time.monotonic()
        if items >= peak or now - at > PEAK_RETENTION_S:
            self._peaks[model] = (items, now)

    def _open_items(self) -> Counter[str]:
        items: Counter[str] = Counter()
        for job in self._open_jobs.values():
            items[job.model] += job.items
        return items

    def peak_open_items(self, model: str) -> int | None:
        """Recent peak of concurrently open items; None if the model had no open item."""
        peak, _ = self._peaks.get(model, (0, 0.0))
        return peak or None

    def required_slot_seconds(self, model: str) -> float | None:
        """Slot-seconds that the recent peak of open items needs; None if unknown."""
        items, item_s = self.peak_open_items(model), self._item_s.get(model)
        return items * item_s if items is not None and item_s is not None else None

    def min_usable_version(self, model: str) -> int | None:
        """Highest `min_version` among the jobs seen of a model; None if no job was seen."""
        return self._min_usable_versions.get(model)
