"""Which sampler gets a waiting item: of those with room that may serve it, the one of the smallest
cost.

Inputs: each sampler's load (own requests, and others' by a report of at most 1.5 s), pace, weight
version, zone and memory, as this process believes them at the moment of the round; the item's need.
Rule: a sampler that is avoided, full for this kind of item, cold beyond this process's share or of
an unsuitable version is no candidate. The rest is ordered by `Cost`, its first field that differs.
The sampler that the item just left is taken only when there is no other.
Protects: a step's longest items from slow, soon loading or overfull samplers; all others from a
queue at one sampler.
Shown by: `item_sent`, `scoring_sent` (the load in `reason`). Held by: tests/jobs/test_places.py,
test_dispatcher.py.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.engine_memory import NOTHING, EngineMemory, RunSize
from crankseam.serving.paces import SamplerPaces

DEFAULT_SLOTS = 8
"""Requests that a sampler works on at the same time if discovery does not tell; origin not
recorded."""


def slots_of(back_end: BackEnd) -> int:
    """How many requests it works on at the same time."""
    return back_end.record.slots or DEFAULT_SLOTS


def may_serve(back_end: BackEnd, model: str, min_version: int, only_version: int) -> bool:
    """Whether its weight version suits; `only_version` is 0 if any from `min_version` on does."""
    if not model:
        return True
    version = back_end.version_of(model)
    return version == only_version if only_version else version >= min_version


@dataclass(frozen=True, slots=True)
class PlaceNeed:
    """What an item needs of a place.

    Attributes
    ==========

    rank : smaller ones go first.
    avoided : id of a sampler that the item was just moved away from; empty if none.
    is_long : the step waits for it: it goes to the fastest samplers first.
    slots_share : the part of a back end's slots that requests of this kind may fill.
    item : under which its run is counted at the back end; empty if it needs no memory there.
    """

    rank: tuple[float, ...]
    model: str = ""
    min_version: int = 0
    avoided: str = ""
    is_long: bool = False
    slots_share: float = 1.0
    item: str = ""
    size: RunSize = NOTHING


@dataclass(order=True, slots=True)
class PlaceRequest:
    """One item that waits for a place. Smaller ranks go first."""

    rank: tuple[float, ...]
    number: int
    need: PlaceNeed = field(compare=False)
    service: str = field(compare=False)
    only_version: int = field(compare=False)
    """The one version that may go on with the item's text; 0 if any may."""
    place: asyncio.Future[BackEnd] = field(compare=False)


class Cost(NamedTuple):
    """How little a sampler suits an item: compared field by field, in this order.

    Attributes
    ==========

    turned_slow : its events take much longer now than those of the service's others.
    lacks_memory : the item's run would not fit until its end beside those that are there.
    pace_class : by how many classes of pace it is slower than the fastest; 0 for an item that is
        not long.
    versions_behind : behind the newest weight version, so that it loads soon; 0 for an item that
        is not long.
    load : requests that are expected there.
    in_other_zone : not in this process's zone.
    tie_break : random, so that processes that know the same do not all choose the same one.
    """

    turned_slow: bool
    lacks_memory: bool
    pace_class: int
    versions_behind: int
    load: float
    in_other_zone: bool
    tie_break: float


class _Kind(NamedTuple):
    """Items for which all samplers cost the same."""

    service: str
    model: str
    min_version: int
    is_long: bool
    slots_share: float
    only_version: int
    size_step: int


MemoryFinder = Callable[[str], EngineMemory | None]
"""The memory of a service's samplers; None if that is not known."""
SIZE_STEP_EVENTS = 16
"""Runs whose events differ by less than this are placed alike: a queue is worked out for each kind,
and an event adds little memory. A choice, not measured by itself."""


@dataclass(frozen=True, slots=True)
class _Beliefs:
    """What a round believes of the samplers that may run one kind of item.

    Attributes
    ==========

    slow : ids of those that turned slow.
    classes : class of pace, by id; empty if it does not count.
    behind : weight versions behind the newest, by id; empty if it does not count.
    memory : of each sampler; None if it is not known or does not count.
    zone : of this process.
    now : monotonic time of the round.
    may_send : whether a sampler bears one more request now: a cold one bears few.
    """

    slow: set[str]
    classes: dict[str, int]
    behind: dict[str, int]
    memory: EngineMemory | None
    zone: str
    now: float
    may_send: Callable[[BackEnd, float], bool]


class _Queue:
    """Samplers that may run one kind of item, the best first.

    Loads only grow while places are given, so a cost that is out of date is too low: the sampler
    is put back with its new one when it comes up.

    Parameters
    ==========

    need : of the first such item; the runs of the others are of about the same size.
    """

    def __init__(self, back_ends: list[BackEnd], need: PlaceNeed, beliefs: _Beliefs) -> None:
        self._need = need
        self._beliefs = beliefs
        self._numbers = itertools.count()
        self._tie_breaks = {one.record.id: random.random() for one in back_ends}
        self._heap = [(self._cost(one), next(self._numbers), one) for one in back_ends]
        heapq.heapify(self._heap)

    def _cost(self, back_end: BackEnd) -> Cost:
        key, beliefs = back_end.record.id, self._beliefs
        return Cost(
            turned_slow=key in beliefs.slow,
            lacks_memory=self._lacks_memory(back_end),
            pace_class=beliefs.classes.get(key, 0),
            versions_behind=beliefs.behind.get(key, 0),
            load=back_end.expected_load(beliefs.now),
            in_other_zone=back_end.record.zone != beliefs.zone,
            tie_break=self._tie_breaks[key],
        )

    def _lacks_memory(self, back_end: BackEnd) -> bool:
        memory = self._beliefs.memory
        if memory is None:
            return False
        return not back_end.has_memory_for(self._need.size, memory, self._beliefs.now)

    def _has_room(self, back_end: BackEnd) -> bool:
        if not self._beliefs.may_send(back_end, self._beliefs.now):
            return False
        most = max(1.0, self._need.slots_share * slots_of(back_end))
        return back_end.expected_load(self._beliefs.now) < most

    def best(self, avoided: str) -> BackEnd | None:
        """The best sampler with room; an avoided one only when there is no other."""
        put_aside: tuple[Cost, int, BackEnd] | None = None
        found: BackEnd | None = None
        while self._heap and found is None:
            cost, _, back_end = heapq.heappop(self._heap)
            current = self._cost(back_end)
            if not self._has_room(back_end):
                continue
            entry = (current, next(self._numbers), back_end)
            if current > cost:
                heapq.heappush(self._heap, entry)
            elif back_end.record.id == avoided:
                put_aside = entry
            else:
                found = back_end
                heapq.heappush(self._heap, entry)
        if put_aside is not None:
            heapq.heappush(self._heap, put_aside)
            return found or put_aside[2]
        return found


class AssignmentRound:
    """Assigns places to many items at one moment.

    Parameters
    ==========

    zone : samplers there are preferred between equals.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        paces: SamplerPaces,
        zone: str,
        memory_of: MemoryFinder = lambda service: None,
    ) -> None:
        self._memory_of = memory_of
        self._registry = registry
        self._paces = paces
        self._zone = zone
        self._now = time.monotonic()
        self._queues: dict[_Kind, _Queue] = {}
        self._slow: dict[str, set[str]] = {}

    def take(self, request: PlaceRequest) -> BackEnd | None:
        """The sampler for a request; None while there is no room."""
        need = request.need
        kind = _Kind(
            request.service,
            need.model,
            need.min_version,
            need.is_long,
            need.slots_share,
            request.only_version,
            need.size.events // SIZE_STEP_EVENTS,
        )
        queue = self._queues.get(kind)
        if queue is None:
            queue = self._queues[kind] = self._make_queue(request)
        return queue.best(need.avoided)

    def _make_queue(self, request: PlaceRequest) -> _Queue:
        need = request.need
        service = self._registry.of_service(request.service)
        if request.service not in self._slow:
            self._slow[request.service] = self._paces.slow_ids(service)
        candidates = [
            one
            for one in service
            if one.avoid_until <= self._now
            and may_serve(one, need.model, need.min_version, request.only_version)
        ]
        beliefs = _Beliefs(
            self._slow[request.service],
            self._paces.classes(candidates) if need.is_long else {},
            _versions_behind(candidates, need.model) if need.is_long else {},
            self._memory_of(request.service) if need.item else None,
            self._zone,
            self._now,
            self._registry.may_send,
        )
        return _Queue(candidates, need, beliefs)


def _versions_behind(back_ends: list[BackEnd], model: str) -> dict[str, int]:
    """How far each sampler is behind the newest version of a model.

    One that is behind loads soon, which breaks its runs off.
    """
    versions = {one.record.id: one.version_of(model) for one in back_ends}
    newest = max(versions.values(), default=0)
    return {key: newest - version for key, version in versions.items()}
