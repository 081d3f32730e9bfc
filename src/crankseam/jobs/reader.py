"""Reads jobs that other processes run from the store, and caches them.

Caches the MAX_CACHED_JOBS most recently requested jobs. A stored chunk of results never changes, so
a cached job stays valid, and only the chunks that were added since are read.
"""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from crankseam.errors import KeyValueError
from crankseam.jobs.errors import JobUnknown
from crankseam.jobs.job_memory import is_large, without_body
from crankseam.jobs.model import ItemResult, JobDefinition
from crankseam.jobs.repository import JobRepository, StoredJob

log = logging.getLogger(__name__)

MAX_CACHED_JOBS = 24
"""Number of jobs in a process's cache; a job that was evicted is read from the store again."""


@dataclass
class _CachedJob:
    """A job with the results that have been read so far.

    Attributes
    ==========

    chunks : number of result chunks that have been read.
    lock : held while new chunks are read, so that no chunk is added twice.
    is_large : whether the bodies of its items are left out.
    """

    definition: JobDefinition
    chunks: int = 0
    results: list[ItemResult] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    is_large: bool = False

    def can_answer(self, position: int) -> bool:
        """Whether the result at this position has been read, or all results have been."""
        return len(self.results) > position or len(self.results) == len(self.definition.items)


class JobReader:
    """Reads jobs from the store through a cache."""

    def __init__(self, repository: JobRepository) -> None:
        self._repository = repository
        self._cached_jobs: OrderedDict[str, _CachedJob] = OrderedDict()

    def is_cached(self, job_id: str) -> bool:
        """Whether the job is in the cache."""
        return job_id in self._cached_jobs

    def cache(self, job: JobDefinition, chunks: int, results: list[ItemResult]) -> None:
        """Add a job and the results that are known from its run in this process."""
        self._cached_jobs[job.id] = _CachedJob(job, chunks, results)
        self._evict_oldest()

    async def definition(self, job_id: str) -> JobDefinition:
        """The job as it was submitted; raises JobUnknown or KeyValueError."""
        cached = self._cached(job_id)
        if cached is not None and not cached.is_large:
            return cached.definition
        stored = await self._load_stored(job_id)
        self._add(job_id, stored)
        return stored.definition

    async def read(self, job_id: str, position: int, wait_s: float) -> tuple[int, list[ItemResult]]:
        """Number of items, and the results from a position on; see JobService.read."""
        cached = self._cached(job_id)
        if cached is None:
            cached, revision = await self._load(job_id)
        elif not cached.can_answer(position):
            revision = await self._read_new_chunks(job_id, cached)
        if not cached.can_answer(position) and wait_s:
            await self._wait_for_more(job_id, cached, revision, wait_s)
        return len(cached.definition.items), cached.results[position:]

    async def _wait_for_more(
        self, job_id: str, cached: _CachedJob, revision: int, wait_s: float
    ) -> None:
        try:
            await self._repository.watch_results(job_id, revision, wait_s)
            await self._read_new_chunks(job_id, cached)
        except KeyValueError:
            # The results that were read before the wait are a valid answer.
            log.info("wait_for_results_failed", extra={"job": job_id})

    def _cached(self, job_id: str) -> _CachedJob | None:
        if job_id in self._cached_jobs:
            self._cached_jobs.move_to_end(job_id)
        return self._cached_jobs.get(job_id)

    async def _load(self, job_id: str) -> tuple[_CachedJob, int]:
        """Read a whole job; also returns the store's revision before the read."""
        stored = await self._load_stored(job_id)
        return self._add(job_id, stored), stored.revision

    async def _load_stored(self, job_id: str) -> StoredJob:
        stored = await self._repository.load(job_id)
        if stored is None:
            raise JobUnknown(job_id)
        return stored

    def _add(self, job_id: str, stored: StoredJob) -> _CachedJob:
        """Cache a job; of a large one, all but the bodies of its items."""
        results = [result for chunk in stored.chunks for result in chunk]
        definition, large = stored.definition, is_large(stored.definition)
        if large:
            items = [without_body(item) for item in definition.items]
            definition = msgspec.structs.replace(definition, items=items)
        loaded = _CachedJob(definition, len(stored.chunks), results, is_large=large)
        # Another caller may have loaded the job in the meantime, and read further chunks.
        cached = self._cached_jobs.setdefault(job_id, loaded)
        self._evict_oldest()
        return cached

    def _evict_oldest(self) -> None:
        while len(self._cached_jobs) > MAX_CACHED_JOBS:
            self._cached_jobs.popitem(last=False)

    async def _read_new_chunks(self, job_id: str, cached: _CachedJob) -> int:
        """Read the chunks that were added since; returns the store's revision before the read."""
        async with cached.lock:
            chunks, revision = await self._repository.read_chunks(job_id, cached.chunks)
            cached.chunks += len(chunks)
            for chunk in chunks:
                cached.results += chunk
            return revision
