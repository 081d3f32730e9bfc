"""Smoothed latency of the requests of each route, and the lowest value that it had lately.

Inputs: the seconds from the grant of a place to the answer, or to the head of a streamed answer, of
each request that succeeded without a rejection; monotonic seconds.
Rule: The latency of a route is an exponential moving average. Its recent minimum is the lowest
average of the last one to two periods of `MINIMUM_PERIOD_S`. Averages of fewer than `MIN_SAMPLES`
requests are not compared. An average is compared with averages and not with single requests, since
the requests of one route differ in length.
Purpose: Supplies the typical duration for estimates, and shows when requests wait at back ends.
Logged as: `run_s` of `request_rejected_early`.
Tested by: tests/overload/test_latency.py.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

SMOOTHING = 0.1
"""Weight of a new sample in the moving average."""
MIN_SAMPLES = 10
"""Number of samples of a route before its average is compared with its minimum."""
MINIMUM_PERIOD_S = 30.0
"""Seconds after which a minimum is replaced, so that a lasting change becomes the new normal."""
MAX_ROUTES = 256
"""Number of routes whose latency is kept; the one that was used least recently is forgotten."""


@dataclass(slots=True)
class RouteLatency:
    """Latency of one route, in seconds."""

    smoothed_s: float
    samples: int = 0
    _period_began_at: float = float("-inf")
    _period_minimum_s: float = float("inf")
    _last_minimum_s: float = float("inf")

    def add(self, latency_s: float, now: float) -> None:
        """Add the latency of one request."""
        self.smoothed_s += SMOOTHING * (latency_s - self.smoothed_s)
        self.samples += 1
        if self.samples < MIN_SAMPLES:
            return
        if now - self._period_began_at >= MINIMUM_PERIOD_S:
            self._period_began_at = now
            self._last_minimum_s = self._period_minimum_s
            self._period_minimum_s = self.smoothed_s
        self._period_minimum_s = min(self._period_minimum_s, self.smoothed_s)

    def rise(self) -> float:
        """Return the ratio of the latency to its recent minimum; 1 while there are few samples."""
        minimum_s = min(self._period_minimum_s, self._last_minimum_s)
        if self.samples < MIN_SAMPLES or minimum_s <= 0.0:
            return 1.0
        return self.smoothed_s / minimum_s


@dataclass(slots=True)
class Latencies:
    """Latencies of the routes that lead to one service, by route name."""

    _by_route: OrderedDict[str, RouteLatency] = field(default_factory=OrderedDict)

    def add(self, route: str, latency_s: float, now: float) -> RouteLatency:
        """Add the latency of one request, and return the latency of its route."""
        latency = self._by_route.get(route)
        if latency is None:
            latency = self._by_route[route] = RouteLatency(latency_s)
        self._by_route.move_to_end(route)
        if len(self._by_route) > MAX_ROUTES:
            self._by_route.popitem(last=False)
        latency.add(latency_s, now)
        return latency

    def typical_s(self, route: str, assumed_s: float) -> float:
        """Return the typical seconds to the answer; `assumed_s` if none was answered yet."""
        latency = self._by_route.get(route)
        return latency.smoothed_s if latency is not None else assumed_s
