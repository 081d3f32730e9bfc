"""Places at the back ends to which a route leads, also when routes change meanwhile.

Owns nothing: a place that it takes is given back when its holder is done. Relies on the dispatcher
for places, on the splitter for the service of a route that leads to several, and on the newest
configuration, which is asked again after each wait.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.places import PlaceNeed
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.routes import Route, TrafficSplitter

NO_ROUTE_PAUSE_S = 0.2
"""How often the newest configuration is asked for a route that is not there. Origin not
recorded."""
VERSION_LOOK_S = 0.5
"""How often an item that waits for one version looks whether a sampler still carries it. Origin not
recorded."""


@dataclass(frozen=True, slots=True)
class RoutedPlace:
    """A place that is held, and the route by which it was found."""

    route: Route
    back_end: BackEnd


class RoutedPlaces:
    """Finds places by routes."""

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
    ) -> AsyncGenerator[RoutedPlace, None]:
        """Wait for a place and give it back afterwards. See PlaceNeed.

        Parameters
        ==========

        find_route : the route in the newest configuration; None while there is none.
        only_version : asked anew now and then, since the samplers of a version load newer ones.
        reserved : a place that was taken already; used if it still serves, else given back.
        """
        place = self._use(reserved, find_route(), need) if reserved is not None else None
        if place is None:
            place = await self._acquire(find_route, need, only_version)
        try:
            yield place
        finally:
            self._dispatcher.release(place.back_end, need.item)

    def _use(self, reserved: BackEnd, route: Route | None, need: PlaceNeed) -> RoutedPlace | None:
        if (
            route is not None
            and route.leads_to(reserved.record.service)
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
    ) -> RoutedPlace:
        while True:
            route = find_route()
            if route is None:
                await asyncio.sleep(NO_ROUTE_PAUSE_S)
                continue
            service = self._splitter.pick(route)
            version = only_version()
            try:
                async with asyncio.timeout(VERSION_LOOK_S if version else None):
                    back_end = await self._dispatcher.acquire(need, service, version)
            except TimeoutError:
                # The version may be gone: look again.
                continue
            # The configuration may have changed during the wait.
            route = find_route()
            if route is not None and route.leads_to(service):
                return RoutedPlace(route, back_end)
            self._dispatcher.release(back_end, need.item)
