"""How many requests may this process send to a back end that is still cold?

A back end that just started is cold for some seconds: it bears few requests a second, whatever its
free slots, and ends at well above that.

Inputs: how long it is still cold (seconds, from its entry in discovery, as old as that); how many
requests a second one bears (from the operator's configuration); the processes that may have work
for it, as this one knows them: those that own open jobs where a service runs jobs, else all.
Rule: for each cold back end a few of those, the first by rendezvous rank, may send; each has an
equal part of what the back end bears, counted over any second. All others send nothing there until
it is warm. Where the configuration names no figure, `DEFAULT_COLD_PER_S` is assumed; a service
whose figure is 0 is not limited.
Protects: a cold back end from the sum of what all processes send. Before, 23 items reached one
within a second of its start, where 12 a second are borne.
Shown by: `back_end_cold`. Held by: tests/serving/test_cold_starts.py,
tests/platform/test_cold_samplers.py.

Not known here: a back end that becomes cold while it runs is limited only once its entry says so.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Collection
from functools import lru_cache

import xxhash

DEFAULT_COLD_PER_S = 10.0
"""Requests a second that a cold back end is taken to bear where nobody tells. An assumption: below
the only figure seen so far, 12."""
MOST_SENDERS = 4
"""So many processes send to one cold back end. With four, a fifth or sixth one that takes itself
for a sender, since it knows other processes, still keeps the sum at 1.5 times what is borne."""
WINDOW_S = 1.0
"""What a back end bears is told by the second; any second counts."""


RANKS_KEPT = 10_000
"""Ranks remembered: all processes for some dozens of back ends that are cold at the same time."""


def share_per_s(per_s: float, back_end: str, process: str, processes: Collection[str]) -> int:
    """Requests that a process may send to a cold back end within any second.

    Examples
    ========

    >>> share_per_s(12.0, "b-1", "only", ["only"])
    12
    >>> [share_per_s(12.0, "b-1", one, "abcde") for one in "abcde"]
    [3, 3, 0, 3, 3]
    """
    candidates = set(processes) or {process}
    count = max(1, min(MOST_SENDERS, len(candidates), int(per_s)))
    senders = heapq.nsmallest(count, candidates, key=lambda one: _rank(back_end, one))
    return max(1, int(per_s / count)) if process in senders else 0


@lru_cache(maxsize=RANKS_KEPT)
def _rank(back_end: str, process: str) -> int:
    return xxhash.xxh64_intdigest(f"{back_end}/{process}".encode())


class ColdShares:
    """This process's part of what cold back ends bear.

    Parameters
    ==========

    senders : names of the processes that may have work for a service.
    per_s_of : requests a second that a cold back end of a service bears; None if nobody tells.
    """

    def __init__(
        self,
        process: str,
        senders: Callable[[str], Collection[str]],
        per_s_of: Callable[[str], float | None],
    ) -> None:
        self._process = process
        self._senders = senders
        self._per_s_of = per_s_of

    def most_per_s(self, back_end: str, service: str) -> int | None:
        """Requests that this process may send there within any second; None if any number."""
        per_s = self._per_s_of(service)
        if per_s is None:
            per_s = DEFAULT_COLD_PER_S
        if per_s <= 0.0:
            return None
        return share_per_s(per_s, back_end, self._process, self._senders(service))


class ColdStart:
    """Until when one back end is cold, and what this process sent there lately.

    All times are monotonic seconds.
    """

    __slots__ = ("_sent_at", "_until")

    def __init__(self) -> None:
        self._until = float("-inf")
        self._sent_at: deque[float] = deque()

    def told(self, left_s: float, now: float) -> None:
        """Its entry says for how long it is still cold, from some moment before `now`."""
        self._until = now + left_s if left_s > 0.0 else float("-inf")

    def is_cold(self, now: float) -> bool:
        """Whether it bears few requests only."""
        return now < self._until

    def has_room(self, most_per_s: int | None, now: float) -> bool:
        """Whether one more request may be sent within the second that ends now."""
        if most_per_s is None:
            return True
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S:
            self._sent_at.popleft()
        return len(self._sent_at) < most_per_s

    def sent(self, now: float) -> None:
        """A request is sent there."""
        if self.is_cold(now):
            self._sent_at.append(now)
