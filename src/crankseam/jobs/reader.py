"""Jobs that other processes run, as far as this one has read them from the store.

Owns copies of the newest CACHED_JOBS jobs that were asked for. Chunks never change, so what was
read stays true and only what came since is read again. Relies on the repository.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from dataclasses import dataclass, field

from crankseam.errors import KeyValueError
from crankseam.jobs.errors import JobUnknown
from crankseam.jobs.model import ItemResult, JobDefinition
from crankseam.jobs.repository import JobRepository

log = logging.getLogger(__name__)

CACHED_JOBS = 24
"""Copies that a process keeps, the ones asked for last; an older one is read anew. Origin not
recorded."""


@dataclass
class _Reading:
    """One job; its chunks never change, so what was read stays true."""

    definition: JobDefinition
    chunks: int = 0
    results: list[ItemResult] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def has(self, position: int) -> bool:
        """Whether a result stands there, or none ever will."""
        return len(self.results) > position or len(self.results) == len(self.definition.items)


class JobReader:
    """Reads jobs from the store and keeps the newest ones."""

    def __init__(self, repository: JobRepository) -> None:
        self._repository = repository
        self._readings: OrderedDict[str, _Reading] = OrderedDict()

    def knows(self, job_id: str) -> bool:
        """Whether the job was read before."""
        return job_id in self._readings

    def remember(self, job: JobDefinition, chunks: int, results: list[ItemResult]) -> None:
        """Take what this process listed while it ran the job."""
        self._readings[job.id] = _Reading(job, chunks, results)
        self._forget_oldest()

    async def definition(self, job_id: str) -> JobDefinition:
        """The job as it was submitted; raises JobUnknown, KeyValueError."""
        reading = self._known(job_id)
        if reading is None:
            reading, _ = await self._load(job_id)
        return reading.definition

    async def read(self, job_id: str, position: int, wait_s: float) -> tuple[int, list[ItemResult]]:
        """The number of items and the results from a position on; see JobService.read."""
        reading = self._known(job_id)
        if reading is None:
            reading, revision = await self._load(job_id)
        elif not reading.has(position):
            revision = await self._read_on(job_id, reading)
        if not reading.has(position) and wait_s:
            await self._wait_for_more(job_id, reading, revision, wait_s)
        return len(reading.definition.items), reading.results[position:]

    async def _wait_for_more(
        self, job_id: str, reading: _Reading, revision: int, wait_s: float
    ) -> None:
        try:
            await self._repository.watch_results(job_id, revision, wait_s)
            await self._read_on(job_id, reading)
        except KeyValueError:
            # What was read before the wait is an answer too.
            log.info("wait_for_results_failed", extra={"job": job_id})

    def _known(self, job_id: str) -> _Reading | None:
        if job_id in self._readings:
            self._readings.move_to_end(job_id)
        return self._readings.get(job_id)

    async def _load(self, job_id: str) -> tuple[_Reading, int]:
        """Read a job whole; also the store's revision before the reading."""
        stored = await self._repository.load(job_id)
        if stored is None:
            raise JobUnknown(job_id)
        results = [result for chunk in stored.chunks for result in chunk]
        loaded = _Reading(stored.definition, len(stored.chunks), results)
        # Another caller may have loaded it meanwhile, and read on.
        reading = self._readings.setdefault(job_id, loaded)
        self._forget_oldest()
        return reading, stored.revision

    def _forget_oldest(self) -> None:
        while len(self._readings) > CACHED_JOBS:
            self._readings.popitem(last=False)

    async def _read_on(self, job_id: str, reading: _Reading) -> int:
        """Read what was listed since; the store's revision before the reading."""
        async with reading.lock:
            chunks, revision = await self._repository.read_chunks(job_id, reading.chunks)
            reading.chunks += len(chunks)
            for chunk in chunks:
                reading.results += chunk
            return revision
