"""What the open jobs of each model need, as the coordinator of versions asks for it.

Owns nothing: `crankseam.jobs.demand.ModelDemand` answers where jobs run, `UnknownDemand` elsewhere.
"""

from __future__ import annotations

from typing import Protocol


class Demand(Protocol):
    """What the open jobs of each model need."""

    def items_of(self, model: str) -> int | None:
        """How many items want to run at once; None if that is not known."""

    def work_s_of(self, model: str) -> float | None:
        """Seconds for which these items hold slots of samplers; None if that is not known."""

    def needed_version(self, model: str) -> int | None:
        """The oldest version that may serve the newest job; None if that is not known."""


class UnknownDemand:
    """See Demand; nothing is known."""

    def items_of(self, model: str) -> int | None:
        """See Demand."""
        return None

    def work_s_of(self, model: str) -> float | None:
        """See Demand."""
        return None

    def needed_version(self, model: str) -> int | None:
        """See Demand."""
        return None
