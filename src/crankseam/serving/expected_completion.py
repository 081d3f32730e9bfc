"""How soon one more request would be complete at a back end, compared with the service's others.

Inputs: the requests of this process at the back end, exact; those of other processes by the last
load report, at most 1.5 s old; the number of slots; the learnt speed (of a sampler the pace of its
streams, of other back ends `service_times`), seconds old; the reported slowdown, which changes many
times a second.
Rule: the expected completion is the back end's time factor, that is, how long work takes there
compared with the service's median back end, times 1 + load / slots: one service time for the
request itself, and one for each full set of slots before it. Load counts even where a slot is free:
the slot may be taken by the time the request arrives, the likelier the fewer are free. The time
factor is the learnt ratio, from which the slowdown at the time of its observations is divided out,
times the slowdown expected now: the reported figure while it is fresh, then more and more the back
end's own average and, once the report is too old, the median of the service.
The requests of others fade with the age of the report, and only those of this process remain once
it is stale.
Purpose: new work goes where it is done soonest rather than where fewest requests are; a slow back
end is left to those requests that would wait longer elsewhere.
Logged as: `back_end_slow` and `back_end_normal` (learnt ratios); `scoring_sent`, `item_sent` and
`attempts` of `request_answered` (the back ends chosen).
Tested by: tests/serving/test_expected_completion.py.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from crankseam.serving.back_ends import LOAD_REPORT_MAX_AGE_S, BackEnd, slots_of
from crankseam.serving.contention import Contention, NoContention
from crankseam.serving.paces import SamplerPaces
from crankseam.serving.service_times import ServiceTimes, believed_slowdown, bounded_ratio

MAX_REPORTED_ROUNDS = 4.0
"""Largest number of requests of others that counts, as a multiple of the slots. A back end with
more rejects work, and one that reports too many is still selected once the others are as full."""
SLOWDOWN_FRESH_S = 0.2
"""Time constant, in seconds, at which a reported slowdown fades into the average: such a figure
holds for a fraction of a second."""
SLOWDOWN_MAX_AGE_S = 5.0
"""Seconds after which the average slowdown of a back end that reports nothing is forgotten."""
FACTOR_DECIMALS = 1
"""Decimal places of a time factor. Back ends that differ by less are equally fast, so that their
load and zone decide."""
FACTORS_MAX_AGE_S = 0.05
"""Seconds for which the time factors of a service are reused: well below the time for which a
reported slowdown holds. A busy process decides hundreds of times a second."""
ABOUT_EQUAL_FRACTION = 0.15
"""Relative difference up to which two expected completions are about equal, so that the zone
decides."""

TimeFactors = Mapping[str, float]
"""Time factor by back end id; see the module's rule. The usual value is 1."""


def estimated_load(own: int, others: int, report_age_s: float, slots: int) -> float:
    """Return the estimated number of requests at a back end.

    Parameters
    ==========

    own : requests of this process.
    others : requests of other processes according to the last load report.
    report_age_s : age of that report, in seconds.

    Examples
    ========

    >>> [estimated_load(1, 4, age_s, 8) for age_s in (0.0, 0.75, 1.5, 60.0)]
    [5.0, 3.0, 1.0, 1.0]
    >>> estimated_load(0, 1_000_000, 0.0, 8)
    32.0
    """
    counted = min(float(max(0, others)), MAX_REPORTED_ROUNDS * slots)
    freshness = max(0.0, 1.0 - max(0.0, report_age_s) / LOAD_REPORT_MAX_AGE_S)
    return own + counted * freshness


def expected_completion(load: float, slots: int, time_factor: float) -> float:
    """Return when one more request is complete, in service times of the median back end.

    Parameters
    ==========

    load : estimated number of requests there.
    time_factor : how long work takes there compared with the median back end.

    Examples
    ========

    >>> [expected_completion(load, 4, 1.0) for load in (0.0, 2.0, 4.0, 8.0)]
    [1.0, 1.5, 2.0, 3.0]
    >>> expected_completion(0.0, 4, 2.4)
    2.4
    """
    return time_factor * (1.0 + load / slots)


def load_at(back_end: BackEnd, now: float) -> float:
    """Return the estimated number of requests at a back end; see `estimated_load`."""
    others = back_end.reported_load - back_end.in_flight_at_report
    report_age_s = now - back_end.reported_at
    return estimated_load(back_end.in_flight, others, report_age_s, slots_of(back_end))


def completion_at(back_end: BackEnd, time_factor: float, now: float) -> float:
    """Return the expected completion of one more request at a back end; see the module's rule."""
    return expected_completion(load_at(back_end, now), slots_of(back_end), time_factor)


def are_about_equal(one: float, other: float) -> bool:
    """Whether two expected completions differ so little that the zone decides.

    Examples
    ========

    >>> are_about_equal(1.0, 1.05), are_about_equal(1.0, 1.25)
    (True, False)
    """
    return abs(one - other) <= ABOUT_EQUAL_FRACTION * min(one, other)


# --- slowdown


def expected_slowdown(reported: float, average: float, age_s: float) -> float | None:
    """Return the slowdown expected now; None if the last report is too old to tell anything.

    Parameters
    ==========

    reported, average : slowdown of the last report, and its average over some seconds.
    age_s : age of the last report, in seconds.

    Examples
    ========

    >>> expected_slowdown(3.0, 1.5, 0.0), round(expected_slowdown(3.0, 1.5, 0.2), 2)
    (3.0, 2.05)
    >>> round(expected_slowdown(3.0, 1.5, 2.0), 2), expected_slowdown(3.0, 1.5, 9.0)
    (1.5, None)
    """
    if age_s > SLOWDOWN_MAX_AGE_S:
        return None
    freshness = math.exp(-max(0.0, age_s) / SLOWDOWN_FRESH_S)
    expected = average + (reported - average) * freshness
    return believed_slowdown(expected)


def _slowdown_now(back_end: BackEnd, now: float) -> float | None:
    reported, average = back_end.slowdown, back_end.average_slowdown
    if reported is None or average is None:
        return None
    return expected_slowdown(reported, average, now - back_end.reported_at)


def _median_or_usual(values: list[float]) -> float:
    return statistics.median(values) if values else 1.0


class _CachedFactors(NamedTuple):
    """Time factors of a service, and the monotonic time at which they were computed."""

    factors: TimeFactors
    at: float


class CompletionEstimates:
    """Time factors of the back ends of contended services.

    Parameters
    ==========

    paces : paces of the samplers; without them only `service_times` and slowdowns count.
    """

    def __init__(
        self,
        contention: Contention | NoContention,
        service_times: ServiceTimes,
        paces: SamplerPaces | None = None,
    ) -> None:
        self._contention = contention
        self._service_times = service_times
        self._paces = paces
        self._cached: dict[str, _CachedFactors] = {}

    def time_factors(
        self, service: str, back_ends: Sequence[BackEnd], now: float
    ) -> TimeFactors | None:
        """Return the time factors of the back ends of a service; None if it is not contended.

        The caller then decides by load alone. A back end that has just appeared may be missing.

        Parameters
        ==========

        back_ends : all back ends of the service that accept new work.
        """
        if not self._contention.is_contended(service):
            return None
        cached = self._cached.get(service)
        if cached is None or now - cached.at > FACTORS_MAX_AGE_S:
            factors = self._compute(service, back_ends, now)
            cached = self._cached[service] = _CachedFactors(factors, now)
        return cached.factors

    def _compute(self, service: str, back_ends: Sequence[BackEnd], now: float) -> TimeFactors:
        ratios = self._service_times.ratios(service, now) | self._pace_ratios(back_ends)
        slowdowns = {one.record.id: _slowdown_now(one, now) for one in back_ends}
        known = [slowdown for slowdown in slowdowns.values() if slowdown is not None]
        usual = _median_or_usual(known)
        return {
            key: round(ratios.get(key, 1.0) * (slowdown or usual), FACTOR_DECIMALS)
            for key, slowdown in slowdowns.items()
        }

    def _pace_ratios(self, back_ends: Sequence[BackEnd]) -> dict[str, float]:
        """Return the paces without the slowdown of that time, compared with their median."""
        if self._paces is None:
            return {}
        paces_s = {
            one.record.id: pace_s / believed_slowdown(one.average_slowdown)
            for one in back_ends
            if (pace_s := self._paces.steady_s(one)) is not None
        }
        median_s = _median_or_usual(list(paces_s.values()))
        return {key: bounded_ratio(pace_s / median_s) for key, pace_s in paces_s.items()}


def no_estimates() -> CompletionEstimates:
    """Return estimates for parts without a front: no service is contended, load alone decides."""
    return CompletionEstimates(NoContention(), ServiceTimes())
