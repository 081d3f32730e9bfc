"""How long the items of each model hold places at samplers, learned from those that ended.

Owns smoothed sums of seconds and hinted tokens by model, in this process's memory. What it tells
goes with each accepted job to all processes, which share samplers between models by it.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.jobs.model import ItemDefinition, JobDefinition

REMEMBERED_ITEMS = 256
"""What is learned follows the last so many items: about two steps."""
FEWEST_ITEMS = 8
"""Before so many have ended, nothing is told."""


@dataclass(slots=True)
class _Sums:
    """Smoothed sums over ended items."""

    held_s: float = 0.0
    units: float = 0.0
    items: int = 0

    def take(self, held_s: float, units: float) -> None:
        kept = 1.0 - 1.0 / REMEMBERED_ITEMS
        self.held_s = self.held_s * kept + held_s
        self.units = self.units * kept + units
        self.items += 1


def _units(item: ItemDefinition) -> int:
    """What an item's seconds are taken to grow with."""
    return item.length_hint or 1


class ItemSeconds:
    """Seconds by unit of work, by model.

    A hint tells a long item from a short one, and is off for each by itself; so seconds are
    learned by hinted token, since the first items to end are the short ones.
    """

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}

    def ended(self, model: str, item: ItemDefinition, held_s: float) -> None:
        """An item's text became whole after it held places for so long, in all attempts."""
        self._sums.setdefault(model, _Sums()).take(held_s, _units(item))

    def mean_s(self, job: JobDefinition) -> float:
        """How long an item of a job is likely to hold places; 0 if that is not known."""
        sums = self._sums.get(job.model)
        if sums is None or sums.items < FEWEST_ITEMS or not job.items:
            return 0.0
        units = sum(_units(item) for item in job.items) / len(job.items)
        return units * sums.held_s / sums.units
