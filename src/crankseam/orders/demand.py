"""Interface by which the version coordinator learns what the open jobs of each model need.

Holds no state. `crankseam.jobs.demand.ModelDemand` implements the interface in processes that run
jobs, and `UnknownDemand` in all others.
"""

from __future__ import annotations

from typing import Protocol


class Demand(Protocol):
    """Demand of the open jobs of each model."""

    def peak_open_items(self, model: str) -> int | None:
        """Return how many items need to run at the same time; None if unknown."""

    def required_slot_seconds(self, model: str) -> float | None:
        """Return the total seconds for which these items occupy sampler slots; None if unknown."""

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

    def min_usable_version(self, model: str) -> int | None:
        """See Demand."""
        return None
