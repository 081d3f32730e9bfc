"""How fast each sampler's streams come, as this process and others saw it.

Owns what this process observed and what other processes told. Relies on runs to tell of each event,
and on `jobs.pace_sharing` for the exchange. Paces are seconds between two events of one stream.
Held by: tests/serving/test_paces.py.
"""

from __future__ import annotations

import math
import statistics
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from crankseam.serving.back_ends import BackEnd

STEADY_WINDOW_S = 2.0
"""Window of a sampler's own pace, which seldom changes: smoothed by events, a burst of prompts at a
full sampler passed for a slow one, and 381 of 2,276 runs were moved. The figure is a choice."""
RECENT_WINDOW_S = 0.3
"""Window of the pace of the moment: a sampler that turns slow shows within a few events. A
choice."""
BELIEVED_S = 15.0
"""An observation is believed for so long: jobs of one model come to the same process each few
seconds. Origin not recorded."""
FASTEST_S = 0.005
"""Events that come faster than this are never slow: between them only noise is left. Origin not
recorded."""
PACE_CLASS = 0.15
"""Samplers whose paces differ by less than this share are taken for equally fast. Set with the
choice of the fastest samplers for long items; the figure was not measured by itself."""
SLOW_FACTOR = 1.8
"""A sampler whose events take this many times the others' median is a slow one. Origin not
recorded."""
FEWEST_OTHERS = 2
"""So many others must be known before a sampler can be told to be slow. Origin not recorded."""


@dataclass(slots=True)
class _Observation:
    """Seconds between two events of a stream, smoothed over two windows."""

    steady_s: float
    recent_s: float
    at: float

    def take(self, interval_s: float, now: float) -> None:
        """Smooth by the time that an event stands for: a full sampler has eight at once, and an
        event after a rest says nothing of the rest."""
        passed_s = min(now - self.at, interval_s)
        self.steady_s += _weight(passed_s, STEADY_WINDOW_S) * (interval_s - self.steady_s)
        self.recent_s += _weight(passed_s, RECENT_WINDOW_S) * (interval_s - self.recent_s)
        self.at = now


def _weight(passed_s: float, window_s: float) -> float:
    return 1.0 - math.exp(-passed_s / window_s)


class SamplerPaces:
    """Seconds between events by sampler; own observations go before those of others."""

    def __init__(self) -> None:
        self._own: dict[str, _Observation] = {}
        self._told: dict[str, dict[str, float]] = {}
        """What other processes told, by process."""

    def seen(self, back_end: BackEnd, interval_s: float) -> None:
        """Take the time between two events of a run."""
        interval_s = max(interval_s, FASTEST_S)
        now = time.monotonic()
        known = self._own.get(back_end.record.id)
        if known is None or now - known.at > BELIEVED_S:
            self._own[back_end.record.id] = _Observation(interval_s, interval_s, now)
        else:
            known.take(interval_s, now)

    def told(self, process: str, table: dict[str, float]) -> None:
        """Take another process's table; an empty one takes back what it told before."""
        self._told[process] = table
        if not table:
            del self._told[process]

    def own_table(self) -> dict[str, float]:
        """The steady paces that this process saw itself and still believes; forgets the others."""
        now = time.monotonic()
        self._own = {key: one for key, one in self._own.items() if now - one.at <= BELIEVED_S}
        return {key: one.steady_s for key, one in self._own.items()}

    def _observed(self, back_end: BackEnd) -> _Observation | None:
        known = self._own.get(back_end.record.id)
        if known is None or time.monotonic() - known.at > BELIEVED_S:
            return None
        return known

    def steady_s(self, back_end: BackEnd) -> float | None:
        """The sampler's own pace; None while nobody has told it."""
        observed = self._observed(back_end)
        if observed is not None:
            return observed.steady_s
        for table in self._told.values():
            if back_end.record.id in table:
                return table[back_end.record.id]
        return None

    def recent_s(self, back_end: BackEnd) -> float | None:
        """The pace of the last moments in which this process had streams there."""
        observed = self._observed(back_end)
        return observed.recent_s if observed is not None else None

    def slow_ids(self, service: Sequence[BackEnd]) -> set[str]:
        """Samplers of a service whose events take much longer, now, than those of the others."""
        steady = {one.record.id: pace for one in service if (pace := self.steady_s(one))}
        if len(steady) <= FEWEST_OTHERS:
            return set()
        limit_s = SLOW_FACTOR * statistics.median(steady.values())
        return {
            one.record.id
            for one in service
            if (recent_s := self.recent_s(one)) is not None and recent_s > limit_s
        }

    def fastest_first(self, service: Sequence[BackEnd]) -> list[tuple[float, BackEnd]]:
        """Samplers whose paces are known and that are not slow now, with their steady paces."""
        slow = self.slow_ids(service)
        known = [
            (pace_s, one)
            for one in service
            if one.record.id not in slow and (pace_s := self.steady_s(one)) is not None
        ]
        return sorted(known, key=lambda pair: pair[0])

    def classes(self, back_ends: Iterable[BackEnd]) -> dict[str, int]:
        """By how many classes each is slower than the fastest; unknown ones are in the middle."""
        ids = [one.record.id for one in back_ends]
        paces = {one.record.id: pace for one in back_ends if (pace := self.steady_s(one))}
        if not paces:
            return dict.fromkeys(ids, 0)
        fastest, middle = min(paces.values()), statistics.median(paces.values())
        return {key: int((paces.get(key, middle) / fastest - 1.0) / PACE_CLASS) for key in ids}
