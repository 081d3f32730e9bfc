"""Choice of the sampler for a waiting item: the suitable one with room that has the lowest cost.

Inputs: the load of each sampler (requests of this process, and those of other processes by a load
report that is at most 1.5 s old), its pace, weight version, zone and memory, all as known to this
process at the time of the assignment round; at a contended service its time factor
(`serving.expected_completion`); the item's need.
Rule: a sampler is no candidate while it is avoided, while it has no free slot for this kind of
item, while it is cold and this process has used up its share of requests there, or if its weight
version is unsuitable. The candidates are ordered by `Cost`, compared field by field. The sampler
where the item's previous attempt failed, or from which it was just migrated, is chosen only if
there is no other candidate.
Purpose: keeps the longest items of a step away from samplers that are slow, overloaded or about to
load a weight version, and spreads all other items so that no sampler builds up a queue. At a
contended service, items and scoring requests go where they are done soonest.
Logged as: `item_sent`, `scoring_sent` (with the load in `reason` of `item_sent`).
Tested by: tests/jobs/test_places.py, test_dispatcher.py, test_contended_places.py.
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

from crankseam.jobs.place_targets import PlaceTarget, TargetFinder
from crankseam.jobs.urgency import Urgency
from crankseam.serving.back_ends import BackEnd, BackEndRegistry, slots_of
from crankseam.serving.engine_memory import EMPTY_RUN, EngineMemory, RunSize
from crankseam.serving.expected_completion import (
    CompletionEstimates,
    TimeFactors,
    completion_at,
    no_estimates,
)
from crankseam.serving.isolation import log_left_out
from crankseam.serving.paces import SamplerPaces
from crankseam.serving.tenants import NO_TENANT

COMPLETION_DECIMALS = 1
"""Decimal places of an expected completion, in service times, by which samplers are compared.
Without rounding, they would rarely be equal and the zone would never decide."""


def may_serve(back_end: BackEnd, model: str, min_version: int, only_version: int) -> bool:
    """Whether a back end's weight version is suitable.

    Parameters
    ==========

    model : empty if any version is suitable.
    min_version : oldest suitable version; applies if `only_version` is 0.
    only_version : the only suitable version; 0 for any version from `min_version` on.
    """
    if not model:
        return True
    version = back_end.version_of(model)
    return version == only_version if only_version else version >= min_version


@dataclass(frozen=True, slots=True)
class PlaceNeed:
    """Requirements of an item or a scoring request for its place.

    Attributes
    ==========

    rank : sort key; the smallest is served first.
    avoided : id of the back end where the previous attempt failed, or from which the item was just
        migrated; it is chosen only if there is no other. Empty if none.
    is_long : whether the step is likely to wait for the item, which then prefers the fastest
        samplers.
    slots_share : share of a back end's slots that requests of this kind may fill.
    item : id under which the back end's memory use counts the run; empty for a request that needs
        no memory there.
    size : size of the run, for the memory check.
    tenant : name of the tenant to which the item belongs; empty if there is none.
    work_s : seconds that the tenant is charged for the place; see fairness/item_order.py.
    since_s : monotonic time since which the item waits for a place.
    """

    rank: tuple[float, ...]
    model: str = ""
    min_version: int = 0
    avoided: str = ""
    is_long: bool = False
    slots_share: float = 1.0
    item: str = ""
    size: RunSize = EMPTY_RUN
    tenant: str = NO_TENANT
    work_s: float = 0.0
    since_s: float = field(default_factory=time.monotonic, compare=False)


SIZE_BUCKET_EVENTS = 16
"""Runs are grouped by their number of events into buckets of this width, and those of one bucket
are placed alike. A queue is computed for each kind of item, and a single event adds little
memory."""


class ItemKind(NamedTuple):
    """Key of items for which each sampler has the same cost, and the same room."""

    service: str
    model: str
    min_version: int
    is_long: bool
    slots_share: float
    only_version: int
    size_bucket: int


@dataclass(order=True, slots=True)
class PlaceRequest:
    """A request for a place that is waiting, ordered by rank and then by number.

    Attributes
    ==========

    number : position in the order of arrival.
    service : name of the service whose samplers are considered.
    place : receives the chosen sampler.
    urgency : gives the rank during the wait; None if the rank stays.
    find_target : checks the service and version during the wait; None if they stay.
    kind : kind of the item, by its need.
    """

    rank: tuple[float, ...]
    number: int
    need: PlaceNeed = field(compare=False)
    service: str = field(compare=False)
    only_version: int = field(compare=False)
    """The only weight version that may continue the item's text; 0 if any version may."""
    place: asyncio.Future[BackEnd] = field(compare=False)
    urgency: Urgency | None = field(default=None, compare=False)
    find_target: TargetFinder | None = field(default=None, compare=False)
    kind: ItemKind = field(init=False, compare=False)

    def __post_init__(self) -> None:
        self.kind = self._kind()

    def check_target(self) -> str:
        """Find out where to wait now; returns the service that was left, empty if it stays.

        Without a route, the request stays where it is: the route may come back.
        """
        current = PlaceTarget(self.service, self.only_version)
        target = self.find_target(current) if self.find_target is not None else None
        if target is None or target == current:
            return ""
        self.service, self.only_version = target
        self.kind = self._kind()
        return current.service if current.service != self.service else ""

    def _kind(self) -> ItemKind:
        need = self.need
        return ItemKind(
            self.service,
            need.model,
            need.min_version,
            need.is_long,
            need.slots_share,
            self.only_version,
            need.size.events // SIZE_BUCKET_EVENTS,
        )

    def level(self) -> int | None:
        """See Urgency."""
        return self.urgency.level() if self.urgency is not None else None


class Cost(NamedTuple):
    """Cost of placing an item at a sampler, compared field by field in this order.

    Attributes
    ==========

    is_slow : whether the sampler's recent pace is much longer than the paces of the service's other
        samplers.
    lacks_memory : whether the sampler's memory is not expected to hold the item's run until its
        end, beside the runs that are already there.
    pace_class : number of pace classes by which the sampler is slower than the fastest one; 0 if
        the item is not long.
    versions_behind : number of weight versions by which the sampler is behind the newest one, in
        which case it will soon load that version; 0 if the item is not long.
    load : expected number of requests at the sampler; at a contended service the expected
        completion of one more, in service times, which grows with their number.
    in_other_zone : whether the sampler is outside this process's zone.
    tie_break : random number, so that processes with the same knowledge do not all choose the same
        sampler.
    """

    is_slow: bool
    lacks_memory: bool
    pace_class: int
    versions_behind: int
    load: float
    in_other_zone: bool
    tie_break: float


MemoryLookup = Callable[[str], EngineMemory | None]
"""Returns the memory of each sampler of a service; None if unknown."""


@dataclass(frozen=True, slots=True)
class _RoundView:
    """State of the samplers for one kind of item, as of one assignment round.

    Attributes
    ==========

    slow : ids of the samplers that are slow now; see `Cost.is_slow`.
    classes : pace class by sampler id; empty if it is ignored for this kind of item.
    versions_behind : number of weight versions behind the newest one, by sampler id; empty if it is
        ignored for this kind of item.
    memory : memory of each sampler; None if it is unknown or ignored for this kind of item.
    zone : zone of this process.
    now : monotonic time of the round.
    may_send : whether this process may send one more request to a sampler now; limits requests to
        cold samplers.
    time_factors : time factors of the samplers; None if the service is not contended. They are
        fixed for the round, so that costs only grow during it.
    """

    slow: set[str]
    classes: dict[str, int]
    versions_behind: dict[str, int]
    memory: EngineMemory | None
    zone: str
    now: float
    may_send: Callable[[BackEnd, float], bool]
    time_factors: TimeFactors | None

    def cost_of_load(self, back_end: BackEnd) -> float:
        """Return `Cost.load` of a sampler."""
        if self.time_factors is None:
            return back_end.expected_load(self.now)
        time_factor = self.time_factors.get(back_end.record.id, 1.0)
        return round(completion_at(back_end, time_factor, self.now), COMPLETION_DECIMALS)


class _Queue:
    """Priority queue of the samplers that may run one kind of item, the lowest cost first.

    Loads only grow during a round, so an outdated cost is always too low. A sampler whose cost
    proves outdated when it reaches the head of the queue is pushed back with its current cost.

    Parameters
    ==========

    need : need of the first item of this kind; the runs of the others have about the same size.
    """

    def __init__(self, back_ends: list[BackEnd], need: PlaceNeed, view: _RoundView) -> None:
        self._need = need
        self._view = view
        self._entry_numbers = itertools.count()
        self._tie_breaks = {back_end.record.id: random.random() for back_end in back_ends}
        self._heap: list[tuple[Cost, int, BackEnd]] = []
        for back_end in back_ends:
            try:
                self._heap.append((self._cost(back_end), next(self._entry_numbers), back_end))
            except Exception:
                log_left_out("place", back_end.record.id)
        heapq.heapify(self._heap)

    def _cost(self, back_end: BackEnd) -> Cost:
        key, view = back_end.record.id, self._view
        return Cost(
            is_slow=key in view.slow,
            lacks_memory=self._lacks_memory(back_end),
            pace_class=view.classes.get(key, 0),
            versions_behind=view.versions_behind.get(key, 0),
            load=view.cost_of_load(back_end),
            in_other_zone=back_end.record.zone != view.zone,
            tie_break=self._tie_breaks[key],
        )

    def _lacks_memory(self, back_end: BackEnd) -> bool:
        memory = self._view.memory
        if memory is None:
            return False
        return not back_end.has_memory_for(self._need.size, memory, self._view.now)

    def _has_room(self, back_end: BackEnd) -> bool:
        if not self._view.may_send(back_end, self._view.now):
            return False
        max_load = max(1.0, self._need.slots_share * slots_of(back_end))
        return back_end.expected_load(self._view.now) < max_load

    def best(self, avoided: str) -> BackEnd | None:
        """The cheapest sampler with room; the avoided one only if no other has room."""
        avoided_entry: tuple[Cost, int, BackEnd] | None = None
        found: BackEnd | None = None
        while self._heap and found is None:
            cost, _, back_end = heapq.heappop(self._heap)
            current = self._cost(back_end)
            if not self._has_room(back_end):
                continue
            entry = (current, next(self._entry_numbers), back_end)
            if current > cost:
                heapq.heappush(self._heap, entry)
            elif back_end.record.id == avoided:
                avoided_entry = entry
            else:
                found = back_end
                heapq.heappush(self._heap, entry)
        if avoided_entry is not None:
            heapq.heappush(self._heap, avoided_entry)
            return found or avoided_entry[2]
        return found


class AssignmentRound:
    """Assigns places to many items in one round, for a fixed time.

    Parameters
    ==========

    zone : zone of this process; among otherwise equal samplers those in this zone are preferred.
    estimates : time factors of the samplers of contended services.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        paces: SamplerPaces,
        zone: str,
        memory_of: MemoryLookup = lambda service: None,
        estimates: CompletionEstimates | None = None,
    ) -> None:
        self._estimates = estimates or no_estimates()
        self._memory_of = memory_of
        self._registry = registry
        self._paces = paces
        self._zone = zone
        self._now = time.monotonic()
        self._queues: dict[ItemKind, _Queue] = {}
        self._slow_ids: dict[str, set[str]] = {}
        self._time_factors: dict[str, TimeFactors | None] = {}

    def assign(self, request: PlaceRequest) -> BackEnd | None:
        """The sampler for a request; None if no suitable one has room."""
        queue = self._queues.get(request.kind)
        if queue is None:
            queue = self._queues[request.kind] = self._make_queue(request)
        return queue.best(request.need.avoided)

    def _make_queue(self, request: PlaceRequest) -> _Queue:
        need = request.need
        service = self._registry.of_service(request.service)
        if request.service not in self._slow_ids:
            self._slow_ids[request.service] = self._paces.slow_ids(service)
            self._time_factors[request.service] = self._estimates.time_factors(
                request.service, service, self._now
            )
        candidates = [
            back_end
            for back_end in service
            if back_end.avoid_until <= self._now
            and may_serve(back_end, need.model, need.min_version, request.only_version)
        ]
        view = _RoundView(
            self._slow_ids[request.service],
            self._paces.classes(candidates) if need.is_long else {},
            _versions_behind(candidates, need.model) if need.is_long else {},
            self._memory_of(request.service) if need.item else None,
            self._zone,
            self._now,
            self._registry.may_send,
            self._time_factors_for(request),
        )
        return _Queue(candidates, need, view)

    def _time_factors_for(self, request: PlaceRequest) -> TimeFactors | None:
        """Time factors of the samplers for one kind of item; None if load alone decides.

        Items go by load where samplers report no slowdown: there paces differ little, slow samplers
        and those for long items are told apart by other fields of `Cost`, and a small difference of
        paces would hide one of load.
        """
        if request.need.item and not self._registry.reports_slowdown(request.service):
            return None
        return self._time_factors[request.service]


def _versions_behind(back_ends: list[BackEnd], model: str) -> dict[str, int]:
    """Number of versions of a model by which each sampler is behind the newest one, by sampler id.

    A sampler that is behind will soon load the newest version, which interrupts its runs.
    """
    versions = {back_end.record.id: back_end.version_of(model) for back_end in back_ends}
    newest = max(versions.values(), default=0)
    return {key: newest - version for key, version in versions.items()}
