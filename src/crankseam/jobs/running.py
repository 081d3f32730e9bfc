"""The jobs that this process runs, the lease that owns them, and which jobs are over.

Owns the runners and their tasks, the lease under which each job was owned, and the ids of the
newest ended jobs, so that nothing late starts one again. Relies on the process's lease for
ownership.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Protocol

from crankseam.coordination.process_lease import ProcessLease
from crankseam.jobs.earlier_outputs import EarlierOutputs
from crankseam.jobs.model import ItemResult, JobDefinition, PartialText
from crankseam.jobs.reader import JobReader
from crankseam.jobs.runner import JobRunner
from crankseam.serving.supervisor import Supervisor

ENDED_MEMORY = 4096
"""Ended jobs that a process remembers, so that nothing late starts one again."""


class RunnerFactory(Protocol):
    """Makes the runner of a job."""

    def __call__(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        kept: dict[str, PartialText],
    ) -> JobRunner:
        """A runner that goes on from what is listed and kept."""


class RunningJobs:
    """Runners by job.

    Parameters
    ==========

    make_runner : makes the runner of a job that starts here.
    lease : this process's lease; ownership hangs on it.
    reader : takes over what a runner listed when its run stops here.
    earlier_outputs : keeps the outputs of jobs that end.
    """

    def __init__(
        self,
        make_runner: RunnerFactory,
        lease: ProcessLease,
        reader: JobReader,
        earlier_outputs: EarlierOutputs,
        supervisor: Supervisor,
    ) -> None:
        self._make_runner = make_runner
        self._lease = lease
        self._reader = reader
        self._earlier_outputs = earlier_outputs
        self._supervisor = supervisor
        self.runners: dict[str, JobRunner] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._owned_under: dict[str, int] = {}
        """Lease under which this process became a job's owner, by job."""
        self._ended: OrderedDict[str, None] = OrderedDict()

    # --- ownership

    def own(self, job_id: str, lease: int) -> None:
        """Note that this process became the owner under a lease."""
        self._owned_under[job_id] = lease

    def was_owned(self, job_id: str) -> bool:
        """Whether this process became the job's owner, under whichever lease."""
        return job_id in self._owned_under

    def is_owned_under_current_lease(self, job_id: str) -> bool:
        """Whether the newest lease of this process is the one that owns the job."""
        return self._owned_under.get(job_id) == self._lease.number

    def is_owner(self, job_id: str) -> bool:
        """Whether nobody else can have listed results of this job."""
        return self.is_owned_under_current_lease(job_id) and self._lease.is_held()

    # --- runs

    def start(
        self,
        job: JobDefinition,
        listed: list[list[ItemResult]],
        kept: dict[str, PartialText],
        accepted: bool = True,
    ) -> None:
        """Run a job, unless it runs already or is over."""
        if job.id in self.runners or job.id in self._ended:
            return
        runner = self._make_runner(job, listed, kept)
        if accepted:
            runner.accepted.set()
        self.runners[job.id] = runner
        self._tasks[job.id] = self._supervisor.once(runner.run, f"job {job.id}")

    def stop(self, job_id: str) -> JobRunner | None:
        """Stop a run and give up its ownership; the runner, if there was one."""
        runner = self.runners.pop(job_id, None)
        self._owned_under.pop(job_id, None)
        task = self._tasks.pop(job_id, None)
        if task is not None:
            task.cancel()
        if runner is not None and runner.accepted.is_set():
            listing = runner.listing
            self._reader.cache(runner.job, listing.chunks, list(listing.results))
        return runner

    def drop_unaccepted(self, job_id: str) -> bool:
        """Stop the run of a job that was not accepted here; whether there was one."""
        runner = self.runners.get(job_id)
        if runner is None or runner.accepted.is_set():
            return False
        self.stop(job_id)
        return True

    # --- ends

    def end(self, job_id: str) -> None:
        """Stop a run for good."""
        self._ended[job_id] = None
        while len(self._ended) > ENDED_MEMORY:
            self._ended.popitem(last=False)
        runner = self.stop(job_id)
        if runner is not None:
            self._earlier_outputs.keep(runner.job, runner.outputs())

    def has_ended(self, job_id: str) -> bool:
        """Whether this process saw the job's end."""
        return job_id in self._ended
