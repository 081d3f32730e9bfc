import asyncio
import random
import time
from dataclasses import replace

import msgspec
import pytest

from crankseam.backoff import CRASH_RETRY_CAP_S, crash_backoff
from crankseam.jobs import item_retry
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.errors import ItemFailed, ItemImpossible
from crankseam.jobs.item_seconds import DEFAULT_ITEM_S
from crankseam.jobs.migration_requests import MigrationRequest
from crankseam.jobs.model import PartialText
from crankseam.jobs.places import PlaceNeed
from crankseam.jobs.urgency import LONG_RUN_EVENTS
from crankseam.quarantine.holding import MAX_PROBES
from crankseam.quarantine.model import RequestIdentity, SuspectRecord
from crankseam.serving.engine_memory import RunSize
from crankseam.serving.messages import AttemptBroken, AttemptNotRun
from crankseam.serving.paces import SamplerPaces
from tests.fairness.factories import Shares
from tests.jobs.factories import (
    BROKEN,
    FixedUrgency,
    ScriptedSamplers,
    events,
    make_job,
    make_registry,
    make_route,
    make_run,
)
from tests.quarantine.factories import FakeAddressProbe, make_guard
from tests.support.waiting import eventually


@pytest.fixture
def samplers():
    return ScriptedSamplers()


async def run_item(samplers, route=None, registry=None, min_version=0, kept=None, paces=None):
    registry = registry or make_registry()
    dispatcher = Dispatcher(registry, "z", paces)
    task = asyncio.create_task(dispatcher.run())
    run = make_run(dispatcher, samplers, route, kept, make_job(min_version=min_version))
    try:
        async with asyncio.timeout(20):
            return await run.run()
    finally:
        task.cancel()
        assert all(one.in_flight == 0 for one in registry.of_service("llm"))


async def test_a_broken_run_goes_on_after_its_last_event_elsewhere(samplers):
    samplers.scripts = [[*events(1, 2), BROKEN], events(3, 4)]
    result = await run_item(samplers)
    assert result.completed and result.text == "e1\ne2\ne3\ne4"
    (first, _, _), (second, _, after) = samplers.attempts
    assert after == 2 and second != first


async def test_text_of_an_earlier_owner_is_continued(samplers):
    samplers.scripts = [events(3, 3, version=2)]
    result = await run_item(samplers, kept=PartialText(["e1", "e2"], [1]))
    assert result.text == "e1\ne2\ne3" and result.versions == [1, 2]
    assert samplers.attempts[0][2] == 2


@pytest.mark.parametrize("wrong", [events(2, 2), events(1, 1)])
async def test_a_gap_or_a_repeated_event_ends_the_attempt_and_is_not_kept(samplers, wrong):
    samplers.scripts = [
        [*events(1, 1), *(wrong if wrong[0].number == 1 else events(3, 3))],
        events(2, 2),
    ]
    result = await run_item(samplers)
    assert result.text == "e1\ne2"


async def test_events_of_a_version_that_is_too_old_are_dropped(samplers):
    samplers.scripts = [events(1, 2, version=1), events(1, 2, version=2)]
    result = await run_item(samplers, min_version=1)
    assert result.versions == [1]
    samplers.scripts = [events(1, 2, version=1), events(1, 2, version=2)]
    registry = make_registry(version=2)
    result = await run_item(samplers, min_version=2, registry=registry)
    assert result.versions == [2] and result.text == "e1\ne2"


async def test_a_single_version_route_never_joins_two_versions(samplers):
    samplers.scripts = [[*events(1, 2, 1), BROKEN], events(3, 4, 2), events(1, 2, 2)]
    result = await run_item(samplers, make_route(single_version=True))
    assert result.versions == [2] and result.text == "e1\ne2"


async def test_failures_count_up_to_the_routes_attempts_and_refusals_do_not(samplers):
    refusal = AttemptNotRun("status 503")
    samplers.scripts = [[refusal], [ItemFailed()], [refusal], [ItemFailed()], [ItemFailed()]]
    result = await run_item(samplers, make_route(max_attempts=3))
    assert not result.completed and len(samplers.attempts) == 5


async def test_an_impossible_item_is_given_up_at_once(samplers):
    samplers.scripts = [[ItemImpossible()]]
    assert not (await run_item(samplers)).completed
    assert len(samplers.attempts) == 1


async def test_a_silent_sampler_is_left(samplers, monkeypatch):
    monkeypatch.setattr(item_retry, "NEXT_EVENT_TIMEOUT_S", 0.05)
    samplers.scripts = [[*events(1, 1), 60.0], events(2, 2)]
    result = await run_item(samplers)
    assert result.text == "e1\ne2"


async def test_an_item_waits_for_a_sampler_that_carries_its_version(samplers):
    registry = make_registry(version=1)
    task = asyncio.create_task(run_item(samplers, registry=registry, min_version=2))
    await asyncio.sleep(0.1)
    assert not samplers.attempts
    samplers.version = 2
    registry.of_service("llm")[0].observed_versions["m"] = 2
    assert (await task).versions == [2]
    assert samplers.attempts[0][0] == "s0"


def granted(dispatcher, back_end, min_version=0, is_long=False):
    """The sampler to which a run would migrate now, None if there is none; releases the place."""
    need = PlaceNeed((0.0,), "m", min_version, is_long=is_long, size=RunSize(0, 20))
    request = dispatcher.request_migration(None, back_end, need)
    place = dispatcher.end_migration(request) if request is not None else None
    if place is not None:
        dispatcher.release(place)
    return place


async def test_very_fast_samplers_are_all_alike():
    registry = make_registry(3)
    dispatcher = Dispatcher(registry, "z")
    back_ends = registry.of_service("llm")
    for one, pace in zip(back_ends, [0.004, 0.00001, 0.00002], strict=True):
        dispatcher.paces.record_interval(one, pace)
    assert not dispatcher.paces.slow_ids(back_ends)
    assert not granted(dispatcher, back_ends[0], is_long=True)


async def test_a_run_leaves_a_slow_sampler_when_others_have_room():
    registry = make_registry(4)
    dispatcher = Dispatcher(registry, "z")
    back_ends = registry.of_service("llm")
    for one, pace in zip(back_ends, [0.2, 0.04, 0.04, 0.05], strict=True):
        dispatcher.paces.record_interval(one, pace)
    assert dispatcher.paces.slow_ids(back_ends) == {back_ends[0].record.id}
    assert granted(dispatcher, back_ends[0]) in back_ends[1:]
    assert not granted(dispatcher, back_ends[3])
    assert not granted(dispatcher, back_ends[0], min_version=2), "no sampler has version 2"
    for one in back_ends[1:]:
        one.in_flight = 4
    assert not granted(dispatcher, back_ends[0])


@pytest.mark.parametrize(("warm_up_s", "is_known"), [(1000.0, False), (0.0, True)])
async def test_the_first_events_of_a_run_say_nothing_of_a_samplers_pace(
    samplers, monkeypatch, warm_up_s, is_known
):
    monkeypatch.setattr("crankseam.jobs.item_run.WARM_UP_S", warm_up_s)
    registry = make_registry(1)
    samplers.scripts = [[step for event in events(1, 4) for step in (event, 0.01)]]
    paces = SamplerPaces()
    assert (await run_item(samplers, registry=registry, paces=paces)).completed
    (back_end,) = registry.of_service("llm")
    assert (paces.steady_s(back_end) is not None) == is_known


async def test_a_run_that_turns_out_long_moves_while_others_wait_and_leaves_them_its_place(
    samplers, monkeypatch
):
    """Guards against long runs that never migrate during the burst at the start of a step.

    Every place that became free was then taken by a waiting item.
    """
    monkeypatch.setattr("crankseam.jobs.item_run.WARM_UP_S", 0.0)
    monkeypatch.setattr("crankseam.jobs.migration.SEARCH_INTERVAL_S", 0.0)
    registry = make_registry(2)
    slow, fast = registry.of_service("llm")
    slow.in_flight, fast.in_flight = 3, 4
    dispatcher = Dispatcher(registry, "z")
    for one, pace in ((slow, 0.06), (fast, 0.04)):
        dispatcher.paces.record_interval(one, pace)
    task = asyncio.create_task(dispatcher.run())
    long_one = [step for event in events(1, 40) for step in (event, 0.01)]
    samplers.scripts = [long_one, events(30, 31)]
    run = make_run(dispatcher, samplers)
    running = asyncio.create_task(run.run())
    try:
        await eventually(lambda: len(run.kept.events) > 14)
        waiting = asyncio.create_task(dispatcher.acquire(PlaceNeed((9.0,), "m", 0), "llm"))
        await asyncio.sleep(0)
        dispatcher.release(fast)
        assert await waiting is slow
        assert [one for one, _, _ in samplers.attempts] == ["s0", "s1"]
    finally:
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        task.cancel()
    assert fast.in_flight == 3 and slow.in_flight == 4, (
        "the waiting item holds its place, the run none"
    )


def registry_of_versions(*versions):
    registry = make_registry(len(versions))
    for one, version in zip(registry.of_service("llm"), versions, strict=True):
        one.observed_versions["m"] = version
    return registry


async def test_a_single_version_text_goes_on_only_where_its_version_is(samplers):
    samplers.scripts = [[*events(1, 2, 1), BROKEN], events(3, 4, 1)]
    registry = registry_of_versions(1, 2, 2)
    for one in registry.of_service("llm")[1:]:
        one.in_flight = 3
    route = make_route(single_version=True)
    result = await run_item_beside_others(samplers, registry, route)
    assert result.text == "e1\ne2\ne3\ne4" and result.versions == [1]
    assert [(one, after) for one, _, after in samplers.attempts] == [("s0", 0), ("s0", 2)]


async def test_a_single_version_text_begins_anew_once_no_sampler_has_its_version(samplers):
    samplers.scripts = [events(1, 2, 2)]
    kept = PartialText(["old"], [1])
    route = make_route(single_version=True)
    result = await run_item(samplers, route, registry_of_versions(2, 2), kept=kept)
    assert result.text == "e1\ne2" and result.versions == [2]
    assert samplers.attempts[0][2] == 0


async def run_item_beside_others(samplers, registry, route):
    """Like run_item, but keeps the places that other runs hold at the samplers."""
    dispatcher = Dispatcher(registry, "z")
    task = asyncio.create_task(dispatcher.run())
    run = make_run(dispatcher, samplers, route)
    try:
        async with asyncio.timeout(20):
            return await run.run()
    finally:
        task.cancel()


async def test_an_item_that_waits_for_its_texts_version_begins_anew_once_that_is_gone(samplers):
    """Guards against an item that waits forever for the version that made its text.

    The only sampler with that version is full, and then loads a newer one.
    """
    registry = registry_of_versions(1, 2)
    last_of_its_version, newer = registry.of_service("llm")
    last_of_its_version.in_flight, newer.in_flight = 4, 3
    samplers.scripts = [events(1, 2, 2)]
    dispatcher = Dispatcher(registry, "z")
    task = asyncio.create_task(dispatcher.run())
    route = make_route(single_version=True)
    run = make_run(dispatcher, samplers, route, PartialText(["old"], [1]))
    running = asyncio.create_task(run.run())
    try:
        await asyncio.sleep(0.1)
        assert not samplers.attempts, "the item waits for a sampler with its version"
        last_of_its_version.observed_versions["m"] = 2
        async with asyncio.timeout(10):
            assert (await running).text == "e1\ne2"
    finally:
        running.cancel()
        task.cancel()


async def test_the_text_of_a_run_stays_when_the_last_sampler_of_its_version_leaves(
    samplers, monkeypatch
):
    monkeypatch.setattr("crankseam.jobs.item_run.WARM_UP_S", 0.0)
    monkeypatch.setattr("crankseam.jobs.migration.SEARCH_INTERVAL_S", 0.0)
    registry = registry_of_versions(1, 2)
    leaving, _ = registry.of_service("llm")
    samplers.scripts = [[*events(1, 3, 1), 0.1, *events(4, 5, 1)]]
    dispatcher = Dispatcher(registry, "z")
    task = asyncio.create_task(dispatcher.run())
    run = make_run(dispatcher, samplers, make_route(single_version=True))
    running = asyncio.create_task(run.run())
    try:
        await eventually(lambda: len(run.kept.events) == 3)
        registry.update(replace(leaving.record, leaving=True))
        result = await running
        assert result.text == "e1\ne2\ne3\ne4\ne5" and result.versions == [1]
    finally:
        running.cancel()
        task.cancel()


async def test_a_tenant_is_charged_once_for_a_run_whatever_interrupts_it(samplers):
    """Guards against a tenant that pays for the rejections and failures of samplers: each attempt
    is granted a place of its own."""
    shares = Shares("t")
    dispatcher = Dispatcher(make_registry(), "z", fairness=shares.fairness)
    task = asyncio.create_task(dispatcher.run())
    samplers.scripts = [[AttemptNotRun("full")], [*events(1, 2), BROKEN], events(3, 4)]
    run = make_run(dispatcher, samplers, job=msgspec.structs.replace(make_job(), tenant="t"))
    try:
        async with asyncio.timeout(20):
            await run.run()
    finally:
        task.cancel()
    assert len(samplers.attempts) == 3
    assert shares.fairness.start_of("t", "m") == DEFAULT_ITEM_S


@pytest.mark.parametrize("is_wanted", [True, False])
async def test_a_run_that_no_trainer_waits_for_does_not_compete_for_the_fastest_samplers(is_wanted):
    """Load: long runs of groups beyond those that the trainer waits for."""
    run = make_run(Dispatcher(make_registry(), "z"), ScriptedSamplers())
    run._urgency = FixedUrgency((0.0,), wanted=is_wanted)
    run.kept.events.extend("x" * LONG_RUN_EVENTS)
    need = run._need()
    assert need.is_long == is_wanted and need.slots_share == 1.0


# --- an item under which samplers ended is still owed

CRASHED = AttemptBroken("reset", lost_connection=True)
DEADLINE_S = 5.0
"""Time within which an item that waits must be at a sampler again once all is calm."""


def make_unlucky_run(samplers, crashes, records=()):
    """A run under which samplers end `crashes` times; `records` are suspects that others stored."""
    registry = make_registry(count=crashes + 2)
    addresses = FakeAddressProbe()
    addresses.ended = {f"s{number}" for number in range(crashes + 2)}
    guard = make_guard(registry, addresses)
    samplers.scripts = [[CRASHED]] * crashes
    dispatcher = Dispatcher(registry, "z")
    run = make_run(dispatcher, samplers, guard=guard)
    for fingerprint, record in records:
        guard._quarantine._table.apply_stored(fingerprint, record, 7)
    return dispatcher, run


async def time_of_run(dispatcher, run):
    """Seconds until the run is complete."""
    placing = asyncio.create_task(dispatcher.run())
    began_at = time.monotonic()
    try:
        async with asyncio.timeout(60):
            result = await run.run()
    finally:
        placing.cancel()
    assert result.completed
    return time.monotonic() - began_at


@pytest.mark.parametrize("crashes", [3, 4, 5])
async def test_an_item_under_which_samplers_ended_is_placed_again_soon(samplers, crashes):
    """LOST: after three ends it rested for 3, 12 and 48 s, then for a day, beside free slots."""
    dispatcher, run = make_unlucky_run(samplers, crashes)
    last_at = []
    generate = samplers.generate

    def noting(*args, **more):
        last_at.append(time.monotonic())
        return generate(*args, **more)

    samplers.generate = noting
    await time_of_run(dispatcher, run)
    assert len(last_at) == crashes + 1
    assert last_at[-1] - last_at[-2] < DEADLINE_S


async def test_what_an_earlier_build_stored_of_an_item_does_not_hold_it(samplers):
    """LOST: an old build beside this one, or before it, stores that the item waits for a day."""
    job = make_job()
    item = job.items[0]
    identity = RequestIdentity(item.id, job.tenant, "", "POST", job.host, item.path, item.body)
    record = SuspectRecord(["a", "b", "c"], MAX_PROBES, "", "", len(identity.body))
    dispatcher, run = make_unlucky_run(samplers, 0, [(identity.fingerprint, record)])
    assert await time_of_run(dispatcher, run) < DEADLINE_S


async def test_items_that_lost_their_sampler_do_not_go_back_in_the_same_moment(samplers):
    delays = [crash_backoff(random.Random(seed)).next_delay() for seed in range(12)]
    assert max(delays) - min(delays) > 0.01, "spread, not together"
    repeated = crash_backoff(random.Random(1))
    spaced = [repeated.next_delay() for _ in range(8)]
    assert sum(spaced[:6]) > 2.0, "an item that ends each sampler ends few"
    assert max(spaced) <= CRASH_RETRY_CAP_S < DEADLINE_S


async def test_no_place_is_held_while_an_item_waits_after_its_sampler_ended(samplers):
    dispatcher, run = make_unlucky_run(samplers, 4)
    placing = asyncio.create_task(dispatcher.run())
    running = asyncio.create_task(run.run())
    registry = dispatcher._registry
    await eventually(lambda: len(samplers.attempts) == 4)
    await eventually(lambda: all(one.in_flight == 0 for one in registry.of_service("llm")))
    assert not running.done()
    running.cancel()
    placing.cancel()
    await asyncio.gather(running, placing, return_exceptions=True)


async def test_a_place_for_a_move_is_given_back_when_the_sampler_ends(samplers, monkeypatch):
    """The run would hold it during the whole delay before its next attempt."""
    monkeypatch.setattr("crankseam.backoff.CRASH_RETRY_BASE_S", 100.0)
    monkeypatch.setattr("crankseam.backoff.CRASH_RETRY_CAP_S", 100.0)
    dispatcher, run = make_unlucky_run(samplers, 1)
    registry = dispatcher._registry
    need = PlaceNeed((0.0,), "m", 0, item=run.item.id)
    granted = registry.of_service("llm")[2]
    granted.occupy_slot()
    run._migration = MigrationRequest("llm", need, 0, 1.0, granted)
    placing = asyncio.create_task(dispatcher.run())
    running = asyncio.create_task(run.run())
    await eventually(lambda: samplers.attempts)
    await eventually(lambda: all(one.in_flight == 0 for one in registry.of_service("llm")))
    running.cancel()
    placing.cancel()
    await asyncio.gather(running, placing, return_exceptions=True)
