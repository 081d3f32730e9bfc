"""Which samplers load a newer version now: how many at a time, which first, when a load begins."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from crankseam.serving.back_ends import BackEnd
from crankseam.serving.paces import SamplerPaces

HURRIED_SECONDS = 3.0
"""A trainer that names versions faster than this is behind, and waits for them."""
CARRIERS_PER_LOAD = 3
"""Of so many samplers of one model, one loads at a time."""
LOAD_DELAY_SECONDS = 0.8
"""A trainer asks for a step as it names a version: its burst goes out before samplers load."""
LATE_SHARE = 0.55
"""After so much of the time between two named versions most items of a step have ended: a load
breaks few runs off, and those find room elsewhere at once."""
INTERVAL_WEIGHT = 0.5
"""How much the newest time between two named versions counts."""
LOADING_SHARE = 0.4
"""Of a service's samplers, about so many can load at a time before loads slow each other down."""
FEWEST_LOADS_AT_ONCE = 2


@dataclass(frozen=True, slots=True)
class NamedVersion:
    """The newest version of a model that its trainer named.

    Attributes
    ==========

    named_at : monotonic time in seconds.
    loads_from : monotonic time from which samplers load it that can serve the newest job without.
    interval_s : smoothed seconds between two named versions; None after the first one.
    """

    version: int
    named_at: float
    loads_from: float
    interval_s: float | None = None

    def followed_by(self, version: int, now: float) -> NamedVersion:
        """The next version, named at ``now``."""
        passed_s = now - self.named_at
        behind = passed_s < HURRIED_SECONDS
        interval_s = self.interval_s
        if passed_s > 0.0:
            known_s = interval_s if interval_s is not None else passed_s
            interval_s = known_s + INTERVAL_WEIGHT * (passed_s - known_s)
        return NamedVersion(version, now, now if behind else now + LOAD_DELAY_SECONDS, interval_s)

    def is_late(self, now: float) -> bool:
        """Whether the step that began when this version was named nears its end."""
        if self.interval_s is None:
            return False
        return now - self.named_at >= LATE_SHARE * max(self.interval_s, HURRIED_SECONDS)


@dataclass(frozen=True, slots=True)
class Load:
    """A sampler that is to load, or loads, a model's newest version."""

    service: str
    model: str
    back_end: BackEnd


def loads_at_once(samplers: int) -> int:
    """How many samplers of a service may load a version at the same time."""
    return max(FEWEST_LOADS_AT_ONCE, round(LOADING_SHARE * samplers))


def free_loads(service: list[BackEnd]) -> int:
    """An equal share of the service's samplers: so many loads of a version cost nothing."""
    models = {model for one in service for model in one.record.versions}
    return math.ceil(len(service) / max(1, len(models)))


def order_cost(
    back_end: BackEnd, model: str, version: int, paces: SamplerPaces, now: float
) -> tuple[bool, int, float, int]:
    """Sound ones first; the model whose samplers lag most; slow ones; those with least work.

    A step's long runs are at fast samplers: what is loaded late breaks off fewer of them.
    """
    lag = version - back_end.version_of(model)
    pace = paces.steady_s(back_end) or 0.0
    return (back_end.avoid_until > now, -lag, -pace, back_end.in_flight)


def due(
    back_ends: list[BackEnd],
    model: str,
    named: NamedVersion,
    needed: int | None,
    free: int,
    paces: SamplerPaces,
    now: float,
) -> list[BackEnd]:
    """Samplers that can't serve the newest job, and some others: not all may come due at once.

    Where jobs may be served by a version that is `lag` older than the newest, each load serves
    `lag` + 1 jobs, so that a part of the samplers loads each version and the others go on. Late
    in a step more of them load, as many as cost nothing, for the next step to begin on.
    """
    usable_from = min(named.version, needed) if needed is not None else named.version
    behind = [one for one in back_ends if one.version_of(model) < named.version]
    due = [one for one in behind if one.version_of(model) < usable_from]
    if named.loads_from > now:
        return due
    share = math.ceil(len(back_ends) / (named.version - usable_from + 1))
    if named.is_late(now):
        share = max(share, min(len(back_ends), free))
    missing = share - (len(back_ends) - len(behind)) - len(due)
    usable = sorted(
        (one for one in behind if one.version_of(model) >= usable_from),
        key=lambda one: order_cost(one, model, named.version, paces, now),
    )
    return due + usable[: max(0, missing)]


def loads_to_start(
    lagging: Iterable[Load],
    under_way: list[Load],
    samplers: dict[str, int],
    carriers: dict[str, int],
) -> list[Load]:
    """Most samplers of a model go on serving it while others load, and few load at a time."""
    loading = {load.back_end.record.id for load in under_way}
    of_service = Counter(load.service for load in under_way)
    of_model = Counter(load.model for load in under_way)
    started: list[Load] = []
    for load in lagging:
        service, model = load.service, load.model
        if load.back_end.record.id in loading:
            continue
        if of_service[service] >= loads_at_once(samplers[service]):
            continue
        if of_model[model] >= max(1, carriers[model] // CARRIERS_PER_LOAD):
            continue
        loading.add(load.back_end.record.id)
        of_service[service] += 1
        of_model[model] += 1
        started.append(load)
    return started
