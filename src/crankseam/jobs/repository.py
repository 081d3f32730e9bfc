"""Stores jobs in the coordination store: each job is written once, results are appended in chunks.

Keys, relative to a common root:

- `job/ID/part/NNN`: the encoded job, split to fit the store's value size. All parts but the first
  are written before the head; the first is written with it.
- `job/ID/head`: number of parts, accepting process and tenant. The job is accepted once this key
  exists.
- `job/ID/result/NNNNNN`: a numbered chunk of results, created only if absent and never changed. A
  writer knows all earlier chunks, so whoever creates the next number fixes the positions of its
  results.
- `job/ID/progress`: partial texts of the running items, saved periodically. An outdated version is
  harmless.
- `job/ID/end`: exists once the job has ended.
- `state/open/ID`: what all processes know of the job, see OpenJob; exists from its acceptance to
  its end.
- `state/owner/ID`: name of the process that runs the job, attached to that process's lease.
- `state/ended/ID`: the job's tenant; exists from the job's end until all its other keys have been
  removed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from crankseam.coordination.interface import (
    ABSENT,
    MAX_TRANSACTION_ENTRIES,
    Condition,
    CoordinationStore,
    Entry,
    Put,
    Transaction,
    TransactionConflict,
    read_prefix,
)
from crankseam.jobs.demand import OpenJob
from crankseam.jobs.errors import JobIdTaken, ResultsConflict
from crankseam.jobs.item_seconds import ExpectedWork
from crankseam.jobs.model import ItemResult, JobDefinition, PartialText

ROOT = "crankseam/"
STATE_PREFIX = ROOT + "state/"
OPEN_PREFIX = STATE_PREFIX + "open/"
OWNER_PREFIX = STATE_PREFIX + "owner/"
ENDED_PREFIX = STATE_PREFIX + "ended/"
MAX_VALUE_BYTES = 600 * 1024
"""Size limit of a stored value: its base64 encoding must fit the store's value size."""

UNKNOWN_WORK = ExpectedWork()
"""Expected work of a job whose model has no estimate."""


class JobHead(msgspec.Struct, frozen=True):
    """The value of a job's head key."""

    parts: int
    accepted_by: str
    tenant: str = ""


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job as read from the store, with all results that were listed at that time.

    Attributes
    ==========

    chunks : the listed results, chunk by chunk.
    kept : saved partial texts, by item id.
    revision : the store's revision before the read; a watch from it misses no change.
    """

    definition: JobDefinition
    ended: bool
    chunks: list[list[ItemResult]]
    kept: dict[str, PartialText]
    revision: int


def _job_prefix(job_id: str) -> str:
    return f"{ROOT}job/{job_id}/"


def result_prefix(job_id: str) -> str:
    """Key prefix of a job's result chunks; the order of the keys is that of the chunks."""
    return _job_prefix(job_id) + "result/"


def _part_name(number: int) -> str:
    return f"part/{number:03d}"


def _result_key(job_id: str, number: int) -> str:
    return f"{result_prefix(job_id)}{number:06d}"


class JobRepository:
    """Reads and writes jobs; every method may raise the store's `KeyValueError`.

    Args:
        process: name of this process, unique among the living processes.
    """

    def __init__(self, store: CoordinationStore, process: str) -> None:
        self._store = store
        self.process = process

    async def create(
        self,
        job: JobDefinition,
        lease: int,
        item_s: float = 0.0,
        work: ExpectedWork = UNKNOWN_WORK,
        due_s: float = math.inf,
    ) -> bool:
        """Accept a job; returns False if it was accepted before.

        Args:
            lease: lease under which this process becomes the owner; 0 for no owner.
            item_s: see OpenJob.
            work: expected work of the job.
            due_s: seconds from now until the job's results are due; infinite if never.

        Raises:
            JobIdTaken: another tenant's job has this id.
        """
        encoded = msgspec.msgpack.encode(job)
        prefix = _job_prefix(job.id)
        starts = range(0, len(encoded), MAX_VALUE_BYTES)
        for number, at in enumerate(starts[1:], start=1):
            part = Put(prefix + _part_name(number), encoded[at : at + MAX_VALUE_BYTES])
            await self._store.commit(Transaction(puts=[part]))
        first = Put(prefix + _part_name(0), encoded[:MAX_VALUE_BYTES])
        head = msgspec.msgpack.encode(JobHead(len(starts), self.process, job.tenant))
        opened = msgspec.msgpack.encode(
            OpenJob(
                job.model,
                len(job.items),
                job.min_version,
                item_s,
                job.tenant,
                job.priority,
                work.total_s,
                work.longest_item_s,
                due_s if math.isfinite(due_s) else 0.0,
            )
        )
        final = [first, Put(prefix + "head", head), Put(OPEN_PREFIX + job.id, opened)]
        if lease:
            final.append(Put(OWNER_PREFIX + job.id, self.process.encode(), lease))
        conditions = [Condition(prefix + "head", ABSENT)]
        try:
            await self._store.commit(Transaction(conditions, final))
        except TransactionConflict as conflict:
            found = conflict.found.get(prefix + "head")
            if found is not None and _decode_head(found.value).tenant != job.tenant:
                raise JobIdTaken(job.id) from None
            return False
        return True

    async def load(self, job_id: str) -> StoredJob | None:
        """Read a job with its results and progress by one range read; None if there is no job."""
        prefix = _job_prefix(job_id)
        entries, revision = await read_prefix(self._store, prefix)
        values = {entry.key.removeprefix(prefix): entry.value for entry in entries}
        if "head" not in values:
            return None
        count = _decode_head(values["head"]).parts
        encoded = b"".join(values[_part_name(number)] for number in range(count))
        listed = [name for name in sorted(values) if name.startswith("result/")]
        return StoredJob(
            definition=msgspec.msgpack.decode(encoded, type=JobDefinition),
            ended="end" in values,
            chunks=[_decode_results(values[name]) for name in listed],
            kept=_decode_progress(values.get("progress")),
            revision=revision,
        )

    async def read_chunks(
        self, job_id: str, first_number: int
    ) -> tuple[list[list[ItemResult]], int]:
        """Chunks from a number on, and the store's revision before the read."""
        prefix = result_prefix(job_id)
        if first_number == 0:
            entries, revision = await read_prefix(self._store, prefix)
        else:
            page = await self._store.page(prefix, _result_key(job_id, first_number - 1))
            entries, revision = page.entries, page.revision
            while page.more and page.entries:
                page = await self._store.page(prefix, page.entries[-1].key)
                entries = entries + page.entries
        return [decode_chunk(entry) for entry in entries], revision

    async def append(self, job_id: str, number: int, results: list[ItemResult]) -> None:
        """List results as chunk `number`.

        If the answer is lost, the caller retries. If the first write took effect, the retry raises
        a ResultsConflict whose winner is the caller's own chunk.

        Raises:
            ResultsConflict: a chunk of this number exists already.
        """
        key = _result_key(job_id, number)
        value = msgspec.msgpack.encode(results)
        try:
            await self._store.commit(Transaction([Condition(key, ABSENT)], [Put(key, value)]))
        except TransactionConflict as conflict:
            found = conflict.found.get(key) or await self._store.get(key)
            raise ResultsConflict(decode_chunk(found) if found is not None else []) from None

    async def save_progress(self, job_id: str, texts: dict[str, PartialText]) -> None:
        """Save the partial texts of running items, so that another process can resume them.

        If the texts do not fit one value, the longest ones are left out.
        """
        budget = MAX_VALUE_BYTES
        kept: dict[str, PartialText] = {}
        for item_id, text in sorted(texts.items(), key=lambda pair: len(pair[1].events)):
            budget -= sum(len(event) for event in text.events)
            if budget < 0:
                break
            kept[item_id] = text
        value = msgspec.msgpack.encode(kept)
        await self._store.commit(Transaction(puts=[Put(_job_prefix(job_id) + "progress", value)]))

    async def end(self, job_id: str, tenant: str = "") -> None:
        """Mark an accepted job of a tenant as ended; idempotent."""
        ended = Put(ENDED_PREFIX + job_id, tenant.encode())
        await self._store.commit(
            Transaction(
                puts=[Put(_job_prefix(job_id) + "end", b""), ended],
                removals=[OPEN_PREFIX + job_id, OWNER_PREFIX + job_id],
            )
        )

    async def remove(self, job_id: str) -> None:
        """Remove all keys of an ended job; an interrupted removal is completed by another call.

        The head is removed first, so that no reader sees an incomplete job. The key in
        `state/ended/` is removed last, so that an interrupted removal can be found.
        """
        prefix = _job_prefix(job_id)
        entries, _ = await read_prefix(self._store, prefix)
        keys = [prefix + "head"] + [one.key for one in entries if one.key != prefix + "head"]
        keys.append(ENDED_PREFIX + job_id)
        for at in range(0, len(keys), MAX_TRANSACTION_ENTRIES):
            removals = keys[at : at + MAX_TRANSACTION_ENTRIES]
            await self._store.commit(Transaction(removals=removals))

    async def exists(self, job_id: str) -> bool:
        """Whether a job of this id was accepted."""
        return await self.tenant_of(job_id) is not None

    async def tenant_of(self, job_id: str) -> str | None:
        """The tenant of an accepted job; None if there is no such job."""
        head = await self._store.get(_job_prefix(job_id) + "head")
        return _decode_head(head.value).tenant if head is not None else None

    async def claim(self, job_id: str, lease: int) -> bool:
        """Become the owner of an open job.

        This succeeds if the job has no owner, or if its owner is this process under the same or an
        earlier lease. Returns False if another process owns the job or it has ended.
        """
        open_key, owner_key = OPEN_PREFIX + job_id, OWNER_PREFIX + job_id
        opened = await self._store.get(open_key)
        if opened is None:
            return False
        owner = await self._store.get(owner_key)
        name = self.process.encode()
        if owner is not None and owner.value != name:
            return False
        if owner is not None and owner.lease == lease:
            return True
        owner_revision = owner.revision if owner is not None else ABSENT
        conditions = [Condition(open_key, opened.revision), Condition(owner_key, owner_revision)]
        try:
            await self._store.commit(Transaction(conditions, [Put(owner_key, name, lease)]))
        except TransactionConflict as conflict:
            found = conflict.found.get(owner_key)
            return found is not None and found.value == name and found.lease == lease
        return True

    async def watch_results(self, job_id: str, after_revision: int, wait_s: float) -> None:
        """Return when results have been listed after a revision, or after `wait_s` seconds."""
        await self._store.watch(result_prefix(job_id), after_revision, wait_s)


def first_chunk(results: list[ItemResult]) -> list[ItemResult]:
    """The longest prefix of the results that fits one stored value, but at least one result.

    The store refuses a value that is too large on every retry, so a larger chunk would block all
    later results.
    """
    budget = MAX_VALUE_BYTES
    for count, result in enumerate(results):
        budget -= len(msgspec.msgpack.encode(result))
        if budget < 0:
            return results[: max(1, count)]
    return results


def decode_chunk(entry: Entry) -> list[ItemResult]:
    """Decode the results of a stored chunk."""
    return _decode_results(entry.value)


def _decode_head(value: bytes) -> JobHead:
    return msgspec.msgpack.decode(value, type=JobHead)


def _decode_results(value: bytes) -> list[ItemResult]:
    return msgspec.msgpack.decode(value, type=list[ItemResult])


def _decode_progress(value: bytes | None) -> dict[str, PartialText]:
    if value is None:
        return {}
    return msgspec.msgpack.decode(value, type=dict[str, PartialText])
