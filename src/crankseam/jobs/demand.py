"""What the open jobs of each model need: how many items run, and the oldest version that may.

Owns the most items that were open at one moment lately, by model, from the keys of open jobs, which
all processes follow. Who orders weight versions and samplers relies on it.
"""

from __future__ import annotations

import time
from collections import Counter

import msgspec

REMEMBERED_S = 30.0
"""A peak counts for so long: steps come each few seconds, and between them nothing is open."""


class OpenJob(msgspec.Struct, frozen=True):
    """What the key of an open job tells all processes."""

    model: str = ""
    items: int = 0
    min_version: int = 0
    item_s: float = 0.0
    """How long an item is likely to hold a place at a sampler; 0 if that is not known."""
    tenant: str = ""


def decode_open_job(value: bytes) -> OpenJob:
    """The value of an open job's key; what can't be read tells nothing."""
    try:
        return msgspec.msgpack.decode(value, type=OpenJob)
    except msgspec.DecodeError:
        return OpenJob()


class ModelDemand:
    """The most items that were open at one moment lately, by model."""

    def __init__(self) -> None:
        self._open: dict[str, OpenJob] = {}
        self._peaks: dict[str, tuple[int, float]] = {}
        """Items and the monotonic time at which so many were open last."""
        self._needed: dict[str, int] = {}
        self._item_s: dict[str, float] = {}
        """The newest word of how long an item holds a place, by model."""

    def opened(self, job_id: str, job: OpenJob) -> None:
        """A job is open."""
        self._open[job_id] = job
        self._needed[job.model] = max(self._needed.get(job.model, 0), job.min_version)
        if job.item_s > 0.0:
            self._item_s[job.model] = job.item_s
        self._note(job.model)

    def ended(self, job_id: str) -> None:
        """A job is open no longer."""
        job = self._open.get(job_id)
        if job is not None:
            self._note(job.model)
            del self._open[job_id]

    def _note(self, model: str) -> None:
        items = self._items()[model]
        peak, at = self._peaks.get(model, (0, float("-inf")))
        now = time.monotonic()
        if items >= peak or now - at > REMEMBERED_S:
            self._peaks[model] = (items, now)

    def _items(self) -> Counter[str]:
        items: Counter[str] = Counter()
        for job in self._open.values():
            items[job.model] += job.items
        return items

    def items_of(self, model: str) -> int | None:
        """The most items lately; None if none was seen."""
        peak, _ = self._peaks.get(model, (0, 0.0))
        return peak or None

    def work_s_of(self, model: str) -> float | None:
        """Seconds of places that the most items lately need; None if that is not known."""
        items, item_s = self.items_of(model), self._item_s.get(model)
        return items * item_s if items is not None and item_s is not None else None

    def needed_version(self, model: str) -> int | None:
        """The oldest version that may serve the model's newest job; None if none was seen."""
        return self._needed.get(model)
