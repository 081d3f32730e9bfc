"""A place at a back end to which a route leads, also when routes change meanwhile."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager

from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.places import PlaceNeed
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.routes import Route, TrafficSplitter

NO_ROUTE_PAUSE_S = 0.2
"""How often the newest configuration is asked for a route that is not there."""
VERSION_LOOK_S = 0.5
"""How often an item that waits for one version looks whether a sampler still carries it."""


@asynccontextmanager
async def routed_place(
    dispatcher: Dispatcher,
    splitter: TrafficSplitter,
    find_route: Callable[[], Route | None],
    need: PlaceNeed,
    only_version: Callable[[], int] = lambda: 0,
    reserved: BackEnd | None = None,
) -> AsyncGenerator[tuple[Route, BackEnd], None]:
    """Wait for a place and give it back afterwards. See PlaceNeed.

    Parameters
    ==========

    find_route : the route in the newest configuration; None while there is none.
    only_version : asked anew now and then, since the samplers of a version load newer ones.
    reserved : a place that was taken already; used if it still serves.
    """
    route, back_end = find_route(), reserved
    if back_end is not None and not (
        route is not None
        and route.leads_to(back_end.record.service)
        and dispatcher.is_current(back_end)
    ):
        dispatcher.release(back_end, need.item)
        back_end = None
    while route is None or back_end is None:
        route = find_route()
        if route is None:
            await asyncio.sleep(NO_ROUTE_PAUSE_S)
            continue
        service = splitter.pick(route)
        version = only_version()
        try:
            async with asyncio.timeout(VERSION_LOOK_S if version else None):
                back_end = await dispatcher.acquire(need, service, version)
        except TimeoutError:
            continue
        # The configuration may have changed during the wait.
        route = find_route()
        if route is None or not route.leads_to(service):
            dispatcher.release(back_end, need.item)
            back_end = None
    try:
        yield route, back_end
    finally:
        dispatcher.release(back_end, need.item)
