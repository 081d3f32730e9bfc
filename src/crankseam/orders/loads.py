"""Decides which samplers load a newer version now, how many at a time, and in which order.

Inputs: the samplers assigned to each model; the newest announced version and when it was announced,
in monotonic seconds; the oldest version that may serve the newest job; the paces of the samplers;
the loads in progress.
Rule: a sampler that cannot serve the newest job is due at once. Some of the others are due after
the burst of items that follows an announcement, and more of them late in the step. Few samplers
load at the same time; the slow ones with the least work load first.
Purpose: to limit the number of runs that loads break off, and of slots that a model lacks while its
samplers load.
Logged as: `version_named`, `version_ordered`, `version_loaded`.
Tested by: tests/orders/test_loads.py, tests/orders/test_version_coordinator.py.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd
from crankseam.serving.paces import SamplerPaces

SHORTEST_STEP_S = 3.0
"""A trainer that announces versions at shorter intervals is behind and waits for them, so their
loads are not delayed. With delayed loads, a trainer waited 7 s for versions after all processes had
been killed. The value is below 4 s, the shortest known step."""
LOAD_DELAY_S = 0.8
"""Delay between the announcement of a version and its loads. A trainer requests a step when it
announces a version; the delay lets its burst of items start before samplers load."""
LATE_STEP_FRACTION = 0.55
"""Fraction of the interval between two announced versions after which most items of a step have
ended. A load then breaks off few runs, and these find a slot on another sampler at once."""
INTERVAL_EMA_WEIGHT = 0.5
"""Weight of the latest interval between two announced versions in the exponential moving average of
these intervals."""
CONCURRENT_LOAD_FRACTION = 0.4
"""Fraction of a service's samplers that can load at the same time before loads slow each other
down. The operators' data sheets give 2 of 5 and of 6 samplers, 9 of 23 and 10 of 24. A fixed
limit would be too low for large services."""
MIN_CONCURRENT_LOADS = 2
"""Number of samplers that may load at the same time even in the smallest services, by the same data
sheets."""
SAMPLERS_PER_LOAD = 3
"""A model may have one load in progress for every three of its samplers. Without this limit, a
model with few samplers would be unavailable while all of them load."""


@dataclass(frozen=True, slots=True)
class AnnouncedVersion:
    """The newest version of a model that its trainer has announced.

    Attributes
    ==========

    announced_at : monotonic seconds.
    load_after : monotonic seconds from which a sampler loads this version even if it can serve the
        newest job with an older one.
    interval_s : moving average of the seconds between two announced versions; None after the first
        version.
    """

    version: int
    announced_at: float
    load_after: float
    interval_s: float | None = None

    @classmethod
    def first(cls, version: int, now: float) -> AnnouncedVersion:
        """Return the first version that this process sees.

        It may have been announced long before the process started.
        """
        return cls(version, now, now)

    def followed_by(self, version: int, now: float) -> AnnouncedVersion:
        """Return the next version, announced at ``now``."""
        elapsed_s = now - self.announced_at
        is_trainer_behind = elapsed_s < SHORTEST_STEP_S
        load_after = now if is_trainer_behind else now + LOAD_DELAY_S
        return AnnouncedVersion(version, now, load_after, self._smoothed_interval_s(elapsed_s))

    def _smoothed_interval_s(self, elapsed_s: float) -> float | None:
        if elapsed_s <= 0.0:
            return self.interval_s
        previous_s = self.interval_s if self.interval_s is not None else elapsed_s
        return previous_s + INTERVAL_EMA_WEIGHT * (elapsed_s - previous_s)

    def is_late_in_step(self, now: float) -> bool:
        """Return whether the step that began with this announcement is near its end."""
        if self.interval_s is None:
            return False
        return now - self.announced_at >= LATE_STEP_FRACTION * max(self.interval_s, SHORTEST_STEP_S)


class Load(NamedTuple):
    """Load of the newest version of a model by a sampler, either due or in progress."""

    service: str
    model: str
    back_end: BackEnd


class LoadPriority(NamedTuple):
    """Sort key of due loads; the smallest one starts first.

    Attributes
    ==========

    is_avoided : whether the sampler failed recently; such samplers load last.
    negated_lag : number of versions by which the sampler is behind the newest one, negated, so that
        samplers with the largest lag load first.
    negated_pace_s : seconds between two events of a stream on the sampler, negated; 0 if unknown.
        Slow samplers load first because the long runs of a step are on the fast ones.
    in_flight : requests of this process that run on the sampler: the fewer they are, the fewer runs
        the load breaks off.
    """

    is_avoided: bool
    negated_lag: int
    negated_pace_s: float
    in_flight: int

    @classmethod
    def of(
        cls, back_end: BackEnd, model: str, version: int, paces: SamplerPaces, now: float
    ) -> LoadPriority:
        """Return the priority of loading a version of a model on a sampler at ``now``."""
        lag = version - back_end.version_of(model)
        pace_s = paces.steady_s(back_end) or 0.0
        return cls(back_end.avoid_until > now, -lag, -pace_s, back_end.in_flight)


def max_concurrent_loads(samplers: int) -> int:
    """Return how many samplers of a service may load a version at the same time.

    Examples
    ========

    >>> [max_concurrent_loads(samplers) for samplers in (3, 5, 23, 24)]
    [2, 2, 9, 10]
    """
    return max(MIN_CONCURRENT_LOADS, round(CONCURRENT_LOAD_FRACTION * samplers))


def free_load_count(service: list[BackEnd]) -> int:
    """Return how many loads of a version cost nothing: an equal share of the service's samplers."""
    models = {model for back_end in service for model in back_end.record.versions}
    return math.ceil(len(service) / max(1, len(models)))


def due_samplers(
    assigned: list[BackEnd],
    model: str,
    announced: AnnouncedVersion,
    min_usable_version: int | None,
    late_target: int,
    priority: Callable[[BackEnd], LoadPriority],
    now: float,
) -> list[BackEnd]:
    """Return the samplers of a model that should load its newest version now.

    Samplers that cannot serve the newest job are always due. Only some of the others are due, so
    that not all samplers come due at the same time.

    Parameters
    ==========

    assigned : samplers assigned to the model.
    min_usable_version : oldest version that may serve the newest job; if None, only the newest
        version may serve it.
    late_target : number of assigned samplers that should have the newest version late in a step.
    now : monotonic seconds.
    """
    newest = announced.version
    oldest_usable = min(newest, min_usable_version) if min_usable_version is not None else newest
    outdated = [back_end for back_end in assigned if back_end.version_of(model) < newest]
    unusable = [back_end for back_end in outdated if back_end.version_of(model) < oldest_usable]
    if now < announced.load_after:
        return unusable
    target = _target_count(len(assigned), newest - oldest_usable)
    if announced.is_late_in_step(now):
        target = max(target, min(len(assigned), late_target))
    up_to_date = len(assigned) - len(outdated)
    missing = max(0, target - up_to_date - len(unusable))
    usable = (back_end for back_end in outdated if back_end.version_of(model) >= oldest_usable)
    return unusable + sorted(usable, key=priority)[:missing]


def _target_count(assigned: int, lag: int) -> int:
    """Return how many samplers load each version if jobs may be served by one that is `lag` older.

    Each load then serves `lag` + 1 jobs: only a part of the samplers loads each version, while the
    others continue to serve.
    """
    return math.ceil(assigned / (lag + 1))


def loads_to_start(
    due: Iterable[Load],
    in_progress: Sequence[Load],
    samplers: dict[str, int],
    assigned_counts: dict[str, int],
) -> list[Load]:
    """Return the due loads to start now, in their given order.

    Few samplers load at the same time, and most samplers of a model continue to serve it meanwhile.

    Parameters
    ==========

    in_progress : loads that have been started and have not ended.
    samplers : number of samplers by service.
    assigned_counts : number of assigned samplers by model.
    """
    max_by_service = {service: max_concurrent_loads(count) for service, count in samplers.items()}
    max_by_model = {
        model: max(1, count // SAMPLERS_PER_LOAD) for model, count in assigned_counts.items()
    }
    loading = {load.back_end.record.id for load in in_progress}
    loads_by_service = Counter(load.service for load in in_progress)
    loads_by_model = Counter(load.model for load in in_progress)
    started: list[Load] = []
    for load in due:
        service, model = load.service, load.model
        if loads_by_service[service] >= max_by_service[service]:
            continue
        if loads_by_model[model] >= max_by_model[model]:
            continue
        key = load.back_end.record.id
        if key in loading:
            continue
        loading.add(key)
        loads_by_service[service] += 1
        loads_by_model[model] += 1
        started.append(load)
    return started
