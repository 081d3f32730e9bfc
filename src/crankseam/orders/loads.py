"""Which samplers load a newer version now: when, how many at a time, and which go first?

Inputs: the samplers assigned to each model, the version named last and when (monotonic seconds),
the oldest version that may serve the newest job, the samplers' paces, the loads under way.
Rule: a sampler that cannot serve the newest job is due at once. Of the others a part is due once
the burst after the naming is out, and more of them late in the step; few load at a time, and the
slow ones with least work go first.
Protects: runs that a load breaks off, and the places that a model lacks while its samplers load.
Shown by: `version_named`, `version_ordered`, `version_loaded`. Held by: tests/orders/test_loads.py
and tests/orders/test_version_coordinator.py.
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
"""A trainer that names versions faster than this is behind and waits for them, so that loads are
not delayed. Below the 4 s of the shortest known steps; set where a trainer waited for versions
for 7 s after all processes had been killed."""
LOAD_DELAY_S = 0.8
"""A trainer asks for a step as it names a version: its burst goes out before samplers load. Set
together with breaking runs off, on two sites with steps of 4 s; origin of the figure itself not
recorded."""
LATE_SHARE = 0.55
"""After this share of the time between two named versions most items of a step have ended: a load
breaks few runs off, and those find room elsewhere at once. It took the first wait of long items
from 0.7 to 0.2 s, on three days of a site with 8 samplers."""
INTERVAL_WEIGHT = 0.5
"""Weight of the newest time between two named versions in the smoothed one; origin not
recorded."""
LOADING_SHARE = 0.4
"""Of a service's samplers, about so many load at a time before loads slow each other down: 2 of 5
and 6, 9 of 23, 10 of 24 by the operators' sheets. Raised from 2 at any size: 68 -> 153 loads, and
0.75 -> 0.88 of the day served, with 23 samplers of three models."""
FEWEST_LOADS_AT_ONCE = 2
"""So many may load at a time in the smallest services too, by the same sheets."""
CARRIERS_PER_LOAD = 3
"""Of so many samplers of one model, one loads at a time. Set with five samplers of two models, of
which one stood still on all its samplers: loads beyond the free ones 14.5 -> 4.5 a day."""


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """The newest version of a model that its trainer named.

    Attributes
    ==========

    named_at : monotonic seconds.
    loads_from : monotonic seconds from which those samplers load it that can serve the newest job
        without it.
    interval_s : smoothed seconds between two named versions; None after the first one.
    """

    version: int
    named_at: float
    loads_from: float
    interval_s: float | None = None

    @classmethod
    def first(cls, version: int, now: float) -> NamedVersion:
        """The first one that is seen; it may have been named long before this process began."""
        return cls(version, now, now)

    def followed_by(self, version: int, now: float) -> NamedVersion:
        """The next version, named at ``now``."""
        passed_s = now - self.named_at
        is_trainer_behind = passed_s < SHORTEST_STEP_S
        loads_from = now if is_trainer_behind else now + LOAD_DELAY_S
        return NamedVersion(version, now, loads_from, self._smoothed_s(passed_s))

    def _smoothed_s(self, passed_s: float) -> float | None:
        if passed_s <= 0.0:
            return self.interval_s
        known_s = self.interval_s if self.interval_s is not None else passed_s
        return known_s + INTERVAL_WEIGHT * (passed_s - known_s)

    def is_late(self, now: float) -> bool:
        """Whether the step that began when this version was named nears its end."""
        if self.interval_s is None:
            return False
        return now - self.named_at >= LATE_SHARE * max(self.interval_s, SHORTEST_STEP_S)


class Load(NamedTuple):
    """A sampler that is to load, or loads, a model's newest version."""

    service: str
    model: str
    back_end: BackEnd


class LoadPriority(NamedTuple):
    """Which sampler loads first; the least goes first.

    Attributes
    ==========

    is_avoided : one that failed lately comes last.
    negated_lag : versions behind the newest one, negated: the model whose samplers lag most.
    negated_pace_s : seconds between two events of a stream there, negated: slow ones first, since
        the long runs of a step are at fast ones. 0 if not known.
    in_flight : requests of this process that run there: the fewer, the fewer are broken off.
    """

    is_avoided: bool
    negated_lag: int
    negated_pace_s: float
    in_flight: int

    @classmethod
    def of(
        cls, back_end: BackEnd, model: str, version: int, paces: SamplerPaces, now: float
    ) -> LoadPriority:
        """The priority of bringing a sampler to a version of a model at ``now``."""
        lag = version - back_end.version_of(model)
        pace_s = paces.steady_s(back_end) or 0.0
        return cls(back_end.avoid_until > now, -lag, -pace_s, back_end.in_flight)


def loads_at_once(samplers: int) -> int:
    """How many samplers of a service may load a version at the same time.

    Examples
    ========

    >>> [loads_at_once(samplers) for samplers in (3, 5, 23, 24)]
    [2, 2, 9, 10]
    """
    return max(FEWEST_LOADS_AT_ONCE, round(LOADING_SHARE * samplers))


def free_loads(service: list[BackEnd]) -> int:
    """An equal share of the service's samplers: so many loads of a version cost nothing."""
    models = {model for one in service for model in one.record.versions}
    return math.ceil(len(service) / max(1, len(models)))


def due_samplers(
    carriers: list[BackEnd],
    model: str,
    named: NamedVersion,
    needed_version: int | None,
    late_count: int,
    priority: Callable[[BackEnd], LoadPriority],
    now: float,
) -> list[BackEnd]:
    """Samplers that can't serve the newest job, and some others: not all may come due at once.

    Parameters
    ==========

    carriers : the samplers assigned to the model.
    needed_version : the oldest version that may serve the newest job; the newest if not known.
    late_count : how many of them are to carry the newest version late in a step.
    now : monotonic seconds.
    """
    newest = named.version
    usable_from = min(newest, needed_version) if needed_version is not None else newest
    behind = [one for one in carriers if one.version_of(model) < newest]
    unusable = [one for one in behind if one.version_of(model) < usable_from]
    if now < named.loads_from:
        return unusable
    wanted = _wanted_count(len(carriers), newest - usable_from)
    if named.is_late(now):
        wanted = max(wanted, min(len(carriers), late_count))
    up_to_date = len(carriers) - len(behind)
    missing = max(0, wanted - up_to_date - len(unusable))
    usable = (one for one in behind if one.version_of(model) >= usable_from)
    return unusable + sorted(usable, key=priority)[:missing]


def _wanted_count(carriers: int, lag: int) -> int:
    """How many samplers load each version, where jobs may be served by one that is `lag` older.

    Each load then serves `lag` + 1 jobs: a part of the samplers loads each version, and the others
    go on.
    """
    return math.ceil(carriers / (lag + 1))


def loads_to_start(
    due: Iterable[Load],
    under_way: Sequence[Load],
    samplers: dict[str, int],
    carriers: dict[str, int],
) -> list[Load]:
    """The loads to start now, of those that are due, in their order.

    Few load at a time, and most samplers of a model go on serving it meanwhile.

    Parameters
    ==========

    samplers : how many each service has.
    carriers : how many are assigned to each model.
    """
    most_of_service = {service: loads_at_once(count) for service, count in samplers.items()}
    most_of_model = {model: max(1, count // CARRIERS_PER_LOAD) for model, count in carriers.items()}
    loading = {load.back_end.record.id for load in under_way}
    of_service = Counter(load.service for load in under_way)
    of_model = Counter(load.model for load in under_way)
    started: list[Load] = []
    for load in due:
        service, model = load.service, load.model
        if of_service[service] >= most_of_service[service]:
            continue
        if of_model[model] >= most_of_model[model]:
            continue
        key = load.back_end.record.id
        if key in loading:
            continue
        loading.add(key)
        of_service[service] += 1
        of_model[model] += 1
        started.append(load)
    return started
