"""Grants places at faster samplers to runs at slow ones; see migration.py for the rule.

Owns the open migration requests of this process's runs. Relies on the registry of samplers, their
paces and their memory. A granted place occupies a slot of the sampler immediately, so that no other
item of this process is placed there.
"""

from __future__ import annotations

import itertools
import time
from dataclasses import dataclass

from crankseam.jobs.migration import PACE_ORDER_MAX_AGE_S
from crankseam.jobs.places import MemoryLookup, PlaceNeed, may_serve
from crankseam.serving.back_ends import BackEnd, BackEndRegistry, slots_of
from crankseam.serving.isolation import log_left_out
from crankseam.serving.paces import SamplerPaces


@dataclass(slots=True, eq=False)
class MigrationRequest:
    """Request of a run to be resumed at a faster sampler.

    Attributes
    ==========

    only_version : see PlaceRequest.
    max_pace_s : pace, in seconds between events, that the other sampler must stay below.
    granted : sampler at which a place has been granted to the run and a slot is occupied for it;
        None while the request is open.
    """

    service: str
    need: PlaceNeed
    only_version: int
    max_pace_s: float
    granted: BackEnd | None = None


class MigrationRequests:
    """The open migration requests of one process's runs."""

    def __init__(
        self,
        registry: BackEndRegistry,
        paces: SamplerPaces,
        memory_of: MemoryLookup = lambda service: None,
    ) -> None:
        self._memory_of = memory_of
        self._registry = registry
        self._paces = paces
        self._open: dict[int, MigrationRequest] = {}
        """Requests that have not been granted, by `id()` of the request."""
        self._pace_order: dict[str, tuple[float, list[tuple[float, BackEnd]]]] = {}
        """By service: the monotonic time at which the order was computed, and the samplers with
        their paces, the fastest first."""

    def put(self, request: MigrationRequest) -> None:
        """Add or update a request, and grant it if a faster sampler has room."""
        if request.granted is None:
            self._open[id(request)] = request
            self._grant(request)

    def withdraw(self, request: MigrationRequest) -> BackEnd | None:
        """Remove a request.

        Returns the sampler at which a place was granted, if any; the caller must release the place.
        """
        self._open.pop(id(request), None)
        granted, request.granted = request.granted, None
        return granted

    def grant_all(self) -> None:
        """Grant all requests for which there is room, those with the most events first."""
        for request in sorted(self._open.values(), key=lambda one: -one.need.size.events):
            try:
                self._grant(request)
            except Exception:
                log_left_out("migration", request.need.item)

    def _grant(self, request: MigrationRequest) -> None:
        need = request.need
        faster = itertools.takewhile(
            lambda pair: pair[0] < request.max_pace_s, self._fastest_first(request.service)
        )
        free = [back_end for _, back_end in faster if self._has_room(back_end, request)]
        if not free:
            return
        # A sampler that is behind the newest version will load it soon, which interrupts its runs.
        newest = max(back_end.version_of(need.model) for back_end in free)
        chosen = min(free, key=lambda back_end: newest - back_end.version_of(need.model))
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
            # A cold sampler is slow itself, and by the time the run uses the place, this process
            # may have spent its share of requests there.
            return False
        if back_end.expected_load(now) >= slots_of(back_end):
            return False
        memory = self._memory_of(request.service) if need.item else None
        if memory is not None and not back_end.has_memory_for(need.size, memory, now):
            return False
        return may_serve(back_end, need.model, need.min_version, request.only_version)

    def _fastest_first(self, service: str) -> list[tuple[float, BackEnd]]:
        """See SamplerPaces.fastest_first; cached, since every search of every run needs it."""
        now = time.monotonic()
        computed_at, order = self._pace_order.get(service, (float("-inf"), []))
        if now - computed_at > PACE_ORDER_MAX_AGE_S:
            order = self._paces.fastest_first(self._registry.of_service(service))
            self._pace_order[service] = (now, order)
        return order
