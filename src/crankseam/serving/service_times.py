"""How much slower than its service's others each back end is, learnt from complete answers.

Inputs: the durations of this process's complete answers, forwarded requests and scoring requests,
each at most OBSERVATION_MAX_AGE_S old; the slowdown that the back end reported meanwhile.
Rule: a duration is divided by the back end's average slowdown, so that the two do not count twice,
and, when it is used, by the typical duration of its kind of request (service and route): the median
of the last few of each back end, so that one that answers most requests does not set it alone. The
ratio of a back end is the median of its last few observations and of PRIOR_OBSERVATIONS of
the usual time, divided by the median ratio of the service's observed back ends: if all are equally
slow, none is slower. An attempt that was cancelled or timed out counts as at least as long as it
ran, and only if that is longer than usual. Errors and rejections do not count. A back end without
fresh observations counts as usual and is tried again.
Purpose: after a few slow answers, further requests go to that back end less often for some seconds.
A single long request moves no ratio.
Logged as: `back_end_slow`, `back_end_normal`.
Tested by: tests/serving/test_service_times.py.

Limitation: a duration includes the wait in the back end's own queue, so that one with a long queue
is also learnt as slow until its queue is gone.
"""

from __future__ import annotations

import itertools
import logging
import statistics
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Mapping
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
"""Number of observations of the usual time that each back end is given. Of equal long
requests, one then leaves the median as it is, two move it half-way, and three determine it."""
MAX_DURATIONS_OF_BACK_END = 4
"""Number of durations of a kind of request that count of one back end: the latest ones."""
MAX_BACK_ENDS_OF_KIND = 16
"""Number of back ends whose durations of a kind count: those that answered last. They are enough
for a median, and each use sorts all of their durations."""
MIN_TYPICAL_DURATIONS = 4
"""Number of durations of a kind of request before its typical one is known."""
MIN_DURATION_S = 0.001
"""Lower limit of a duration, in seconds: below it, differences are noise of the event loop."""
MAX_RATIO = 8.0
"""Upper limit of a ratio: above it, a back end is the last choice anyhow."""
MIN_BELIEVED_SLOWDOWN = 0.5
"""Lower limit of a slowdown in a decision. 1 is the usual speed, and a back end that claims to be
far faster is not given all requests for it."""
MAX_BELIEVED_SLOWDOWN = 8.0
"""Upper limit of a slowdown in a decision."""
MIN_RATIO = 1.0 / MAX_BELIEVED_SLOWDOWN
"""Lower limit of a ratio: a back end that reports the highest slowdown and is as fast as the others
has this one."""
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
    """Duration of one attempt at the usual speed of its back end.

    Attributes
    ==========

    is_complete : whether the attempt was answered; otherwise it would have taken longer.
    at : monotonic time, in seconds, at which the attempt ended.
    """

    kind: RequestKindKey
    duration_s: float
    is_complete: bool
    at: float


class _TypicalDuration:
    """Durations of one kind of request at the back ends that answered it last."""

    __slots__ = ("_by_back_end",)

    def __init__(self) -> None:
        self._by_back_end: OrderedDict[str, deque[float]] = OrderedDict()

    def add(self, back_end_id: str, duration_s: float) -> None:
        """Add the duration of a complete answer."""
        durations_s = self._by_back_end.get(back_end_id)
        if durations_s is None:
            durations_s = deque(maxlen=MAX_DURATIONS_OF_BACK_END)
            self._by_back_end[back_end_id] = durations_s
            if len(self._by_back_end) > MAX_BACK_ENDS_OF_KIND:
                self._by_back_end.popitem(last=False)
        self._by_back_end.move_to_end(back_end_id)
        durations_s.append(duration_s)

    def value_s(self) -> float | None:
        """Return the typical duration; None while too few are known."""
        known = list(itertools.chain.from_iterable(self._by_back_end.values()))
        return statistics.median(known) if len(known) >= MIN_TYPICAL_DURATIONS else None


@dataclass(slots=True)
class _BackEndTimes:
    """Observations of one back end, and what was logged about it."""

    service: str
    observations: deque[_Observation] = field(
        default_factory=lambda: deque(maxlen=MAX_OBSERVATIONS)
    )
    is_logged_slow: bool = False
    logged_at: float = float("-inf")

    def fresh(self, now: float) -> deque[_Observation]:
        """Return the observations that are not forgotten."""
        oldest = now - OBSERVATION_MAX_AGE_S
        while self.observations and self.observations[0].at < oldest:
            self.observations.popleft()
        return self.observations

    def age_s(self, now: float) -> float:
        """Return the age of the latest observation; `OBSERVATION_MAX_AGE_S` if it is forgotten."""
        return now - self.observations[-1].at if self.observations else OBSERVATION_MAX_AGE_S


def believed_slowdown(slowdown: float | None) -> float:
    """Return a slowdown, limited to the range that decisions use; the usual 1 if unknown.

    What is learnt and what is expected now must use the same limits: a wrong report then cancels
    out once times are learnt.

    Examples
    ========

    >>> [believed_slowdown(slowdown) for slowdown in (None, 0.1, 1.7, 20.0)]
    [1.0, 0.5, 1.7, 8.0]
    """
    if slowdown is None:
        return 1.0
    return min(MAX_BELIEVED_SLOWDOWN, max(MIN_BELIEVED_SLOWDOWN, slowdown))


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


def _ratios_of(
    observations: Iterable[_Observation], typical_s: Mapping[RequestKindKey, float | None]
) -> list[float]:
    """Return the durations of a back end's observations as multiples of the typical ones.

    Left out are kinds without a typical duration, and attempts that were given up before it.
    """
    ratios = []
    for observation in observations:
        usual_s = typical_s.get(observation.kind)
        if usual_s is None:
            continue
        if observation.is_complete or observation.duration_s > usual_s:
            ratios.append(observation.duration_s / usual_s)
    return ratios


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
        self._typical: OrderedDict[RequestKindKey, _TypicalDuration] = OrderedDict()
        self._back_ends: OrderedDict[str, _BackEndTimes] = OrderedDict()
        self._cached: dict[str, _CachedRatios] = {}
        self._logged_slow: set[str] = set()

    def record_answer(self, back_end: BackEnd, route: str, duration_s: float) -> None:
        """Record the duration of an attempt that was answered completely and without error."""
        observation = self._observation(back_end, route, duration_s, is_complete=True)
        self._typical_of(observation.kind).add(back_end.record.id, observation.duration_s)
        self._observe(back_end, observation)

    def record_unfinished(self, back_end: BackEnd, route: str, elapsed_s: float) -> None:
        """Record an attempt that was cancelled or timed out; see the module's rule."""
        observation = self._observation(back_end, route, elapsed_s, is_complete=False)
        if observation.kind in self._typical:
            self._observe(back_end, observation)

    def _observation(
        self, back_end: BackEnd, route: str, duration_s: float, is_complete: bool
    ) -> _Observation:
        kind = RequestKindKey(back_end.record.service, route)
        slowdown = believed_slowdown(back_end.average_slowdown)
        at_usual_speed_s = max(MIN_DURATION_S, duration_s) / slowdown
        return _Observation(kind, at_usual_speed_s, is_complete, self._clock())

    def _typical_of(self, kind: RequestKindKey) -> _TypicalDuration:
        typical = self._typical.get(kind)
        if typical is None:
            typical = self._typical[kind] = _TypicalDuration()
            if len(self._typical) > MAX_KINDS:
                self._typical.popitem(last=False)
        self._typical.move_to_end(kind)
        return typical

    def _observe(self, back_end: BackEnd, observation: _Observation) -> None:
        self._times_of(back_end).observations.append(observation)
        self._log_changes(observation.at, back_end.record.id)

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

    def remembered_kinds(self) -> int:
        """Return the number of kinds of requests with durations."""
        return len(self._typical)

    def remembered_back_ends(self) -> int:
        """Return the number of back ends with observations."""
        return len(self._back_ends)

    # --- ratios

    def ratios(self, service: str, now: float) -> dict[str, float]:
        """Return the ratio of each back end of a service that has fresh observations."""
        cached = self._cached.get(service)
        if cached is None or now - cached.at > RATIOS_MAX_AGE_S:
            cached = self._cached[service] = _CachedRatios(self._compute(service, now), now)
        return cached.ratios

    def _compute(self, service: str, now: float) -> dict[str, float]:
        typical_s = {
            kind: typical.value_s()
            for kind, typical in self._typical.items()
            if kind.service == service
        }
        return relative_ratios(
            {
                key: _ratios_of(times.fresh(now), typical_s)
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
