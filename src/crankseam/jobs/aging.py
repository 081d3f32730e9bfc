"""Decides when an item that is less urgent goes before a more urgent one.

Inputs: the places that this process granted to items with a level at a service since the last one
that aging granted; the level of each waiting item, which is its job's priority, and the order of
arrival.
Rule: of AGED_PLACE_INTERVAL such places at a contended service, one goes to the less urgent level
whose item has waited longest, and there to the item of the first rank. Items that no trainer waits
for have no level and do not age.
Purpose: no starvation. A job that is less urgent makes progress while more urgent ones keep coming,
and they lose at most one place in AGED_PLACE_INTERVAL.
Logged as: `item_sent`.
Tested by: tests/jobs/test_aging.py.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

AGED_PLACE_INTERVAL = 16
"""One in this many places is granted by age. Urgent jobs lose at most that share of the places; a
less urgent step of a few dozen items still ends while urgent steps keep coming."""


class WaitingLevel(NamedTuple):
    """One waiting request, as aging sees it.

    Attributes
    ==========

    number : position in the order of arrival.
    level : priority of its job; None if it does not age.
    """

    rank: tuple[float, ...]
    number: int
    level: int | None


def aged_request(first: int | None, waiting: Iterable[WaitingLevel]) -> WaitingLevel | None:
    """The request to which aging grants a place; None if there is none that is less urgent.

    Parameters
    ==========

    first : level of the request that would be next by rank.

    Examples
    ========

    >>> old = WaitingLevel((0.0, 7.0), 1, 7)
    >>> new = WaitingLevel((0.0, 1.0), 2, 1)
    >>> aged_request(1, [new, old]) is old, aged_request(7, [new, old])
    (True, None)
    """
    if first is None:
        return None
    less_urgent = [one for one in waiting if one.level is not None and one.level > first]
    if not less_urgent:
        return None
    longest = min(less_urgent, key=lambda one: one.number)
    return min(one for one in less_urgent if one.level == longest.level)


class AgingQuota:
    """Counts the places granted at each service, until the next one goes by age."""

    def __init__(self) -> None:
        self._granted: Counter[str] = Counter()

    def is_due(self, service: str) -> bool:
        """Whether the next place at a service goes by age."""
        return self._granted[service] >= AGED_PLACE_INTERVAL - 1

    def granted(self, service: str, by_age: bool) -> None:
        """Record that a place was granted at a contended service."""
        self._granted[service] = 0 if by_age else self._granted[service] + 1
