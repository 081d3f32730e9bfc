"""Measures how many of this process's forwarded requests run at each service on average.

Inputs: begin and end of each attempt of this process at a contended service, exact.
Rule: the number of running attempts is averaged over time with the window WINDOW_S; one attempt of
average duration, spread over the window, is added for those that happened not to come.
Purpose: a process that forwards few requests can tell how many slots callers need;
`jobs.scoring_reserve` reserves them.
Logged as: nothing; the requests themselves are (`request_answered`).
Tested by: tests/serving/test_caller_work.py.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

WINDOW_S = 8.0
"""Smoothing window, in seconds: long enough for a process with a request every few seconds, and
short enough that the reserve is there soon after callers come."""
DURATION_WEIGHT = 0.2
"""Weight of one more attempt in the average duration of a service's attempts."""


@dataclass(slots=True)
class _ServiceWork:
    """Attempts at one service."""

    updated_at: float
    running: int = 0
    average_running: float = 0.0
    average_duration_s: float = 0.0

    def advance(self, now: float) -> None:
        """Average over the time since the last update, in which `running` did not change."""
        elapsed_s = max(0.0, now - self.updated_at)
        weight = 1.0 - math.exp(-elapsed_s / WINDOW_S)
        self.average_running += weight * (self.running - self.average_running)
        self.updated_at = now


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

    def begin(self, service: str) -> float:
        """Record that an attempt begins; returns the time to be given to `end`."""
        now = self._clock()
        work = self._services.get(service)
        if work is None:
            work = self._services[service] = _ServiceWork(now)
        work.advance(now)
        work.running += 1
        return now

    def end(self, service: str, began_at: float) -> None:
        """Record that an attempt ends."""
        now = self._clock()
        work = self._services[service]
        work.advance(now)
        work.running -= 1
        duration_s = now - began_at
        if not work.average_duration_s:
            work.average_duration_s = duration_s
        work.average_duration_s += DURATION_WEIGHT * (duration_s - work.average_duration_s)

    def is_known(self) -> bool:
        """Whether this process has run long enough for its averages to mean something."""
        return self._clock() - self._started_at >= WINDOW_S

    def average_running(self, service: str) -> float:
        """Return how many attempts run at a service on average; see the module's rule."""
        work = self._services.get(service)
        if work is None:
            return 0.0
        work.advance(self._clock())
        return work.average_running + work.average_duration_s / WINDOW_S
