"""Estimates which work of an open job remains, and by when it must be done.

Inputs: work and time until due of the job, in seconds, as stored when it was accepted; the seconds
since this process first saw the job's key. The progress of a job is not known.
Rule: the work is assumed to be done evenly until it is due, but a part of it remains while the job
is open. The time left is never less than a load takes. A job that is far too late no longer counts.
The need of a model and priority is the recent peak of the sum over its open jobs.
Purpose: a job that is still open when it is nearly due needs more than it was given. The peak
bridges the pause between two steps, in which no job is open; a model that is idle for longer needs
nothing.
Logged as: `needed_slots` of `capacity_shared`.
Tested by: tests/jobs/test_due_work.py.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from crankseam.orders.demand import DueWork

MIN_OPEN_WORK_FRACTION = 0.15
"""Fraction of its work that a job is assumed to have left while it is open. Trainers end a job when
most of its groups are whole, so what keeps it open near its due time are the last groups."""
MIN_LEFT_S = 1.0
"""Shortest time left, in seconds: a load takes about as long, so that a sampler that is assigned to
a model can't help it sooner."""
MAX_LATE_S = 10.0
"""Seconds after it was due at which a job no longer counts: its results are of no more use, and
a job that its caller never ends must not hold capacity."""
UNKNOWN_DUE_S = 10.0
"""Seconds until due that are assumed for a job that states none. Trainers ask for a step every few
seconds, and such a job is less urgent than those that state a time."""
NEED_RETENTION_S = 8.0
"""Seconds for which a peak of the need counts: longer than the pause between two steps of a trainer
that keeps up, so that shares stay as they are, and not much longer, so that an idle
model soon gives up samplers that another model lacks."""


def due_work(priority: int, work_s: float, due_s: float, elapsed_s: float) -> DueWork | None:
    """Return the remaining work of an open job; None if it no longer counts.

    Parameters
    ==========

    work_s : expected work of the whole job, in slot-seconds.
    due_s : seconds from the job's acceptance until it is due; 0 if unknown.
    elapsed_s : seconds since this process first saw the job.

    Examples
    ========

    >>> due_work(0, 80.0, 8.0, 4.0)
    DueWork(priority=0, work_s=40.0, left_s=4.0)
    >>> due_work(0, 80.0, 8.0, 7.5)
    DueWork(priority=0, work_s=12.0, left_s=1.0)
    """
    due_s = due_s or UNKNOWN_DUE_S
    left_s = due_s - elapsed_s
    if left_s < -MAX_LATE_S:
        return None
    left_s = max(MIN_LEFT_S, left_s)
    remaining_fraction = min(1.0, max(MIN_OPEN_WORK_FRACTION, left_s / due_s))
    return DueWork(priority, work_s * remaining_fraction, left_s)


def combine(works: Sequence[DueWork]) -> DueWork:
    """Return the works of one priority as one that needs as many slots as all of them together.

    Examples
    ========

    >>> combine([DueWork(0, 20.0, 1.0), DueWork(0, 20.0, 2.0)])
    DueWork(priority=0, work_s=40.0, left_s=1.3333333333333333)
    """
    work_s = sum(work.work_s for work in works)
    needed_slots = sum(work.needed_slots for work in works)
    if needed_slots <= 0.0:
        return DueWork(works[0].priority, 0.0, max(work.left_s for work in works))
    return DueWork(works[0].priority, work_s, work_s / needed_slots)


@dataclass(frozen=True, slots=True)
class _Peak:
    """Peak of the need, and the monotonic time, in seconds, at which it was last reached."""

    work: DueWork
    at: float


class RecentNeeds:
    """Recent peaks of the need by priority, for one model."""

    def __init__(self) -> None:
        self._peaks: dict[int, _Peak] = {}

    def update(self, works: Sequence[DueWork], now: float) -> tuple[DueWork, ...]:
        """Take note of the work of all open jobs, and return the recent peak of each priority.

        Parameters
        ==========

        now : monotonic seconds.
        """
        self._peaks = {
            priority: peak
            for priority, peak in self._peaks.items()
            if now - peak.at <= NEED_RETENTION_S
        }
        by_priority: dict[int, list[DueWork]] = {}
        for work in works:
            by_priority.setdefault(work.priority, []).append(work)
        for priority, of_priority in by_priority.items():
            current = combine(of_priority)
            peak = self._peaks.get(priority)
            if peak is None or current.needed_slots >= peak.work.needed_slots:
                self._peaks[priority] = _Peak(current, now)
        return tuple(self._peaks[priority].work for priority in sorted(self._peaks))
