"""Estimates how long items of each model hold places at samplers, from items that have ended.

Owns decaying sums of seconds and hinted tokens per model, in this process's memory. The estimates
are stored with each accepted job, and all processes use them to divide the samplers, or at
contended services their capacity, among the models.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.jobs.model import ItemDefinition, JobDefinition

AVERAGING_ITEMS = 256
"""Time constant of the decaying sums, in items: about two steps."""
DEFAULT_ITEM_S = 1.0
"""Seconds that are expected of each item of a model of which too few items have ended. Any value
does: only the items of one model are compared."""
MIN_ITEMS = 8
"""Number of items of a model that must have ended before an estimate is given."""


@dataclass(frozen=True, slots=True)
class ExpectedWork:
    """Expected seconds for which the items of a job hold places; 0 if unknown.

    Attributes
    ==========

    total_s : sum over all items.
    longest_item_s : seconds of the item with the largest hint.
    """

    total_s: float = 0.0
    longest_item_s: float = 0.0


@dataclass(slots=True)
class _Sums:
    """Exponentially decaying sums over ended items; `items` is a plain count."""

    held_s: float = 0.0
    units: float = 0.0
    items: int = 0

    def add(self, held_s: float, units: float) -> None:
        kept = 1.0 - 1.0 / AVERAGING_ITEMS
        self.held_s = self.held_s * kept + held_s
        self.units = self.units * kept + units
        self.items += 1


def _work_units(item: ItemDefinition) -> int:
    """Units of work to which the seconds of an item are assumed to be proportional.

    These are the hinted tokens, or 1 for an item without a hint.
    """
    return item.length_hint or 1


class ItemSeconds:
    """Mean seconds per unit of work for each model.

    The first items to end are the short ones, so a plain mean of their seconds would be too low.
    Seconds per hinted token avoid this: a hint distinguishes long items from short ones, even
    though single hints are inaccurate.
    """

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}

    def ended(self, model: str, item: ItemDefinition, held_s: float) -> None:
        """Add an item whose text is complete.

        Parameters
        ==========

        held_s : seconds for which the item held places, over all its attempts.
        """
        self._sums.setdefault(model, _Sums()).add(held_s, _work_units(item))

    def expected_s(self, model: str, item: ItemDefinition) -> float:
        """Expected seconds for which an item holds places; DEFAULT_ITEM_S if unknown."""
        sums = self._sums.get(model)
        if sums is None or sums.items < MIN_ITEMS:
            return DEFAULT_ITEM_S
        return _work_units(item) * sums.held_s / sums.units

    def expected_work(self, job: JobDefinition) -> ExpectedWork:
        """Expected seconds for which the items of a job hold places, by their hints."""
        sums = self._sums.get(job.model)
        if sums is None or sums.items < MIN_ITEMS or not job.items:
            return ExpectedWork()
        units = [_work_units(item) for item in job.items]
        unit_s = sums.held_s / sums.units
        return ExpectedWork(sum(units) * unit_s, max(units) * unit_s)

    def mean_s(self, job: JobDefinition) -> float:
        """Expected seconds for which an item of a job holds places; 0 if unknown."""
        sums = self._sums.get(job.model)
        if sums is None or sums.items < MIN_ITEMS or not job.items:
            return 0.0
        units = sum(_work_units(item) for item in job.items) / len(job.items)
        return units * sums.held_s / sums.units
