"""Measures how many of this process's forwarded requests run at each service on average.

Inputs: the duration of each attempt of this process at a contended service, exact, at its end.
Rule: the seconds of the attempts are summed with weights that fade over WINDOW_S, and divided by
it. An attempt counts with MAX_DURATION_FACTOR typical durations at most, the typical one being the
median of the last attempts. One more attempt of typical duration is added, since a process with few
requests may have had fewer than usual in the window by chance.
Purpose: a process that forwards few requests can tell how many slots callers need;
`jobs.scoring_reserve` reserves them. It multiplies the figure by the number of processes. Without
the limit on durations, one request that hangs would count as one at each process.
Logged as: nothing; the requests themselves are (`request_answered`).
Tested by: tests/serving/test_caller_work.py.
"""

from __future__ import annotations

import math
import statistics
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

WINDOW_S = 8.0
"""Time constant, in seconds, at which attempts fade: long enough for a process with a request every
few seconds, and short enough that the reserve is there soon after callers come."""
GONE_AFTER_S = 120.0
"""Seconds without an attempt after which a service counts as having no callers: several times the
usual pause between two attempts of a process that forwards few."""
MAX_DURATIONS = 16
"""Number of durations of a service of which the typical one is the median: the latest ones."""
MIN_DURATIONS = 3
"""Number of durations of a service before one of them can be told to be unusual."""
MAX_DURATION_FACTOR = 4.0
"""Typical durations as which an attempt counts at most. If all of them take longer, the typical
duration follows within a few attempts."""


@dataclass(slots=True)
class _ServiceWork:
    """Attempts at one service."""

    updated_at: float
    recorded_at: float = float("-inf")
    weighted_s: float = 0.0
    durations_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_DURATIONS))

    def fade(self, now: float) -> None:
        """Reduce the weight of the attempts so far by the time since the last update."""
        self.weighted_s *= math.exp(-max(0.0, now - self.updated_at) / WINDOW_S)
        self.updated_at = now

    def add(self, duration_s: float) -> None:
        """Add an attempt that has just ended."""
        self.durations_s.append(duration_s)
        if len(self.durations_s) >= MIN_DURATIONS:
            duration_s = min(duration_s, MAX_DURATION_FACTOR * self.typical_s())
        self.weighted_s += duration_s

    def typical_s(self) -> float:
        """Return the typical duration of an attempt."""
        return statistics.median(self.durations_s)


class CallerWork:
    """Attempts of this process's callers, by service. The services are those of the configuration.

    Parameters
    ==========

    clock : returns monotonic seconds; set by tests.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._started_at = clock()
        self._services: dict[str, _ServiceWork] = {}

    def record(self, service: str, duration_s: float) -> None:
        """Record an attempt that ended, with or without an answer."""
        now = self._clock()
        work = self._services.get(service)
        if work is None:
            work = self._services[service] = _ServiceWork(now)
        work.fade(now)
        work.add(duration_s)
        work.recorded_at = now

    def is_known(self) -> bool:
        """Whether this process has run long enough for its averages to mean something."""
        return self._clock() - self._started_at >= WINDOW_S

    def average_running(self, service: str) -> float:
        """Return how many attempts run at a service on average; see the module's rule."""
        work = self._services.get(service)
        now = self._clock()
        if work is None or now - work.recorded_at > GONE_AFTER_S:
            return 0.0
        work.fade(now)
        return (work.weighted_s + work.typical_s()) / WINDOW_S
