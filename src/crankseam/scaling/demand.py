"""Computes how many samplers the work of a service needs, without oscillating.

Inputs: for each model, the highest number of items that were open at the same time during the last
30 s; the highest number of slots among the service's samplers.
Rule: each open item gets a slot. The count increases at once. It decreases only after all values of
a stabilization window were lower, and then to the highest of them.
Purpose: a step ends with its longest items, and these end in time only if they start at once. A
sampler that is removed between two steps has to boot again for the next one.
Logged as: `samplers_ordered`.
Tested by: tests/scaling/test_demand.py, tests/scaling/test_plan.py.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from crankseam.scaling.plan import samplers_for_items

STABILIZATION_WINDOW_S = 60.0
"""A count decreases only after it has been lower for this long. The window spans several steps of a
trainer, and many times the boot time of a sampler."""


class StabilizedCount:
    """Count that increases at once, and decreases only after a stabilization window.

    Parameters
    ==========

    initial : the count before the first value is known.
    clock : returns monotonic seconds.
    """

    def __init__(self, initial: int = 0, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._current = initial
        self._peak_below = 0
        self._below_since: float | None = None

    def update(self, count: int | None) -> int:
        """Take the latest value, or None if it is unknown, and return the stabilized count."""
        if count is None:
            return self._current
        if count >= self._current:
            self._current = count
            self._below_since = None
            return count
        now = self._clock()
        if self._below_since is None:
            self._below_since, self._peak_below = now, count
        self._peak_below = max(self._peak_below, count)
        if now - self._below_since >= STABILIZATION_WINDOW_S:
            self._current = self._peak_below
            self._below_since = None
        return self._current


def required_samplers(open_items: Iterable[int | None], slots: int) -> int | None:
    """Return how many samplers the open items of the given models need.

    Models with an unknown number of items do not count; the result is None if all are unknown.
    """
    known_items = [items for items in open_items if items is not None]
    return samplers_for_items(sum(known_items), slots) if known_items else None
