"""Finds places at the back ends of a route, and allows for changes of the route during the wait.

Owns no state: a place that it acquires is released when the caller leaves its context. Relies on
the dispatcher for places, on place_targets.py to choose among the services of a route, and on the
newest configuration, which is read again during and after each wait.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.place_targets import PlaceTarget, choose_service
from crankseam.jobs.places import PlaceNeed
from crankseam.jobs.urgency import Urgency
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.routes import Route, TrafficSplitter

ROUTE_POLL_INTERVAL_S = 0.2
"""Interval at which the newest configuration is checked for a route that is missing."""


@dataclass(frozen=True, slots=True)
class RoutedPlace:
    """A place that is held, and the route that led to its back end."""

    route: Route
    back_end: BackEnd


class RoutedPlaces:
    """Acquires places for one process's items and scoring requests by their routes."""

    def __init__(self, dispatcher: Dispatcher, splitter: TrafficSplitter) -> None:
        self._dispatcher = dispatcher
        self._splitter = splitter

    @asynccontextmanager
    async def hold(
        self,
        find_route: Callable[[], Route | None],
        need: PlaceNeed,
        only_version: Callable[[], int] = lambda: 0,
        reserved: BackEnd | None = None,
        urgency: Urgency | None = None,
    ) -> AsyncGenerator[RoutedPlace, None]:
        """Wait for a place, hold it for the duration of the context, then release it.

        Parameters
        ==========

        find_route : returns the route in the newest configuration, None if there is none.
        need : what the place must offer; see PlaceNeed.
        only_version : returns the only suitable weight version, 0 if any is; see PlaceRequest. It
            is called again during the wait, since samplers replace a version by a newer one.
        reserved : back end of a place that is already held. The place is used if the route still
            leads to the back end and the back end takes new work; otherwise it is released.
        urgency : gives the rank during the wait; the rank of `need` if omitted.
        """
        place = self._use_reserved(reserved, find_route(), need) if reserved is not None else None
        if place is None:
            place = await self._acquire(find_route, need, only_version, urgency)
        try:
            yield place
        finally:
            self._dispatcher.release(place.back_end, need.item)

    def _use_reserved(
        self, reserved: BackEnd, route: Route | None, need: PlaceNeed
    ) -> RoutedPlace | None:
        if (
            route is not None
            and route.sends_to(reserved.record.service)
            and self._dispatcher.is_current(reserved)
        ):
            return RoutedPlace(route, reserved)
        self._dispatcher.release(reserved, need.item)
        return None

    async def _acquire(
        self,
        find_route: Callable[[], Route | None],
        need: PlaceNeed,
        only_version: Callable[[], int],
        urgency: Urgency | None,
    ) -> RoutedPlace:
        def find_target(current: PlaceTarget | None) -> PlaceTarget | None:
            route = find_route()
            if route is None:
                return None
            version = only_version()
            usable = self._dispatcher.usable_services(route.weighted_services(), need, version)
            return PlaceTarget(choose_service(route, usable, current, self._splitter), version)

        while True:
            target = find_target(None)
            if target is None:
                await asyncio.sleep(ROUTE_POLL_INTERVAL_S)
                continue
            back_end = await self._dispatcher.acquire(
                need, target.service, target.only_version, urgency, find_target
            )
            # The route may have changed since the wait was last checked.
            route = find_route()
            if route is not None and route.sends_to(back_end.record.service):
                return RoutedPlace(route, back_end)
            self._dispatcher.release(back_end, need.item)
