"""Limits the rate at which this process sends requests to a cold back end.

A back end that has just started is cold for some seconds. While it is cold it can handle only a few
requests per second, regardless of its free slots, and it terminates if it receives far more.

Inputs: the remaining cold time of the back end, in seconds, from its entry in discovery and as old
as that entry; the number of requests per second that a cold back end can handle, from the
operator's configuration; the processes that may have work for the back end, as known to this
process (the owners of open jobs if the service runs jobs, otherwise all processes).
Rule: For each cold back end, a few of these processes, the first by rendezvous hashing, may send.
Each of them gets an equal part of the capacity, counted over any window of `WINDOW_S`. All other
processes send nothing to the back end until it is warm. If the configuration gives no capacity,
`DEFAULT_COLD_PER_S` is assumed; a capacity of 0 means no limit.
Purpose: Protects a cold back end from the combined requests of all processes. Without the limit, 23
items reached a sampler within a second of its start, although it could handle 12 per second.
Logged as: `back_end_cold`.
Tested by: tests/serving/test_cold_starts.py, tests/platform/test_cold_samplers.py.

Limitation: a back end that becomes cold while it runs is limited only once its entry in discovery
says so.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Collection
from functools import lru_cache

import xxhash

DEFAULT_COLD_PER_S = 10.0
"""Assumed capacity of a cold back end, in requests per second, if none is configured. It is below
12, the only value observed so far."""
MAX_SENDERS = 4
"""Maximum number of processes that send to one cold back end. Processes may temporarily know
different sets of processes, so that a fifth and a sixth also consider themselves senders; with a
maximum of four the total then stays within 1.5 times the capacity."""
WINDOW_S = 1.0
"""Length, in seconds, of the sliding window over which requests are counted. Capacities are given
per second and hold for any second."""


RANK_CACHE_SIZE = 10_000
"""Number of cached ranks: enough for all processes and several dozen back ends that are cold at the
same time."""


def process_limit_per_s(
    capacity_per_s: float, back_end: str, process: str, processes: Collection[str]
) -> int:
    """Return how many requests a process may send to a cold back end within any second.

    Parameters
    ==========

    capacity_per_s : requests per second that the back end can handle while it is cold.
    processes : processes that may have work for the back end.

    Examples
    ========

    >>> process_limit_per_s(12.0, "b-1", "only", ["only"])
    12
    >>> [process_limit_per_s(12.0, "b-1", one, "abcde") for one in "abcde"]
    [3, 3, 3, 0, 3]
    """
    candidates = set(processes) or {process}
    count = max(1, min(MAX_SENDERS, len(candidates), int(capacity_per_s)))
    senders = heapq.nsmallest(count, candidates, key=lambda name: _rank(back_end, name))
    return max(1, int(capacity_per_s / count)) if process in senders else 0


@lru_cache(maxsize=RANK_CACHE_SIZE)
def _rank(back_end: str, process: str) -> int:
    return xxhash.xxh64_intdigest(f"{back_end}/{process}".encode())


class ColdStartLimits:
    """Computes this process's part of the capacity of cold back ends.

    Parameters
    ==========

    process : name of this process.
    senders : returns the names of the processes that may have work for a service.
    capacity_of : returns the requests per second that a cold back end of a service can handle; None
        if not configured.
    """

    def __init__(
        self,
        process: str,
        senders: Callable[[str], Collection[str]],
        capacity_of: Callable[[str], float | None],
    ) -> None:
        self._process = process
        self._senders = senders
        self._capacity_of = capacity_of

    def limit_per_s(self, back_end: str, service: str) -> int | None:
        """Return how many requests may be sent to a back end within any second while it is cold.

        None means that there is no limit.
        """
        capacity_per_s = self._capacity_of(service)
        if capacity_per_s is None:
            capacity_per_s = DEFAULT_COLD_PER_S
        if capacity_per_s <= 0.0:
            return None
        return process_limit_per_s(capacity_per_s, back_end, self._process, self._senders(service))


class ColdStart:
    """Cold period of one back end, and the requests that this process recently sent to it.

    All times are monotonic, in seconds.
    """

    __slots__ = ("_sent_at", "_until")

    def __init__(self) -> None:
        self._until = float("-inf")
        self._sent_at: deque[float] = deque()

    def set_remaining(self, remaining_s: float, now: float) -> None:
        """Set the remaining cold time, as reported by the back end's entry in discovery.

        The time is counted from `now` although the entry is somewhat older.
        """
        self._until = now + remaining_s if remaining_s > 0.0 else float("-inf")

    def is_cold(self, now: float) -> bool:
        """Whether the back end is still cold."""
        return now < self._until

    def has_room(self, limit_per_s: int | None, now: float) -> bool:
        """Whether one more request may be sent in the window that ends at `now`."""
        if limit_per_s is None:
            return True
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S:
            self._sent_at.popleft()
        return len(self._sent_at) < limit_per_s

    def sent(self, now: float) -> None:
        """Record that a request is sent to the back end."""
        if self.is_cold(now):
            self._sent_at.append(now)
