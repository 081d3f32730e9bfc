"""Interface by which the version coordinator learns what the open jobs of each model need.

Holds no state. `crankseam.jobs.demand.ModelDemand` implements the interface in processes that run
jobs, and `UnknownDemand` in all others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class DueWork:
    """Work of the open jobs of one model and one priority, and the time left for it.

    Attributes
    ==========

    priority : priority of the jobs; 0 is the most urgent.
    work_s : expected seconds for which their unfinished items will occupy sampler slots.
    left_s : seconds until the work is due; positive.
    """

    priority: int
    work_s: float
    left_s: float

    @property
    def needed_slots(self) -> float:
        """Number of slots that complete the work when it is due."""
        return self.work_s / self.left_s


@dataclass(frozen=True, slots=True)
class ModelWork:
    """What the recent jobs of one model need.

    Attributes
    ==========

    due : work by priority; empty if the model is idle.
    tightness : expected seconds of the longest item of the newest job, as a fraction of the seconds
        that the job had until it was due; 0 if unknown.
    """

    due: tuple[DueWork, ...] = ()
    tightness: float = 0.0

    @property
    def needed_slots(self) -> float:
        """Number of slots that complete the work of all priorities when it is due."""
        return sum(work.needed_slots for work in self.due)


class Demand(Protocol):
    """Demand of the open jobs of each model."""

    def peak_open_items(self, model: str) -> int | None:
        """Return how many items need to run at the same time; None if unknown."""

    def required_slot_seconds(self, model: str) -> float | None:
        """Return the total seconds for which these items occupy sampler slots; None if unknown."""

    def due_work(self, model: str) -> ModelWork | None:
        """Return the work and the time left for it; None if the work of an open job is unknown."""

    def min_usable_version(self, model: str) -> int | None:
        """Return the oldest version that may serve the newest job; None if unknown."""


class UnknownDemand:
    """Implementation of Demand for processes that do not know the open jobs."""

    def peak_open_items(self, model: str) -> int | None:
        """See Demand."""
        return None

    def required_slot_seconds(self, model: str) -> float | None:
        """See Demand."""
        return None

    def due_work(self, model: str) -> ModelWork | None:
        """See Demand."""
        return None

    def min_usable_version(self, model: str) -> int | None:
        """See Demand."""
        return None
