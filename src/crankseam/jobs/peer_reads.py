"""Reads jobs of other processes from their owners, to save reads of the store.

The owner of a job knows its listed results without calling the store. It answers only while no
other process can own the job, so its answer is what the store holds, or held a moment ago. The
caller falls back to the store if the owner does not answer.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Protocol

import msgspec

from crankseam.coordination.presence import ProcessRequester
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.errors import JobUnknown
from crankseam.jobs.model import ItemDefinition, ItemResult

ANSWER_TIMEOUT_MARGIN_S = 0.3
"""Seconds added to the requested wait to give the timeout of an owner's answer; after it, the store
is read instead."""


class ResultsQuestion(msgspec.Struct, frozen=True, tag=True):
    """Asks for a job's results from a position on; waits up to ``wait_s`` seconds for the first."""

    job_id: str
    position: int
    wait_s: float


class ItemQuestion(msgspec.Struct, frozen=True, tag=True):
    """Asks for the definition of one item."""

    job_id: str
    item_id: str


Question = ResultsQuestion | ItemQuestion


class OwnerAnswer(msgspec.Struct, frozen=True):
    """The owner's answer to either question.

    Attributes
    ==========

    is_owner : False if the process does not own the job, or cannot answer.
    total : number of the job's items.
    results : the results from the requested position on.
    item : the requested item's definition.
    """

    is_owner: bool = False
    total: int = 0
    results: list[ItemResult] = []
    item: ItemDefinition | None = None


class OwnerClient(Protocol):
    """Queries the processes that own jobs."""

    async def results(
        self, owner: str, job_id: str, position: int, wait_s: float
    ) -> tuple[int, list[ItemResult]] | None:
        """Number of items, and results from a position on; None if the owner did not answer."""

    async def item(self, owner: str, job_id: str, item_id: str) -> ItemDefinition | None:
        """The definition of an item; None if the owner did not answer."""


class OwnedJobs(Protocol):
    """The reads of this process's jobs that other processes may request."""

    def is_owner(self, job_id: str) -> bool:
        """See JobService.is_owner."""

    async def read(self, job_id: str, position: int, wait_s: float) -> tuple[int, list[ItemResult]]:
        """See JobService.read."""

    async def item(self, job_id: str, item_id: str) -> ItemDefinition:
        """See JobService.item."""


class PeerReads:
    """Queries the owners of jobs, and answers such queries about this process's jobs."""

    def __init__(self, ask: ProcessRequester) -> None:
        self._ask_owner = ask
        self._jobs: OwnedJobs | None = None

    def serve_jobs(self, jobs: OwnedJobs) -> None:
        """Set the jobs from which queries of other processes are answered."""
        self._jobs = jobs

    async def results(
        self, owner: str, job_id: str, position: int, wait_s: float
    ) -> tuple[int, list[ItemResult]] | None:
        """See OwnerClient."""
        answer = await self._ask(owner, ResultsQuestion(job_id, position, wait_s), wait_s)
        return (answer.total, answer.results) if answer.is_owner else None

    async def item(self, owner: str, job_id: str, item_id: str) -> ItemDefinition | None:
        """See OwnerClient."""
        return (await self._ask(owner, ItemQuestion(job_id, item_id), 0.0)).item

    async def _ask(self, owner: str, question: Question, wait_s: float) -> OwnerAnswer:
        timeout_s = wait_s + ANSWER_TIMEOUT_MARGIN_S
        try:
            raw = await self._ask_owner(owner, msgspec.msgpack.encode(question), timeout_s)
            return msgspec.msgpack.decode(raw, type=OwnerAnswer)
        except (KeyValueError, msgspec.DecodeError):
            # The caller reads the store instead.
            return OwnerAnswer()

    async def serve(self, raw: bytes) -> bytes:
        """Answer an encoded query of another process."""
        question = msgspec.msgpack.decode(raw, type=Question)
        try:
            answer = await self._answer(question)
        except (JobUnknown, KeyValueError):
            answer = OwnerAnswer()
        return msgspec.msgpack.encode(answer)

    def _owned(self, job_id: str) -> OwnedJobs:
        if self._jobs is None or not self._jobs.is_owner(job_id):
            raise KeyValueUnavailable("not the owner")
        return self._jobs

    @singledispatchmethod
    async def _answer(self, question: Question) -> OwnerAnswer:
        raise KeyValueUnavailable("unknown question")

    @_answer.register
    async def _(self, question: ResultsQuestion) -> OwnerAnswer:
        jobs = self._owned(question.job_id)
        total, results = await jobs.read(question.job_id, question.position, question.wait_s)
        return OwnerAnswer(True, total, results)

    @_answer.register
    async def _(self, question: ItemQuestion) -> OwnerAnswer:
        jobs = self._owned(question.job_id)
        return OwnerAnswer(True, item=await jobs.item(question.job_id, question.item_id))
