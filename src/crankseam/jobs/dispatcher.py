"""Assigns the waiting items of this process's jobs to places at samplers, in order of rank.

A place is one request slot of a sampler.

Owns the queue of waiting items, and the counts of the places that this process holds at each
sampler (`in_flight`, `runs`). Relies on the registry for the samplers. The rules are in urgency.py
(order of the items), aging.py (exceptions from it), fairness/round_order.py (order among tenants),
place_targets.py (choice of the service), places.py (choice of the sampler) and migration.py
(migration of runs).
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import time
from operator import attrgetter

from crankseam.fairness.item_order import ItemFairness
from crankseam.fairness.round_order import RankOrder, RoundOrder
from crankseam.fairness.waits import WaitingRequest
from crankseam.jobs.aging import AgingQuota, WaitingLevel, aged_request
from crankseam.jobs.migration import max_pace_s
from crankseam.jobs.migration_requests import MigrationRequest, MigrationRequests
from crankseam.jobs.place_targets import TargetFinder, usable_services
from crankseam.jobs.places import (
    AssignmentRound,
    MemoryLookup,
    PlaceNeed,
    PlaceRequest,
    may_serve,
)
from crankseam.jobs.urgency import Urgency
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.expected_completion import CompletionEstimates, no_estimates
from crankseam.serving.isolation import log_left_out
from crankseam.serving.paces import SamplerPaces

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.05
"""Interval at which places are assigned while items wait, because neither a new load report nor the
end of a back end's avoidance wakes the dispatcher."""
RANK_INTERVAL_S = 0.25
"""Minimum time between two updates of the services and ranks of all waiting items; equal to the
interval at which ranks change."""

_ORDER = attrgetter("rank", "number")


class Dispatcher:
    """The process's queue of items; places no more requests at a sampler than it has slots.

    Args:
        zone: zone of this process; among otherwise equal samplers those in this zone are preferred.
        paces: observed paces of the samplers; a new, empty `SamplerPaces` if omitted.
        memory_of: returns the memory of each sampler of a service, None if unknown.
        fairness: shares the places among tenants; None if the items go by rank alone.
        estimates: time factors of the back ends of contended services.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        zone: str,
        paces: SamplerPaces | None = None,
        memory_of: MemoryLookup = lambda service: None,
        fairness: ItemFairness | None = None,
        estimates: CompletionEstimates | None = None,
    ) -> None:
        self._fairness = fairness
        self._estimates = estimates or no_estimates()
        self._memory_of = memory_of
        self._registry = registry
        self._zone = zone
        self._waiting: list[PlaceRequest] = []
        self._aging = AgingQuota()
        self._next_rank_at = float("-inf")
        self._request_numbers = itertools.count()
        self._wake = asyncio.Event()
        self.paces = paces if paces is not None else SamplerPaces()
        self._migrations = MigrationRequests(registry, self.paces, memory_of)
        self._usable_services: dict[tuple[tuple[str, ...], str, int, int], list[str]] = {}
        """See `usable_services`; the answers since the last change of the back ends or update."""
        registry.on_change += [self._wake.set, self._usable_services.clear]

    async def run(self) -> None:
        """Assign places until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_S if self._waiting else None):
                    await self._wake.wait()
            except TimeoutError:
                # Assign places even without a wake-up; see POLL_INTERVAL_S.
                pass
            self._wake.clear()
            self._assign_places()

    async def acquire(
        self,
        need: PlaceNeed,
        service: str,
        only_version: int = 0,
        urgency: Urgency | None = None,
        find_target: TargetFinder | None = None,
    ) -> BackEnd:
        """Wait for a place at a sampler of a service; the caller must release it.

        See PlaceNeed for `need` and PlaceRequest for `only_version`.

        Parameters
        ==========

        urgency : gives the rank during the wait; the rank of `need` if omitted.
        find_target : checks during the wait at which service the request waits; see
            place_targets.py. If omitted, the request stays at `service`.
        """
        place: asyncio.Future[BackEnd] = asyncio.get_running_loop().create_future()
        number = next(self._request_numbers)
        rank = urgency.rank() if urgency is not None else need.rank
        request = PlaceRequest(
            rank, number, need, service, only_version, place, urgency, find_target
        )
        self._waiting.append(request)
        self._wake.set()
        try:
            return await place
        except asyncio.CancelledError:
            if place.done() and not place.cancelled():
                self.release(place.result(), need.item)
            raise

    def release(self, back_end: BackEnd, item: str = "") -> None:
        """Release the place that an item holds at a back end."""
        back_end.release_slot()
        back_end.runs.pop(item, None)
        self._wake.set()

    def _assign_places(self) -> None:
        self._migrations.grant_all()
        round_ = AssignmentRound(
            self._registry, self.paces, self._zone, self._memory_of, self._estimates
        )
        self._update_waiting()
        self._waiting.sort(key=_ORDER)
        try:
            self._place_in_order(round_, self._round_order())
        except Exception:
            # The order among tenants failed: the rest of the round is assigned by rank alone.
            log_left_out("order_of_tenants", "all tenants")
            self._place_in_order(round_, RankOrder(self._waiting))
        self._waiting = [request for request in self._waiting if not request.place.done()]
        self._report_waits()

    def _place_in_order(self, round_: AssignmentRound, order: RankOrder | RoundOrder) -> None:
        aged: set[str] = set()
        while (request := order.next()) is not None:
            if request.place.done():
                continue
            try:
                if request.service not in aged and self._aging.is_due(request.service):
                    aged.add(request.service)
                    self._place_aged(round_, request, order)
                if not request.place.done():
                    self._place(round_, request, order)
            except Exception:
                log_left_out("item_place", request.need.item or request.service)

    def _update_waiting(self) -> None:
        """Update what the waiting requests depend on: their services and their ranks."""
        now = time.monotonic()
        if now < self._next_rank_at:
            return
        self._next_rank_at = now + RANK_INTERVAL_S
        self._update_targets(now)
        self._update_ranks()

    def _update_targets(self, now: float) -> None:
        self._usable_services.clear()
        redirected: dict[tuple[str, str], list[float]] = {}
        for request in self._waiting:
            if request.place.done():
                continue
            try:
                left = request.check_target()
            except Exception:
                log_left_out("place_target", request.need.item or request.service)
                continue
            if left:
                waits_s = redirected.setdefault((left, request.service), [])
                waits_s.append(now - request.need.since_s)
        for (left, service), waits_s in redirected.items():
            log.info(
                "wait_redirected",
                extra={
                    "service": service,
                    "left": left,
                    "waiting": len(waits_s),
                    "waited_s": round(max(waits_s), 3),
                },
            )

    def _update_ranks(self) -> None:
        for request in self._waiting:
            if request.urgency is None:
                continue
            try:
                request.rank = request.urgency.rank()
            except Exception:
                log_left_out("rank", request.need.item or request.service)

    def _round_order(self) -> RankOrder | RoundOrder:
        """Order in which the requests of this round are tried, which are sorted by rank."""
        if self._fairness is not None and self._fairness.is_active():
            return RoundOrder(self._waiting, self._fairness)
        return RankOrder(self._waiting)

    def _place(
        self,
        round_: AssignmentRound,
        request: PlaceRequest,
        order: RankOrder | RoundOrder,
        by_age: bool = False,
    ) -> None:
        """Assign a place to a request, if a suitable sampler has room."""
        back_end = round_.assign(request)
        if back_end is None:
            order.found_no_room(request)
            return
        back_end.occupy_slot()
        if request.need.item:
            back_end.runs[request.need.item] = request.need.size
        request.place.set_result(back_end)
        order.granted(request)
        if request.level() is not None:
            self._aging.granted(request.service, by_age)

    def _place_aged(
        self, round_: AssignmentRound, first: PlaceRequest, order: RankOrder | RoundOrder
    ) -> None:
        """Assign a place by age to a request that is less urgent than the first one."""
        waiting = {
            request.number: request
            for request in self._waiting
            if request.service == first.service and not request.place.done()
        }
        levels = [WaitingLevel(one.rank, one.number, one.level()) for one in waiting.values()]
        chosen = aged_request(first.level(), levels)
        if chosen is not None:
            self._place(round_, waiting[chosen.number], order, by_age=True)

    def _report_waits(self) -> None:
        """Report tenants that wait long, from time to time."""
        fairness = self._fairness
        if fairness is not None and fairness.is_active() and fairness.waits.is_due():
            fairness.waits.look(
                WaitingRequest(request.need.tenant, request.need.since_s)
                for request in self._waiting
            )

    def is_registered(self, back_end_id: str) -> bool:
        """Whether discovery lists a back end with this id."""
        return self._registry.by_id(back_end_id) is not None

    # --- migrations

    def request_migration(
        self,
        request: MigrationRequest | None,
        back_end: BackEnd,
        need: PlaceNeed,
        only_version: int = 0,
    ) -> MigrationRequest | None:
        """Request a place at a faster sampler, by the rule of migration.py.

        Samplers whose pace is unknown are not considered. Without a pace of the run's own sampler,
        the request is returned unchanged.

        Parameters
        ==========

        request : the run's open request, which is updated; None creates a new one.
        back_end : the run's current sampler.
        need : current need of the run; `size` holds the number of events generated so far.
        only_version : see PlaceRequest; takes effect only if a new request is created.
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
        """End a request.

        Returns the sampler at which a place was granted, if any; the caller must release the place.
        """
        return self._migrations.withdraw(request)

    def is_version_available(self, service: str, model: str, version: int) -> bool:
        """Whether a sampler of a service has exactly this version of a model."""
        return any(
            back_end.version_of(model) == version for back_end in self._registry.of_service(service)
        )

    def usable_services(self, services: list[str], need: PlaceNeed, version: int) -> list[str]:
        """Those of a route's services at which a request may wait; see place_targets.py.

        Parameters
        ==========

        version : the only suitable weight version; 0 if any is.
        """
        key = (tuple(services), need.model, need.min_version, version)
        usable = self._usable_services.get(key)
        if usable is None:
            usable = self._usable_services[key] = usable_services(
                self._registry,
                services,
                lambda back_end: may_serve(back_end, need.model, need.min_version, version),
            )
        return usable

    def is_current(self, back_end: BackEnd) -> bool:
        """Whether new work may be sent to this back end now."""
        return self._registry.is_current(back_end)
