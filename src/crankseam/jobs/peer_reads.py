"""Reads of jobs that another process runs: its owner is asked before the store is.

The owner knows what is listed without a call of the store. It answers only while nobody else can
own the job, so its answer is what the store holds, or what the store held a moment ago.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Protocol

import msgspec

from crankseam.coordination.presence import ProcessAsker
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.errors import JobUnknown
from crankseam.jobs.model import ItemDefinition, ItemResult

ANSWER_SLACK_S = 0.3
"""Seconds beyond the wait itself for which an owner's answer is waited for; then the store is
asked. Origin not recorded."""


class ResultsQuestion(msgspec.Struct, frozen=True, tag=True):
    """Results of a job from a position on, waited for ``wait_s`` seconds if there is none."""

    job_id: str
    position: int
    wait_s: float


class ItemQuestion(msgspec.Struct, frozen=True, tag=True):
    """One item's definition."""

    job_id: str
    item_id: str


Question = ResultsQuestion | ItemQuestion


class OwnerAnswer(msgspec.Struct, frozen=True):
    """What the owner knows; ``is_owner`` is false when the asked process is not the owner."""

    is_owner: bool = False
    total: int = 0
    results: list[ItemResult] = []
    item: ItemDefinition | None = None


class OwnerClient(Protocol):
    """Asks owners of jobs."""

    async def results(
        self, owner: str, job_id: str, position: int, wait_s: float
    ) -> tuple[int, list[ItemResult]] | None:
        """The number of items and results from a position on; None if the owner did not say."""

    async def item(self, owner: str, job_id: str, item_id: str) -> ItemDefinition | None:
        """One item's definition; None if the owner did not say."""


class OwnedJobs(Protocol):
    """The jobs of this process, as far as others ask for them."""

    def is_owner(self, job_id: str) -> bool:
        """See JobService.is_owner."""

    async def read(self, job_id: str, position: int, wait_s: float) -> tuple[int, list[ItemResult]]:
        """See JobService.read."""

    async def item(self, job_id: str, item_id: str) -> ItemDefinition:
        """See JobService.item."""


class PeerReads:
    """See OwnerClient; also answers for the jobs that this process owns."""

    def __init__(self, ask: ProcessAsker) -> None:
        self._ask_owner = ask
        self._jobs: OwnedJobs | None = None

    def answer_for(self, jobs: OwnedJobs) -> None:
        """Answer other processes with this process's jobs."""
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
        longest_s = wait_s + ANSWER_SLACK_S
        try:
            raw = await self._ask_owner(owner, msgspec.msgpack.encode(question), longest_s)
            return msgspec.msgpack.decode(raw, type=OwnerAnswer)
        except (KeyValueError, msgspec.DecodeError):
            # The caller asks the store instead.
            return OwnerAnswer()

    async def serve(self, raw: bytes) -> bytes:
        """Answer another process."""
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
