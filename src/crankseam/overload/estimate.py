"""Estimates whether a waiting request can still be answered in time.

Inputs: the request's place in the line; the requests of this process that ended within the last
`DRAIN_WINDOW_S` seconds; the limit of concurrent requests; the typical duration of the service's
and of the route's requests. All belong to this process; the newest is as old as the last request
that ended, which `DrainRate.age_s` tells.
Rule: The line drains at the rate at which requests ended in the window, if the limit was in use all
that time and at least `MIN_ENDED` ended. Otherwise it drains at the limit divided by the typical
duration, or by the time since the last request ended if that is longer. A request can be answered
if its wait and the typical duration of its route fit into the time that it has left.
Purpose: Tells callers at once, not at their deadline, that they have to come back later.
Logged as: `request_rejected_early`.
Tested by: tests/overload/test_estimate.py.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

DRAIN_WINDOW_S = 3.0
"""Seconds over which ended requests are counted."""
MIN_ENDED = 5
"""Fewest ended requests that give a rate."""
MAX_RECORDED_ENDS = 4096
"""Number of ended requests that are kept. At a higher rate the window becomes shorter."""
DURATION_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of the durations."""
MIN_DURATION_S = 0.001
"""Shortest typical duration; avoids a division by zero."""


class AnswerEstimate(NamedTuple):
    """When a request would be answered.

    Attributes
    ==========

    wait_s : seconds until it would get its turn.
    run_s : seconds from then until its answer.
    """

    wait_s: float
    run_s: float

    def fits(self, left_s: float) -> bool:
        """Whether the answer comes within the time that the request has left."""
        return self.wait_s + self.run_s <= left_s


@dataclass(slots=True)
class DrainRate:
    """Rate at which the requests of this process at one service end.

    Times are monotonic seconds.

    Attributes
    ==========

    typical_s : smoothed seconds for which a request occupies its place; 0 if none ended yet.
    """

    typical_s: float = 0.0
    _ended_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_RECORDED_ENDS))
    _busy_since: float = float("inf")

    def record_end(self, duration_s: float, now: float) -> None:
        """Record that a request ended after it had occupied its place for some seconds."""
        if self.typical_s:
            self.typical_s += DURATION_SMOOTHING * (duration_s - self.typical_s)
        else:
            self.typical_s = duration_s
        self.typical_s = max(MIN_DURATION_S, self.typical_s)
        self._ended_at.append(now)

    def set_busy(self, is_busy: bool, now: float) -> None:
        """Record whether the limit is in use."""
        if not is_busy:
            self._busy_since = float("inf")
        elif self._busy_since > now:
            self._busy_since = now

    def age_s(self, now: float) -> float:
        """Return the seconds since a request ended; infinite if none did."""
        return now - self._ended_at[-1] if self._ended_at else float("inf")

    def per_s(self, limit: int, assumed_s: float, now: float) -> float:
        """Return the requests that end per second while the limit is in use.

        Parameters
        ==========

        limit : requests that may run at the same time.
        assumed_s : duration that is assumed while no request has ended.
        """
        measured = self._measured_per_s(now)
        if measured is not None:
            return measured
        return limit / self._duration_s(assumed_s, now)

    def _duration_s(self, assumed_s: float, now: float) -> float:
        """Return the assumed duration; at least the seconds for which no running request ended."""
        without_end_s = now - max(self._busy_since, self._ended_at[-1] if self._ended_at else 0.0)
        return max(self.typical_s or assumed_s, without_end_s, MIN_DURATION_S)

    def _measured_per_s(self, now: float) -> float | None:
        since = now - DRAIN_WINDOW_S
        if self._busy_since > since:
            return None
        while self._ended_at and self._ended_at[0] < since:
            self._ended_at.popleft()
        if len(self._ended_at) < MIN_ENDED:
            return None
        if len(self._ended_at) == MAX_RECORDED_ENDS:
            since = self._ended_at[0]
        return len(self._ended_at) / max(MIN_DURATION_S, now - since)


def estimate_answer(place: int, drain_per_s: float, run_s: float) -> AnswerEstimate:
    """Return when the request at a place of the line would be answered.

    Parameters
    ==========

    place : number of requests that get their turn earlier.

    Examples
    ========

    >>> estimate_answer(3, drain_per_s=2.0, run_s=0.5)
    AnswerEstimate(wait_s=2.0, run_s=0.5)
    """
    return AnswerEstimate((place + 1) / drain_per_s, run_s)
