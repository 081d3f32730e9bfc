"""Places by routes: use or release of a reserved place, and changes of the route during a wait."""

import asyncio
from dataclasses import replace

import pytest

from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.places import PlaceNeed
from crankseam.jobs.routed_places import RoutedPlaces
from crankseam.serving.routes import Share, TrafficSplitter
from tests.jobs.factories import make_registry, make_route
from tests.support.waiting import eventually

NEED = PlaceNeed((0.0,), "m", 1)
ELSEWHERE = replace(make_route(), shares=(Share("other", 1.0),))


@pytest.fixture
async def parts():
    registry = make_registry()
    dispatcher = Dispatcher(registry, "z")
    task = asyncio.create_task(dispatcher.run())
    yield registry, dispatcher, RoutedPlaces(dispatcher, TrafficSplitter())
    task.cancel()
    assert all(one.in_flight == 0 for one in registry.of_service("llm"))


async def reserve(dispatcher):
    return await dispatcher.acquire(NEED, "llm")


async def test_a_reserved_place_is_used_while_it_serves(parts):
    _, dispatcher, places = parts
    reserved = await reserve(dispatcher)
    async with places.hold(make_route, NEED, reserved=reserved) as place:
        assert place.back_end is reserved and reserved.in_flight == 1
        assert place.route == make_route()


async def test_a_reserved_place_at_a_sampler_that_leaves_is_given_back(parts):
    registry, dispatcher, places = parts
    reserved = await reserve(dispatcher)
    registry.update(replace(reserved.record, leaving=True))
    async with places.hold(make_route, NEED, reserved=reserved) as place:
        assert place.back_end is not reserved and reserved.in_flight == 0


async def test_a_place_to_which_the_route_no_longer_leads_is_given_back(parts):
    registry, dispatcher, places = parts
    routes = [make_route()]
    for one in registry.of_service("llm"):
        one.in_flight = 4

    async def hold():
        async with places.hold(lambda: routes[0], NEED) as place:
            return place

    holding = asyncio.create_task(hold())
    await eventually(lambda: dispatcher._waiting)
    routes[0] = ELSEWHERE
    for one in registry.of_service("llm"):
        dispatcher.release(one)
        one.in_flight = 0
    await eventually(lambda: [one.service for one in dispatcher._waiting] == ["other"])
    assert all(one.in_flight == 0 for one in registry.of_service("llm"))
    holding.cancel()
    await asyncio.gather(holding, return_exceptions=True)


async def test_without_a_route_nothing_is_taken(parts):
    registry, dispatcher, places = parts
    reserved = await reserve(dispatcher)

    async def hold():
        async with places.hold(lambda: None, NEED, reserved=reserved):
            raise AssertionError("there is no route")

    holding = asyncio.create_task(hold())
    await eventually(lambda: reserved.in_flight == 0)
    assert not dispatcher._waiting and not holding.done()
    holding.cancel()
    await asyncio.gather(holding, return_exceptions=True)
