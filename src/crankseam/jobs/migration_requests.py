"""Places at faster samplers for runs that are under way at slow ones; see migration.py for the
rule.

Owns the open requests of this process's runs. Relies on the registry of samplers, their paces and
their memory. A granted place is counted at the sampler at once, so that nobody else takes it.
"""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass

from crankseam.jobs.migration import PACE_ORDER_MAX_AGE_S
from crankseam.jobs.places import MemoryFinder, PlaceNeed, may_serve, slots_of
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.paces import SamplerPaces


@dataclass(slots=True, eq=False)
class MigrationRequest:
    """A run that would go on at a sampler of a shorter pace.

    Attributes
    ==========

    only_version : see PlaceRequest.
    longest_pace_s : seconds between events that another sampler must stay below.
    granted : a place that is the run's already, taken at that sampler.
    """

    service: str
    need: PlaceNeed
    only_version: int
    max_pace_s: float
    granted: BackEnd | None = None


class MigrationRequests:
    """The open requests of one process's runs."""

    def __init__(
        self,
        registry: BackEndRegistry,
        paces: SamplerPaces,
        memory_of: MemoryFinder = lambda service: None,
    ) -> None:
        self._memory_of = memory_of
        self._registry = registry
        self._paces = paces
        self._open: dict[int, MigrationRequest] = {}
        """Requests without a place, by identity."""
        self._fastest: dict[str, tuple[float, list[tuple[float, BackEnd]]]] = {}
        """Samplers by pace and when that was worked out, by service."""

    def put(self, request: MigrationRequest) -> None:
        """Add a request, or a new state of it, and grant it if there is room now."""
        if request.granted is None:
            self._open[id(request)] = request
            self._grant(request)

    def withdraw(self, request: MigrationRequest) -> BackEnd | None:
        """End a request; the place that it was granted, which is the caller's from now on."""
        self._open.pop(id(request), None)
        granted, request.granted = request.granted, None
        return granted

    def grant_all(self) -> None:
        """Grant what can be granted by now, the longest run first."""
        for request in sorted(self._open.values(), key=lambda one: -one.need.size.events):
            self._grant(request)

    def _grant(self, request: MigrationRequest) -> None:
        need = request.need
        faster = itertools.takewhile(
            lambda pair: pair[0] < request.max_pace_s, self._fastest_first(request.service)
        )
        free = [one for _, one in faster if self._has_room(one, request)]
        if not free:
            return
        # A sampler that is behind the newest version loads soon, which breaks its runs off.
        newest = max(one.version_of(need.model) for one in free)
        chosen = min(free, key=lambda one: newest - one.version_of(need.model))
        chosen.occupy_slot()
        if need.item:
            chosen.runs[need.item] = need.size
        request.granted = chosen
        del self._open[id(request)]

    def _has_room(self, back_end: BackEnd, request: MigrationRequest) -> bool:
        need = request.need
        now = time.monotonic()
        if back_end.avoid_until > now or not self._registry.is_current(back_end):
            return False
        if back_end.cold.is_cold(now):
            return False  # slow itself, and the place might be used when its share is spent
        if back_end.expected_load(now) >= slots_of(back_end):
            return False
        memory = self._memory_of(request.service) if need.item else None
        if memory is not None and not back_end.has_memory_for(need.size, memory, now):
            return False
        return may_serve(back_end, need.model, need.min_version, request.only_version)

    def _fastest_first(self, service: str) -> list[tuple[float, BackEnd]]:
        """See SamplerPaces; worked out now and then, since each event of each run asks."""
        now = time.monotonic()
        worked_out_at, found = self._fastest.get(service, (float("-inf"), []))
        if now - worked_out_at > PACE_ORDER_MAX_AGE_S:
            found = self._paces.fastest_first(self._registry.of_service(service))
            self._fastest[service] = (now, found)
        return found
