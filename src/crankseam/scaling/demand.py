"""How many samplers does a service's work need, without going to and fro?

Inputs: the most items of each model that were open at one moment of the last 30 s; the largest
number of slots of the service's samplers.
Rule: a slot for each open item. The count goes up at once, and down only after it was lower for a
while, to the highest of that while.
Protects: a step ends with its longest items, and these end in time only if they begin at once; a
sampler that goes between two steps would have to boot for the next.
Shown by: `samplers_ordered`. Held by: tests/scaling/test_demand.py, tests/scaling/test_plan.py.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from crankseam.scaling.plan import samplers_for_items

LOWERED_AFTER_S = 60.0
"""A count goes down only after it was lower for so long: several steps of a trainer, and many times
what a sampler takes to boot. Origin of the figure not recorded."""


class SteadyCount:
    """Follows a count up at once, and down after it stayed lower for a while.

    Parameters
    ==========

    first : what is held before anything is known.
    clock : monotonic seconds.
    """

    def __init__(self, first: int = 0, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._held = first
        self._highest_below = 0
        self._below_since: float | None = None

    def follow(self, count: int | None) -> int:
        """The count to hold, given the one of this moment; None says nothing."""
        if count is None:
            return self._held
        if count >= self._held:
            self._held = count
            self._below_since = None
            return count
        now = self._clock()
        if self._below_since is None:
            self._below_since, self._highest_below = now, count
        self._highest_below = max(self._highest_below, count)
        if now - self._below_since >= LOWERED_AFTER_S:
            self._held = self._highest_below
            self._below_since = None
        return self._held


def need_of(open_items: Iterable[int | None], slots: int) -> int | None:
    """Samplers for the open items of some models; None if nothing is known of any."""
    known = [items for items in open_items if items is not None]
    return samplers_for_items(sum(known), slots) if known else None
