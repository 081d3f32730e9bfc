"""Tracks the pace of each sampler, as observed by this process and by others.

The pace of a sampler is the time, in seconds, between two events of one of its streams.

Owns the observations of this process and the tables received from other processes. Relies on runs
to report each event, and on `jobs.pace_sharing` to exchange the tables.
Tested by: tests/serving/test_paces.py.
"""

from __future__ import annotations

import math
import statistics
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crankseam.serving.back_ends import BackEnd

STEADY_WINDOW_S = 2.0
"""Smoothing window, in seconds, of a sampler's steady pace, which seldom changes. The window is in
time rather than in events: with smoothing by events, a burst of prompts at a full sampler would
make it look slow, and its runs would be moved away."""
RECENT_WINDOW_S = 0.3
"""Smoothing window, in seconds, of a sampler's recent pace. It is short enough that a sampler that
becomes slow is detected within a few events."""
OBSERVATION_MAX_AGE_S = 15.0
"""Seconds after which an observation is discarded. It need not be longer, since jobs of one model
reach the same process every few seconds."""
MIN_INTERVAL_S = 0.005
"""Lower limit of recorded intervals, in seconds: a sampler with shorter intervals is never slow,
and the differences between them are noise."""
PACE_CLASS_WIDTH = 0.15
"""Relative width of a pace class: samplers whose paces differ by less than this fraction are
treated as equally fast when the fastest samplers are selected for long items."""
SLOW_FACTOR = 1.8
"""A sampler is slow if its recent pace exceeds the median steady pace by more than this factor."""
MIN_OTHER_SAMPLERS = 2
"""Number of other samplers whose paces must be known before a sampler can be classified as slow."""


@dataclass(slots=True)
class _Observation:
    """Interval between two events of a stream, in seconds, smoothed over two windows."""

    steady_s: float
    recent_s: float
    at: float

    def add_interval(self, interval_s: float, now: float) -> None:
        """Update both averages, with a weight that depends on the time since the last update.

        Events of concurrent streams arrive almost simultaneously, eight at a full sampler, and
        count as one together. The elapsed time is limited to the interval, so that an idle period
        before the event does not increase its weight.
        """
        elapsed_s = min(now - self.at, interval_s)
        self.steady_s += _smoothing_weight(elapsed_s, STEADY_WINDOW_S) * (
            interval_s - self.steady_s
        )
        self.recent_s += _smoothing_weight(elapsed_s, RECENT_WINDOW_S) * (
            interval_s - self.recent_s
        )
        self.at = now


def _smoothing_weight(elapsed_s: float, window_s: float) -> float:
    return 1.0 - math.exp(-elapsed_s / window_s)


class SamplerPaces:
    """Paces by sampler; observations of this process take precedence over those of others."""

    def __init__(self) -> None:
        self._own_observations: dict[str, _Observation] = {}
        self._peer_tables: dict[str, dict[str, float]] = {}
        """Tables of paces received from other processes, by process."""

    def record_interval(self, back_end: BackEnd, interval_s: float) -> None:
        """Record the interval between two events of a run at a sampler."""
        interval_s = max(interval_s, MIN_INTERVAL_S)
        now = time.monotonic()
        observation = self._own_observations.get(back_end.record.id)
        if observation is None or now - observation.at > OBSERVATION_MAX_AGE_S:
            self._own_observations[back_end.record.id] = _Observation(interval_s, interval_s, now)
        else:
            observation.add_interval(interval_s, now)

    def update_from_process(self, process: str, table: dict[str, float]) -> None:
        """Store the table of another process; an empty table deletes the previous one.

        Paces that are not positive numbers are left out.
        """
        usable = {key: pace for key, pace in table.items() if 0.0 < pace < math.inf}
        self._peer_tables[process] = usable
        if not usable:
            del self._peer_tables[process]

    def own_table(self) -> dict[str, float]:
        """Return the steady paces observed by this process, and discard expired observations."""
        now = time.monotonic()
        self._own_observations = {
            key: observation
            for key, observation in self._own_observations.items()
            if now - observation.at <= OBSERVATION_MAX_AGE_S
        }
        return {key: observation.steady_s for key, observation in self._own_observations.items()}

    def _fresh_observation(self, back_end: BackEnd) -> _Observation | None:
        observation = self._own_observations.get(back_end.record.id)
        if observation is None or time.monotonic() - observation.at > OBSERVATION_MAX_AGE_S:
            return None
        return observation

    def steady_s(self, back_end: BackEnd) -> float | None:
        """Return the steady pace of a sampler; None if no process has observed it."""
        observation = self._fresh_observation(back_end)
        if observation is not None:
            return observation.steady_s
        for table in self._peer_tables.values():
            if back_end.record.id in table:
                return table[back_end.record.id]
        return None

    def recent_s(self, back_end: BackEnd) -> float | None:
        """Return the recent pace of a sampler; None without a fresh observation of this process."""
        observation = self._fresh_observation(back_end)
        return observation.recent_s if observation is not None else None

    def slow_ids(self, service: Sequence[BackEnd]) -> set[str]:
        """Return the ids of the samplers of a service that are slow now; see `SLOW_FACTOR`."""
        steady = {
            sampler.record.id: pace for sampler in service if (pace := self.steady_s(sampler))
        }
        if len(steady) <= MIN_OTHER_SAMPLERS:
            return set()
        limit_s = SLOW_FACTOR * statistics.median(steady.values())
        return {
            sampler.record.id
            for sampler in service
            if (recent_s := self.recent_s(sampler)) is not None and recent_s > limit_s
        }

    def fastest_first(self, service: Sequence[BackEnd]) -> list[tuple[float, BackEnd]]:
        """Return steady paces and samplers, fastest first, without slow and unknown samplers."""
        slow = self.slow_ids(service)
        known = [
            (pace_s, sampler)
            for sampler in service
            if sampler.record.id not in slow and (pace_s := self.steady_s(sampler)) is not None
        ]
        return sorted(known, key=lambda pair: pair[0])

    def classes(self, back_ends: Iterable[BackEnd]) -> dict[str, int]:
        """Return by how many pace classes each back end is slower than the fastest one.

        A back end whose pace is unknown is assumed to have the median pace.
        """
        ids = [back_end.record.id for back_end in back_ends]
        paces = {
            back_end.record.id: pace for back_end in back_ends if (pace := self.steady_s(back_end))
        }
        if not paces:
            return dict.fromkeys(ids, 0)
        fastest, median = min(paces.values()), statistics.median(paces.values())
        return {
            key: int((paces.get(key, median) / fastest - 1.0) / PACE_CLASS_WIDTH) for key in ids
        }
