"""Interface by which the version coordinator learns what the open jobs of each model need.

Holds no state. `crankseam.jobs.demand.ModelDemand` implements the interface in processes that run
jobs, and `UnknownDemand` in all others.
"""

from __future__ import annotations

from typing import Protocol


class Demand(Protocol):
    """Demand of the open jobs of each model."""

    def items_of(self, model: str) -> int | None:
        """Return how many items need to run at the same time; None if unknown."""

    def work_s_of(self, model: str) -> float | None:
        """Return the total seconds for which these items occupy sampler slots; None if unknown."""

    def needed_version(self, model: str) -> int | None:
        """Return the oldest version that may serve the newest job; None if unknown."""


class UnknownDemand:
    """Implementation of Demand for processes that do not know the open jobs."""

    def items_of(self, model: str) -> int | None:
        """See Demand."""
        return None

    def work_s_of(self, model: str) -> float | None:
        """See Demand."""
        return None

    def needed_version(self, model: str) -> int | None:
        """See Demand."""
        return None
