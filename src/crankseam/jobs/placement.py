"""Which process runs a job that is submitted, and how the submission reaches it.

Inputs: the living processes with the sizes of their machines, as this process follows them; which
of them did not take a job lately; how many unlisted items and how late an event loop the asked
process has.
Rule: the process that ranks first for the job's model, large machines first, gets the job; each
process works that out alike. One that did not take a job is passed over for AVOID_S. The asked one
takes it while it has room and its event loop is not late; else the asker accepts it itself, unless
the answer leaves open whether the asked one did.
Protects: what a process has learned for its model: how many items run at each sampler, how fast
each is, and open connections (2,013 -> 1,406 new ones and 12 -> 0 failed groups a day).
Shown by: `job_handed_over`, `job_accepted`. Held by: tests/jobs/test_placement.py.
"""

from __future__ import annotations

import enum
import logging
import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from crankseam import clocks
from crankseam.coordination.presence import ProcessAsker
from crankseam.coordination.ranking import rank_by_capacity
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.errors import AcceptanceUnknown, JobIdTaken
from crankseam.jobs.item_run import RouteFinder
from crankseam.jobs.model import JobDefinition

log = logging.getLogger(__name__)

ACCEPT_S = 0.5
"""The chosen process tries to accept a job for so long; then the asker accepts it itself. A choice,
not measured by itself."""
ANSWER_SLACK_S = 0.15
"""Its answer is waited for so much longer: the way between two processes. Origin not recorded."""
AVOID_S = 2.0
"""A process that did not take a job is not asked again for so long. Origin not recorded."""
MOST_ITEMS = 512
"""Unlisted items with which a process still takes jobs from others: their events need processor
time. 256 until its lag of the event loop counted too; not measured by itself."""


def first_process(
    subject: str, capacities: dict[str, float], avoid_until: dict[str, float], now: float
) -> str | None:
    """The process that is to run a subject's jobs; None if no process may be asked.

    Parameters
    ==========

    subject : the model, or the route of a job that names none.
    capacities : sizes of the machines of the living processes, by name.
    avoid_until : monotonic time until which a process is passed over, by name.
    """
    living = {
        name: capacity for name, capacity in capacities.items() if avoid_until.get(name, 0.0) <= now
    }
    return next(iter(rank_by_capacity(subject, living)), None)


def has_room(unlisted: int, items: int) -> bool:
    """Whether a process with so many unlisted items takes so many more from others."""
    return unlisted + items <= MOST_ITEMS


class Outcome(enum.Enum):
    """What became of a submission at the process that was asked."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not_accepted"
    """It was not accepted there and never will be; nothing ran."""
    UNKNOWN = "unknown"
    ID_TAKEN = "id_taken"
    """See JobIdTaken."""


class Submission(msgspec.Struct, frozen=True):
    """A job for the asked process to accept within ``wait_s`` seconds."""

    job: JobDefinition
    wait_s: float


class SubmissionAnswer(msgspec.Struct, frozen=True):
    """See Outcome."""

    outcome: Outcome


class SubmissionTaker(Protocol):
    """The jobs of this process."""

    async def submit(self, job: JobDefinition, deadline: float) -> None:
        """See JobService.submit."""

    def has_room(self, items: int) -> bool:
        """Whether this process takes so many more items that others hand to it."""


class JobPlacement:
    """Brings submissions to the processes that are to run them.

    Parameters
    ==========

    jobs : this process's own jobs.
    process : this process's name.
    processes : all living processes, with the sizes of their machines: what a step's items make
        goes out several times, so the large ones run the jobs.
    ask : sends bytes to another process.
    find_route : a job's route in the newest configuration.
    is_behind : whether this process's processor does not suffice for what it does already.
    """

    def __init__(
        self,
        jobs: SubmissionTaker,
        process: str,
        processes: Callable[[], dict[str, float]],
        ask: ProcessAsker,
        find_route: RouteFinder,
        is_behind: Callable[[], bool],
    ) -> None:
        self._jobs = jobs
        self._process = process
        self._processes = processes
        self._ask_process = ask
        self._find_route = find_route
        self._is_behind = is_behind
        self._avoid_until: dict[str, float] = {}

    async def submit(self, job: JobDefinition, deadline: float) -> None:
        """Have a job accepted by the process that suits it, else by this one.

        Raises
        ======

        AcceptanceUnknown : nothing can be promised.
        JobIdTaken : another tenant's job has this id.
        KeyValueUnavailable : it was not accepted and never will be; nothing ran.
        """
        outcome = Outcome.NOT_ACCEPTED
        chosen = self._choose(job)
        if chosen is not None:
            outcome = await self._hand_over(chosen, job, deadline)
        if outcome is Outcome.ACCEPTED:
            return
        if outcome is Outcome.ID_TAKEN:
            raise JobIdTaken(job.id)
        try:
            await self._jobs.submit(job, deadline)
        except KeyValueUnavailable as error:
            if outcome is Outcome.UNKNOWN:
                raise AcceptanceUnknown(job.id) from error
            raise

    def _choose(self, job: JobDefinition) -> str | None:
        """The process to hand a job to; None for this one."""
        now = time.monotonic()
        capacities = self._processes()
        route = self._find_route(job)
        subject = job.model or (route.name if route is not None else job.host)
        first = first_process(subject, capacities, self._avoid_until, now)
        return first if first != self._process else None

    async def _hand_over(self, chosen: str, job: JobDefinition, deadline: float) -> Outcome:
        wait_s = min(ACCEPT_S, deadline - clocks.promised_s())
        submission = msgspec.msgpack.encode(Submission(job, wait_s))
        try:
            raw = await self._ask_process(chosen, submission, wait_s + ANSWER_SLACK_S)
            outcome = msgspec.msgpack.decode(raw, type=SubmissionAnswer).outcome
        except KeyValueUnavailable:
            outcome = Outcome.NOT_ACCEPTED
        except (KeyValueError, msgspec.DecodeError):
            outcome = Outcome.UNKNOWN
        if outcome in (Outcome.NOT_ACCEPTED, Outcome.UNKNOWN):
            self._avoid_until[chosen] = time.monotonic() + AVOID_S
        log.info(
            "job_handed_over",
            extra={"job": job.id, "peer": chosen, "outcome": outcome.value},
        )
        return outcome

    async def serve(self, raw: bytes) -> bytes:
        """Answer another process's submission."""
        submission = msgspec.msgpack.decode(raw, type=Submission)
        return msgspec.msgpack.encode(SubmissionAnswer(await self._accept(submission)))

    async def _accept(self, submission: Submission) -> Outcome:
        if self._is_behind() or not self._jobs.has_room(len(submission.job.items)):
            return Outcome.NOT_ACCEPTED
        try:
            await self._jobs.submit(submission.job, clocks.promised_s() + submission.wait_s)
        except JobIdTaken:
            return Outcome.ID_TAKEN
        except KeyValueUnavailable:
            return Outcome.NOT_ACCEPTED
        except (KeyValueError, AcceptanceUnknown):
            return Outcome.UNKNOWN
        return Outcome.ACCEPTED
