"""Estimates how long items of each model hold places at samplers, from items that have ended.

Owns decaying sums of seconds, hinted tokens and events per model, in this process's memory. The
estimates are stored with each accepted job, and all processes use them to divide the samplers, or
at contended services their capacity, among the models. The owner of a job also estimates from them
how long each of its items still needs: the hint gives the likely number of events, and a linear
regression of seconds on events over ended items gives the seconds. Seconds in proportion to the
hint would be too few for short items, since each item takes some time before its first event.
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
MIN_SPREAD = 0.01
"""Least variance of the ended items' events, relative to the square of their mean, from which the
seconds of a start are told apart from those of the events."""
MIN_REMAINING_FRACTION = 0.1
"""Fraction of its expected work that an unfinished item still needs at least, even if it has
generated more events than its hint let expect."""


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
    weight: float = 0.0
    events: float = 0.0
    events_squared: float = 0.0
    events_s: float = 0.0
    items: int = 0

    def add(self, held_s: float, units: float, events: int) -> None:
        kept = 1.0 - 1.0 / AVERAGING_ITEMS
        self.held_s = self.held_s * kept + held_s
        self.units = self.units * kept + units
        self.weight = self.weight * kept + 1.0
        self.events = self.events * kept + events
        self.events_squared = self.events_squared * kept + events * events
        self.events_s = self.events_s * kept + events * held_s
        self.items += 1

    def start_and_event_s(self) -> tuple[float, float]:
        """Seconds before an item's first event, and for each event, by least squares.

        Neither is negative. The first is 0 if the items' numbers of events hardly differ.
        """
        mean_events, mean_s = self.events / self.weight, self.held_s / self.weight
        spread = self.events_squared / self.weight - mean_events**2
        if spread < MIN_SPREAD * mean_events**2:
            return (0.0, mean_s / mean_events)
        per_event_s = (self.events_s / self.weight - mean_events * mean_s) / spread
        per_event_s = min(max(per_event_s, 0.0), mean_s / mean_events)
        return (mean_s - per_event_s * mean_events, per_event_s)


@dataclass(frozen=True, slots=True)
class WorkRate:
    """Learnt or assumed speed of a model's items.

    Attributes
    ==========

    s_per_unit : seconds for which an item holds a place per unit of work; see `work_units`.
    units_per_event : units of work that an event stands for; 0 if unknown.
    start_s : seconds for which an item holds a place before its first event.
    is_learnt : whether the rate comes from items that have ended.
    """

    s_per_unit: float
    units_per_event: float = 0.0
    start_s: float = 0.0
    is_learnt: bool = True

    def remaining_s(self, item: ItemDefinition, events: int) -> float:
        """Expected seconds for which an unfinished item still holds a place.

        Parameters
        ==========

        events : number of events that it has generated.

        Examples
        ========

        >>> item = ItemDefinition("i", "/", {}, b"", length_hint=40)
        >>> rate = WorkRate(s_per_unit=0.1, units_per_event=2.0, start_s=0.5)
        >>> [rate.remaining_s(item, events) for events in (0, 15, 90)]
        [4.5, 1.0, 0.4]
        """
        units = work_units(item)
        left = max(units - events * self.units_per_event, MIN_REMAINING_FRACTION * units)
        start_s = 0.0 if events else self.start_s
        return start_s + left * self.s_per_unit


def work_units(item: ItemDefinition) -> int:
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

    def ended(self, model: str, item: ItemDefinition, held_s: float, events: int = 0) -> None:
        """Add an item whose text is complete.

        Parameters
        ==========

        held_s : seconds for which the item held places, over all its attempts.
        events : number of events of its text; 0 if unknown.
        """
        self._sums.setdefault(model, _Sums()).add(held_s, work_units(item), events)

    def rate(self, model: str) -> WorkRate | None:
        """Rate of a model's items; None if unknown."""
        sums = self._sums.get(model)
        if sums is None or sums.items < MIN_ITEMS:
            return None
        if not sums.events:
            return WorkRate(sums.held_s / sums.units)
        start_s, per_event_s = sums.start_and_event_s()
        units_per_event = sums.units / sums.events
        return WorkRate(per_event_s / units_per_event, units_per_event, start_s)

    def expected_s(self, model: str, item: ItemDefinition) -> float:
        """Expected seconds for which an item holds places; DEFAULT_ITEM_S if unknown."""
        sums = self._sums.get(model)
        if sums is None or sums.items < MIN_ITEMS:
            return DEFAULT_ITEM_S
        return work_units(item) * sums.held_s / sums.units

    def expected_work(self, job: JobDefinition) -> ExpectedWork:
        """Expected seconds for which the items of a job hold places, by their hints."""
        sums = self._sums.get(job.model)
        if sums is None or sums.items < MIN_ITEMS or not job.items:
            return ExpectedWork()
        units = [work_units(item) for item in job.items]
        unit_s = sums.held_s / sums.units
        return ExpectedWork(sum(units) * unit_s, max(units) * unit_s)

    def mean_s(self, job: JobDefinition) -> float:
        """Expected seconds for which an item of a job holds places; 0 if unknown."""
        sums = self._sums.get(job.model)
        if sums is None or sums.items < MIN_ITEMS or not job.items:
            return 0.0
        units = sum(work_units(item) for item in job.items) / len(job.items)
        return units * sums.held_s / sums.units
