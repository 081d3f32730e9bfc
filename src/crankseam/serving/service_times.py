"""How much slower than its service's others each back end is, learnt from complete answers.

Inputs: the durations of this process's complete answers, forwarded requests and scoring requests,
each at most OBSERVATION_MAX_AGE_S old; the slowdown that the back end reported meanwhile.
Rule: a duration is divided by the back end's average slowdown, so that the two do not count twice,
and by the typical duration of its kind of request (service and route), the median of the last ones.
The ratio of a back end is the median of its last few observations and of PRIOR_OBSERVATIONS that
say "usual", divided by the median ratio of the service's observed back ends: if all are equally
slow, none is slower. An attempt that was cancelled or timed out counts as at least as long as it
ran, and only if that is longer than usual. Errors and rejections do not count. A back end without
fresh observations counts as usual and is tried again.
Purpose: requests go to a slow back end less often for some seconds, in place of each caller finding
it out alone. A single long request moves no ratio.
Logged as: `back_end_slow`, `back_end_normal`.
Tested by: tests/serving/test_service_times.py.

Limitation: a duration includes the wait in the back end's own queue, so that one with a long queue
is also learnt as slow until its queue is gone.
"""

from __future__ import annotations

import logging
import statistics
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd

log = logging.getLogger(__name__)

OBSERVATION_MAX_AGE_S = 6.0
"""Seconds after which an observation is forgotten, so that a back end that was slow is tried
again."""
MAX_OBSERVATIONS = 8
"""Number of observations of a back end that are kept: the latest ones."""
PRIOR_OBSERVATIONS = 2
"""Number of observations of the usual time that each back end is given. With two, one long request
changes nothing, two of them half as much as they say, and three count in full."""
MAX_TYPICAL_DURATIONS = 32
"""Number of durations of a kind of request of which the typical one is the median."""
MIN_TYPICAL_DURATIONS = 4
"""Number of durations of a kind of request before its typical one is known."""
MIN_DURATION_S = 0.001
"""Lower limit of a duration, in seconds: below it, differences are noise of the event loop."""
MIN_RATIO = 0.25
"""Lower limit of a ratio. A back end that answers at once may be one that does not do the work."""
MAX_RATIO = 8.0
"""Upper limit of a ratio: above it, a back end is the last choice anyhow."""
MAX_KINDS = 256
"""Number of kinds of requests whose typical duration is known; the oldest are forgotten."""
MAX_BACK_ENDS = 1024
"""Number of back ends with observations; the oldest are forgotten."""
RATIOS_MAX_AGE_S = 0.1
"""Seconds for which the ratios of a service are reused, since each decision needs them."""
SLOW_RATIO = 1.8
"""Ratio from which a back end is logged as slow."""
NORMAL_RATIO = 1.3
"""Ratio up to which a back end that was logged as slow is logged as normal again. The distance
between the two keeps a ratio that varies from being logged at each change."""
LOG_INTERVAL_S = 5.0
"""Minimum seconds between two lines about one back end."""


class RequestKindKey(NamedTuple):
    """Requests whose durations are comparable: those of one route at one service."""

    service: str
    route: str


class _Observation(NamedTuple):
    """Duration of one attempt, as a multiple of the typical one, and its monotonic time."""

    ratio: float
    at: float


@dataclass(slots=True)
class _BackEndTimes:
    """Observations of one back end, and what was logged about it."""

    service: str
    observations: deque[_Observation] = field(
        default_factory=lambda: deque(maxlen=MAX_OBSERVATIONS)
    )
    is_logged_slow: bool = False
    logged_at: float = float("-inf")

    def fresh(self, now: float) -> list[float]:
        """Return the ratios of the observations that are not forgotten."""
        oldest = now - OBSERVATION_MAX_AGE_S
        while self.observations and self.observations[0].at < oldest:
            self.observations.popleft()
        return [observation.ratio for observation in self.observations]

    def age_s(self, now: float) -> float:
        """Return the age of the latest observation; `OBSERVATION_MAX_AGE_S` if it is forgotten."""
        return now - self.observations[-1].at if self.observations else OBSERVATION_MAX_AGE_S


def ratio_with_prior(observed: list[float]) -> float:
    """Return the ratio of a back end by itself; see the module's rule.

    Examples
    ========

    >>> ratio_with_prior([]), ratio_with_prior([5.0])
    (1.0, 1.0)
    >>> ratio_with_prior([3.0, 3.0]), ratio_with_prior([3.0, 3.0, 3.0])
    (2.0, 3.0)
    """
    return statistics.median([1.0] * PRIOR_OBSERVATIONS + observed)


def relative_ratios(observed: dict[str, list[float]]) -> dict[str, float]:
    """Return the ratio of each observed back end of a service, compared with their median.

    Parameters
    ==========

    observed : by back end, its observations; those without any are left out.

    Examples
    ========

    >>> relative_ratios({"a": [2.0] * 3, "b": [2.0] * 3, "c": [6.0] * 3})
    {'a': 1.0, 'b': 1.0, 'c': 3.0}
    """
    alone = {key: ratio_with_prior(ratios) for key, ratios in observed.items() if ratios}
    if not alone:
        return {}
    median = statistics.median(alone.values())
    return {key: bounded_ratio(one / median) for key, one in alone.items()}


def bounded_ratio(ratio: float) -> float:
    """Return a ratio, limited to the range that decisions use."""
    return min(MAX_RATIO, max(MIN_RATIO, ratio))


class _CachedRatios(NamedTuple):
    """Ratios of a service, and the monotonic time at which they were computed."""

    ratios: dict[str, float]
    at: float


class ServiceTimes:
    """Service times of back ends, as observed by this process.

    Parameters
    ==========

    clock : returns monotonic seconds; set by tests.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._durations_s: OrderedDict[RequestKindKey, deque[float]] = OrderedDict()
        self._back_ends: OrderedDict[str, _BackEndTimes] = OrderedDict()
        self._cached: dict[str, _CachedRatios] = {}
        self._logged_slow: set[str] = set()

    def record_answer(self, back_end: BackEnd, route: str, duration_s: float) -> None:
        """Record the duration of an attempt that was answered completely and without error."""
        kind = RequestKindKey(back_end.record.service, route)
        usual_s = self._at_usual_speed(back_end, duration_s)
        typical_s = self._typical_s(kind)
        self._durations_of(kind).append(usual_s)
        if typical_s is not None:
            self._observe(back_end, usual_s / typical_s)

    def record_unfinished(self, back_end: BackEnd, route: str, elapsed_s: float) -> None:
        """Record an attempt that was cancelled or timed out; see the module's rule."""
        kind = RequestKindKey(back_end.record.service, route)
        usual_s = self._at_usual_speed(back_end, elapsed_s)
        typical_s = self._typical_s(kind)
        if typical_s is not None and usual_s > typical_s:
            self._observe(back_end, usual_s / typical_s)

    @staticmethod
    def _at_usual_speed(back_end: BackEnd, duration_s: float) -> float:
        return max(MIN_DURATION_S, duration_s) / (back_end.average_slowdown or 1.0)

    def _durations_of(self, kind: RequestKindKey) -> deque[float]:
        durations_s = self._durations_s.get(kind)
        if durations_s is None:
            durations_s = self._durations_s[kind] = deque(maxlen=MAX_TYPICAL_DURATIONS)
            if len(self._durations_s) > MAX_KINDS:
                self._durations_s.popitem(last=False)
        self._durations_s.move_to_end(kind)
        return durations_s

    def _typical_s(self, kind: RequestKindKey) -> float | None:
        durations_s = self._durations_s.get(kind)
        if durations_s is None or len(durations_s) < MIN_TYPICAL_DURATIONS:
            return None
        return statistics.median(durations_s)

    def _observe(self, back_end: BackEnd, ratio: float) -> None:
        now = self._clock()
        self._times_of(back_end).observations.append(_Observation(ratio, now))
        self._log_changes(now, back_end.record.id)

    def _times_of(self, back_end: BackEnd) -> _BackEndTimes:
        key, service = back_end.record.id, back_end.record.service
        times = self._back_ends.get(key)
        if times is None or times.service != service:
            times = self._back_ends[key] = _BackEndTimes(service)
            self._logged_slow.discard(key)
        self._back_ends.move_to_end(key)
        if len(self._back_ends) > MAX_BACK_ENDS:
            forgotten, _ = self._back_ends.popitem(last=False)
            self._logged_slow.discard(forgotten)
        return times

    # --- ratios

    def ratios(self, service: str, now: float) -> dict[str, float]:
        """Return the ratio of each back end of a service that has fresh observations."""
        cached = self._cached.get(service)
        if cached is None or now - cached.at > RATIOS_MAX_AGE_S:
            cached = self._cached[service] = _CachedRatios(self._compute(service, now), now)
        return cached.ratios

    def _compute(self, service: str, now: float) -> dict[str, float]:
        return relative_ratios(
            {
                key: times.fresh(now)
                for key, times in self._back_ends.items()
                if times.service == service
            }
        )

    # --- log

    def _log_changes(self, now: float, observed: str) -> None:
        """Log changes of the back end just observed, and of those that were slow before."""
        for key in {observed, *self._logged_slow}:
            times = self._back_ends[key]
            ratio = self.ratios(times.service, now).get(key, 1.0)
            limit = NORMAL_RATIO if times.is_logged_slow else SLOW_RATIO
            is_slow = ratio > limit
            if is_slow == times.is_logged_slow or now - times.logged_at < LOG_INTERVAL_S:
                continue
            self._log_change(key, times, ratio, is_slow, now)

    def _log_change(
        self, key: str, times: _BackEndTimes, ratio: float, is_slow: bool, now: float
    ) -> None:
        times.is_logged_slow, times.logged_at = is_slow, now
        if is_slow:
            self._logged_slow.add(key)
        else:
            self._logged_slow.discard(key)
        log.info(
            "back_end_slow" if is_slow else "back_end_normal",
            extra={
                "back_end": key,
                "service": times.service,
                "ratio": round(ratio, 2),
                "observations": len(times.observations),
                "age_s": round(times.age_s(now), 3),
            },
        )
