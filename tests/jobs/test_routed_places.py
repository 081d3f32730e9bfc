"""Places by routes: use or release of a reserved place, and changes of the route during a wait."""

import asyncio
from dataclasses import replace

import pytest

from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.model import ScoringRequest
from crankseam.jobs.places import PlaceNeed
from crankseam.jobs.routed_places import RoutedPlaces
from crankseam.jobs.scoring import ItemScorer
from crankseam.serving.back_ends import BackEndRecord
from crankseam.serving.routes import Share, TrafficSplitter
from tests.jobs.factories import (
    FixedUrgency,
    ScriptedScorers,
    make_job,
    make_registry,
    make_route,
)
from tests.quarantine.factories import make_guard
from tests.support.waiting import eventually

NEED = PlaceNeed((0.0,), "m", 1)
ELSEWHERE = replace(make_route(), shares=(Share("other", 1.0),))
SPLIT = replace(make_route(), shares=(Share("llm", 0.5), Share("other", 0.5)))


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


# --- what waits follows its route: a wait that kept its first service lost the items of a step


def add_sampler(registry, back_end_id, service, version=1, slots=4):
    record = BackEndRecord(
        back_end_id, service, "127.0.0.1:9100", "z", slots, False, {"m": version}
    )
    registry.update(record)


def remove_all(registry, service):
    for one in registry.of_service(service):
        registry.remove(one.record.id)


class Waits:
    """Requests that wait for places, and the order in which they got theirs."""

    def __init__(self, places):
        self._places = places
        self.placed = []
        self._tasks = []

    async def _hold(self, find_route, number, rank, only_version):
        need = replace(NEED, rank=rank, item=f"i{number}")
        async with self._places.hold(find_route, need, only_version) as place:
            self.placed.append((number, place.back_end.record.service))
            await asyncio.Event().wait()

    def add(self, find_route, rank=(0.0,), only_version=lambda: 0):
        number = len(self._tasks)
        hold = self._hold(find_route, number, rank, only_version)
        self._tasks.append(asyncio.create_task(hold))

    async def end(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@pytest.fixture
async def waits(parts):
    waits = Waits(parts[2])
    yield waits
    await waits.end()


async def test_what_waits_follows_its_route_to_another_service(parts, waits):
    """LOST: items waited without end for samplers of a service that their route had left."""
    registry, dispatcher, _ = parts
    remove_all(registry, "llm")
    routes = [make_route()]
    for _ in range(6):
        waits.add(lambda: routes[0])
    await eventually(lambda: len(dispatcher._waiting) == 6)
    add_sampler(registry, "o0", "other", slots=6)
    routes[0] = ELSEWHERE
    await eventually(lambda: [service for _, service in waits.placed] == ["other"] * 6)


async def test_the_order_of_the_line_is_kept_at_the_other_service(parts, waits):
    registry, dispatcher, _ = parts
    remove_all(registry, "llm")
    routes = [make_route()]
    for rank in (3.0, 1.0, 2.0, 1.0):
        waits.add(lambda: routes[0], (rank,))
    await eventually(lambda: len(dispatcher._waiting) == 4)
    routes[0] = ELSEWHERE
    await eventually(lambda: {one.service for one in dispatcher._waiting} == {"other"})
    waits.add(lambda: routes[0], (1.0,))
    await eventually(lambda: len(dispatcher._waiting) == 5)
    add_sampler(registry, "o0", "other", slots=5)
    await eventually(lambda: len(waits.placed) == 5)
    assert [number for number, _ in waits.placed] == [1, 3, 4, 2, 0]


async def test_a_part_of_a_split_whose_samplers_left_keeps_nothing_waiting(parts, waits):
    registry, dispatcher, _ = parts
    add_sampler(registry, "o0", "other", slots=8)
    for one in registry.of_service("llm"):
        one.in_flight = 4
    for _ in range(8):
        waits.add(lambda: SPLIT)
    await eventually(lambda: len(waits.placed) == len(dispatcher._waiting) == 4)
    remove_all(registry, "llm")
    await eventually(lambda: len(waits.placed) == 8)


async def test_a_part_of_a_split_without_samplers_gets_nothing(parts, waits):
    registry, dispatcher, _ = parts
    for _ in range(4):
        waits.add(lambda: SPLIT)
    await eventually(lambda: len(waits.placed) == 4)
    assert not dispatcher._waiting


async def test_full_parts_of_a_split_keep_their_share(parts, waits):
    registry, dispatcher, _ = parts
    add_sampler(registry, "o0", "other", slots=1)
    for _ in range(12):
        waits.add(lambda: SPLIT)
    await eventually(lambda: len(waits.placed) == 7)
    await asyncio.sleep(0.6)
    assert [one.service for one in dispatcher._waiting] == ["other"] * 5


async def test_a_text_continues_at_the_part_that_has_its_version(parts, waits):
    registry, _, _ = parts
    add_sampler(registry, "o0", "other", version=2, slots=4)
    for _ in range(4):
        waits.add(lambda: SPLIT, only_version=lambda: 2)
    await eventually(lambda: [service for _, service in waits.placed] == ["other"] * 4)


async def test_a_version_that_is_not_there_any_more_is_not_waited_for(parts, waits):
    registry, dispatcher, _ = parts
    versions = [5]
    waits.add(make_route, only_version=lambda: versions[0])
    await eventually(lambda: [one.only_version for one in dispatcher._waiting] == [5])
    versions[0] = 0
    await eventually(lambda: waits.placed == [(0, "llm")])


async def test_a_scoring_request_follows_its_route_to_another_service(parts):
    """LOST: the same wait held scoring requests."""
    registry, dispatcher, _ = parts
    remove_all(registry, "llm")
    routes = [make_route()]
    scorer = ItemScorer(
        dispatcher,
        ScriptedScorers(),
        lambda request: routes[0],
        TrafficSplitter(),
        make_guard(registry),
    )
    job = make_job()
    request = ScoringRequest("s1", "host", "/p/s", b"")
    score = scorer.score(job, job.items[0], request, FixedUrgency((0.0, 0.0)), 1)
    scoring = asyncio.create_task(score)
    await eventually(lambda: dispatcher._waiting)
    add_sampler(registry, "o0", "other")
    routes[0] = ELSEWHERE
    await eventually(scoring.done)
    assert scoring.result() == "stamp 1"
