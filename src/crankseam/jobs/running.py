"""Keeps the runners of the jobs in this process, their ownership, and the recently ended jobs.

Holds the runners and their tasks, the lease under which this process became the owner of each job,
the ids of the most recently ended jobs, so that a delayed submission or claim does not restart one,
and those of the jobs that ran before they were accepted. Ownership depends on the process's lease.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

from crankseam.coordination.process_lease import ProcessLease
from crankseam.jobs.earlier_outputs import EarlierOutputs
from crankseam.jobs.job_memory import JobMemory
from crankseam.jobs.model import ItemResult, JobDefinition, PartialText
from crankseam.jobs.reader import JobReader
from crankseam.jobs.runner import JobRunner
from crankseam.serving.supervisor import Supervisor

MAX_REMEMBERED_JOBS = 4096
"""Number of ended jobs that a process remembers, so that a delayed submission or claim does not
restart one; and of jobs that ran before they were accepted, so that none is refused as not run."""


class RunnerFactory(Protocol):
    """Creates the runner of a job."""

    def __call__(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        kept: dict[str, PartialText],
    ) -> JobRunner:
        """A runner that resumes from the listed results and the kept partial texts."""


def _remember(jobs: OrderedDict[str, None], job_id: str) -> None:
    """Add a job to those that a process remembers, and forget the oldest beyond the limit."""
    jobs[job_id] = None
    while len(jobs) > MAX_REMEMBERED_JOBS:
        jobs.popitem(last=False)


class RunningJobs:
    """The jobs that run in this process.

    Parameters
    ==========

    make_runner : creates the runner of a job that starts here.
    lease : this process's lease, on which ownership depends.
    reader : caches the listed results of a run that stops here.
    earlier_outputs : retains the outputs of jobs that end.

    Attributes
    ==========

    runners : the runners by job id.
    memory : the memory that large jobs hold.
    """

    def __init__(
        self,
        make_runner: RunnerFactory,
        lease: ProcessLease,
        reader: JobReader,
        earlier_outputs: EarlierOutputs,
        supervisor: Supervisor,
        memory: JobMemory | None = None,
    ) -> None:
        self.memory = memory or JobMemory()
        self._make_runner = make_runner
        self._lease = lease
        self._reader = reader
        self._earlier_outputs = earlier_outputs
        self._supervisor = supervisor
        self.runners: dict[str, JobRunner] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._owner_leases: dict[str, int] = {}
        """Lease under which this process became a job's owner, by job id."""
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._ran_ahead: OrderedDict[str, None] = OrderedDict()
        """Ids of the jobs that started here before they were accepted, the oldest first."""

    # --- ownership

    def record_ownership(self, job_id: str, lease: int) -> None:
        """Record that this process became the job's owner under a lease."""
        self._owner_leases[job_id] = lease

    def was_owned(self, job_id: str) -> bool:
        """Whether this process became the job's owner under any lease."""
        return job_id in self._owner_leases

    def is_owned_under_current_lease(self, job_id: str) -> bool:
        """Whether this process became the job's owner under its current lease."""
        return self._owner_leases.get(job_id) == self._lease.number

    def is_owner(self, job_id: str) -> bool:
        """Whether this process owns the job under a lease that it still holds.

        As long as it does, no other process can have listed results of the job.
        """
        return self.is_owned_under_current_lease(job_id) and self._lease.is_held()

    # --- runs

    def start(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        kept: dict[str, PartialText],
        accepted: bool = True,
    ) -> bool:
        """Start a job's run, unless the job already runs here or has ended.

        Returns
        =======

        Whether the run was started.
        """
        if job.id in self.runners or job.id in self._ended:
            return False
        runner = self._make_runner(job, listed, kept)
        self.memory.hold(job)
        if accepted:
            runner.accepted.set()
        else:
            _remember(self._ran_ahead, job.id)
        self.runners[job.id] = runner
        self._tasks[job.id] = self._supervisor.once(runner.run, f"job {job.id}")
        return True

    def may_have_run(self, job_id: str) -> bool:
        """Whether items of a job may have run, as far as this process remembers.

        That its run is gone shows nothing: a planned stop, another owner, the end of the job or of
        another attempt to submit it may have stopped the run.
        """
        return job_id in self.runners or job_id in self._ran_ahead or job_id in self._ended

    def count_memory(self, job_id: str) -> None:
        """Count all that a job holds which was just submitted, if it runs here."""
        runner = self.runners.get(job_id)
        if runner is not None:
            self.memory.hold(runner.job)

    def stop(self, job_id: str) -> JobRunner | None:
        """Stop a run and give up the job's ownership; returns the runner, if there was one."""
        runner = self.runners.pop(job_id, None)
        self._owner_leases.pop(job_id, None)
        self.memory.release(job_id)
        task = self._tasks.pop(job_id, None)
        if task is not None:
            task.cancel()
        if runner is not None and runner.accepted.is_set() and not runner.is_large:
            listing = runner.listing
            self._reader.cache(runner.job, listing.chunks, list(listing.results))
        return runner

    def drop_unaccepted(self, job_id: str) -> bool:
        """Stop the speculative run of a job that was not accepted; False if there is none."""
        runner = self.runners.get(job_id)
        if runner is None or runner.accepted.is_set():
            return False
        self.stop(job_id)
        return True

    # --- ends

    def end(self, job_id: str) -> None:
        """Stop the run of an ended job, retain its outputs, and prevent a restart."""
        _remember(self._ended, job_id)
        runner = self.stop(job_id)
        if runner is not None and not runner.is_large:
            self._earlier_outputs.keep(runner.job, runner.outputs())

    def has_ended(self, job_id: str) -> bool:
        """Whether the job is among the ended jobs that this process remembers."""
        return job_id in self._ended
