"""Gives waiting items of all this process's jobs a place at a sampler, in order of urgency.

Owns the queue of waiting items and the count of places that this process holds at each sampler
(`in_flight`, `runs`). Relies on the registry for the samplers; the rules are those of urgency.py
(who goes first), places.py (which sampler) and migration.py (runs that are under way).
"""

from __future__ import annotations

import asyncio
import heapq
import itertools

from crankseam.jobs.migration import max_pace_s
from crankseam.jobs.migration_requests import MigrationRequest, MigrationRequests
from crankseam.jobs.places import AssignmentRound, MemoryFinder, PlaceNeed, PlaceRequest
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.paces import SamplerPaces

LOOK_AGAIN_S = 0.05
"""Seconds between two looks while items wait: reports of load and the ends of pauses wake nobody.
Origin not recorded."""


class Dispatcher:
    """One queue for the process. Samplers are filled up to their slots, not beyond.

    Args:
        zone: where this process runs; samplers there are preferred between equals.
        paces: how fast samplers are; its own without one.
        memory_of: the memory of a service's samplers, if that is known.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        zone: str,
        paces: SamplerPaces | None = None,
        memory_of: MemoryFinder = lambda service: None,
    ) -> None:
        self._memory_of = memory_of
        self._registry = registry
        self._zone = zone
        self._waiting: list[PlaceRequest] = []
        self._numbers = itertools.count()
        self._wake = asyncio.Event()
        self.paces = paces if paces is not None else SamplerPaces()
        self._migrations = MigrationRequests(registry, self.paces, memory_of)
        registry.on_change.append(self._wake.set)

    async def run(self) -> None:
        """Give places until cancelled."""
        while True:
            try:
                async with asyncio.timeout(LOOK_AGAIN_S if self._waiting else None):
                    await self._wake.wait()
            except TimeoutError:
                # Nothing woke it: look again.
                pass
            self._wake.clear()
            self._give_places()

    async def acquire(self, need: PlaceNeed, service: str, only_version: int = 0) -> BackEnd:
        """Wait for a place; the caller must release it. See PlaceNeed and PlaceRequest."""
        place: asyncio.Future[BackEnd] = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        request = PlaceRequest(need.rank, number, need, service, only_version, place)
        heapq.heappush(self._waiting, request)
        self._wake.set()
        try:
            return await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self.release(place.result(), need.item)
            raise

    def release(self, back_end: BackEnd, item: str = "") -> None:
        """Give an item's place back."""
        back_end.release_slot()
        back_end.runs.pop(item, None)
        self._wake.set()

    def _give_places(self) -> None:
        self._migrations.grant_all()
        round_ = AssignmentRound(self._registry, self.paces, self._zone, self._memory_of)
        left: list[PlaceRequest] = []
        while self._waiting:
            request = heapq.heappop(self._waiting)
            if request.place.done():
                continue
            back_end = round_.take(request)
            if back_end is None:
                left.append(request)
                continue
            back_end.occupy_slot()
            if request.need.item:
                back_end.runs[request.need.item] = request.need.size
            request.place.set_result(back_end)
        self._waiting = left

    def knows(self, back_end_id: str) -> bool:
        """Whether a back end of this id is in discovery."""
        return self._registry.by_id(back_end_id) is not None

    # --- migrations

    def request_migration(
        self,
        request: MigrationRequest | None,
        back_end: BackEnd,
        need: PlaceNeed,
        only_version: int = 0,
    ) -> MigrationRequest | None:
        """Ask for a place at a sampler that is faster, as migration.py has it.

        The paces of others must be known: an unknown one is no promise.

        Parameters
        ==========

        request : the run's request so far, which is brought up to date.
        back_end : where the run is now.
        need : of the run as it is now; `size` tells how many events it has made.
        only_version : see PlaceRequest; as it was when the run asked first.
        """
        steady_s, recent_s = self.paces.steady_s(back_end), self.paces.recent_s(back_end)
        if steady_s is None or recent_s is None:
            return request
        pace_s = max_pace_s(steady_s, recent_s, need.is_long)
        if request is None:
            request = MigrationRequest(back_end.record.service, need, only_version, pace_s)
        request.need, request.max_pace_s = need, pace_s
        self._migrations.put(request)
        return request

    def end_migration(self, request: MigrationRequest) -> BackEnd | None:
        """End a request; the place that it was granted must be released by the caller."""
        return self._migrations.withdraw(request)

    def is_carried(self, service: str, model: str, version: int) -> bool:
        """Whether a sampler of a service carries this very version of a model."""
        return any(one.version_of(model) == version for one in self._registry.of_service(service))

    def is_current(self, back_end: BackEnd) -> bool:
        """Whether new work may be sent to this back end now."""
        return self._registry.is_current(back_end)
