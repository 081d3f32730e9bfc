import asyncio

import pytest

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import RequestHeld
from crankseam.quarantine import holding
from crankseam_standins.memory_store import MemoryStore
from tests.quarantine.factories import Process, make_identity, send, wait_known_everywhere
from tests.support.waiting import eventually


@pytest.fixture
async def processes():
    store = MemoryStore()
    started = [Process(store) for _ in range(3)]
    for process in started:
        process.store = store
        await process.ready()
    yield started
    for process in started:
        await process.stop()


@pytest.fixture
def short_holds(monkeypatch):
    monkeypatch.setattr(holding, "FIRST_HOLD_S", 0.05)
    monkeypatch.setattr(holding, "PROBE_RETRY_S", 0.05)


async def hold(processes, identity=None, crashes=("b1", "b2")):
    """Lets the given back ends crash under a request, each at another process."""
    for number, ended in enumerate(crashes):
        tracker = processes[number % len(processes)].tracker(identity)
        send(tracker, ended=ended)
        tracker.close()
    await wait_known_everywhere(processes, identity, len(crashes))


async def test_ends_at_several_processes_count_together(processes):
    first = processes[0].tracker()
    send(first, ended="b1")
    assert first.may_send(), "a request interrupted by one crash gets a second attempt"
    first.close()
    await wait_known_everywhere(processes)
    second = processes[1].tracker()
    assert second.may_send()
    send(second, ended="b2")
    assert not second.may_send()
    second.close()
    await wait_known_everywhere(processes, crashes=2)
    with pytest.raises(RequestHeld) as held:
        await processes[2].tracker().admit()
    assert held.value.outcome == OUTCOME_NOT_RUN and 0 < held.value.retry_after <= 3.0


async def test_the_same_end_told_twice_counts_once(processes):
    await hold(processes, crashes=("b1", "b1", "b1")[:1])
    tracker = processes[1].tracker()
    send(tracker, ended="b1")
    assert tracker.may_send()


async def test_a_held_request_is_tried_by_one_process_at_a_time(processes, short_holds):
    await hold(processes)
    await asyncio.sleep(0.06)
    trackers = [one.tracker() for one in processes]
    results = await asyncio.gather(*(one.admit() for one in trackers), return_exceptions=True)
    assert [type(one) for one in results].count(RequestHeld) == 2
    winner = trackers[results.index(None)]
    with winner.sending() as sent:
        assert not winner.may_send(), "a probe is sent to one back end at a time"
        sent.crashed_id = "b3"
    assert not winner.may_send()
    winner.close()
    await wait_known_everywhere(processes, crashes=3)


async def test_each_probe_makes_the_hold_longer_and_the_last_ends_it(processes, short_holds):
    await hold(processes)
    fingerprint = make_identity().fingerprint
    holds = []
    for number in range(holding.MAX_PROBES):
        suspect = processes[0].table.find(fingerprint)
        holds.append(suspect.record.hold_duration_s())
        await eventually(lambda suspect=suspect: suspect.held_for_s() == 0.0)
        probe = processes[0].tracker()
        await probe.admit()
        send(probe, ended=f"p{number}")
        probe.close()
        crashes, probes = 3 + number, number + 1
        await eventually(
            lambda crashes=crashes, probes=probes: all(
                process.knows(crashes=crashes)
                and process.table.find(fingerprint).record.probes == probes
                for process in processes
            )
        )
    assert holds == [0.05, 0.2, 0.8]
    assert processes[1].table.find(fingerprint).held_for_s() > 1000.0


async def test_a_whole_answer_frees_it_everywhere(processes, short_holds):
    await hold(processes)
    await asyncio.sleep(0.06)
    probe = processes[2].tracker()
    await probe.admit()
    send(probe, answered=True)
    probe.close()
    await eventually(lambda: not any(len(process.table) for process in processes), "released")
    assert not [key for key in processes[0].store.entries if "suspect" in key]


async def test_a_run_that_began_before_it_was_held_frees_it_too(processes):
    running = processes[2].tracker()
    with running.sending() as sent:
        await hold(processes)
        sent.was_answered = True
    await eventually(lambda: not any(len(process.table) for process in processes), "released")


async def test_a_probe_that_no_back_end_ran_does_not_count(processes, short_holds):
    await hold(processes)
    await asyncio.sleep(0.06)
    probe = processes[0].tracker()
    await probe.admit()
    send(probe, not_run=True)
    probe.close()
    fingerprint = make_identity().fingerprint
    await eventually(lambda: processes[1].table.find(fingerprint).record.probes == 0)


async def test_a_process_tries_one_suspect_at_a_time(processes, short_holds):
    """Guards against two probes at once: the request that causes the crashes could crash a back end
    that runs the probe of a healthy request, and so count as another crash against that one."""
    identities = [make_identity(body=body) for body in (b"cause", b"other")]
    for identity in identities:
        await hold(processes, identity)
    await asyncio.sleep(0.06)
    first, second = (processes[0].tracker(identity) for identity in identities)
    await first.wait_until_admitted()
    waiting = asyncio.create_task(second.wait_until_admitted())
    with first.sending() as sent:
        await asyncio.sleep(0.2)
        assert not waiting.done()
        sent.crashed_id = "b3"
    async with asyncio.timeout(5):
        await waiting
    with second.sending():
        second.on_progress()
        assert second.is_admitted() and processes[0].table.find(identities[1].fingerprint) is None


async def test_a_probe_that_is_given_up_lets_the_next_one_in(processes, short_holds):
    identities = [make_identity(body=body) for body in (b"cause", b"other")]
    for identity in identities:
        await hold(processes, identity)
    await asyncio.sleep(0.06)
    first, second = (processes[0].tracker(identity) for identity in identities)
    await first.wait_until_admitted()
    first.abandon()
    async with asyncio.timeout(5):
        await second.wait_until_admitted()


async def test_without_the_store_nothing_is_tried_again(processes, short_holds):
    await hold(processes)
    processes[0].store.faults.down = True
    await asyncio.sleep(0.06)
    with pytest.raises(RequestHeld):
        await processes[0].tracker().admit()


async def test_a_second_send_beside_one_counts_as_an_end_that_may_come(processes):
    tracker = processes[0].tracker()
    with tracker.sending():
        assert tracker.may_send()
        with tracker.sending():
            assert not tracker.may_send()
    send(tracker, ended="b1")
    with tracker.sending():
        assert not tracker.may_send()


async def test_a_send_that_is_cancelled_counts_no_more(processes):
    tracker = processes[0].tracker()
    with pytest.raises(asyncio.CancelledError), tracker.sending():
        raise asyncio.CancelledError
    with tracker.sending():
        assert tracker.may_send()


async def test_an_item_that_goes_on_is_no_suspect(processes):
    item = processes[0].tracker(crash_limit=3)
    send(item, ended="b1")
    send(item, ended="b2")
    item.on_progress()
    send(item, ended="b3")
    item.report_if_held()
    assert item.may_send() and not len(processes[0].table)


async def test_an_item_waits_until_it_may_be_tried(processes, short_holds):
    item = processes[0].tracker(crash_limit=3)
    for ended in ("b1", "b2", "b3"):
        assert item.may_send()
        send(item, ended=ended)
        item.report_if_held()
    assert not item.is_admitted()
    async with asyncio.timeout(5):
        await item.wait_until_admitted()
    assert item.is_admitted() and item.may_send()
    send(item, answered=True)
    await eventually(lambda: not any(len(process.table) for process in processes), "released")


async def test_others_are_not_touched(processes):
    await hold(processes)
    for other in (make_identity(tenant="u"), make_identity(body=b"ydob"), make_identity(body=b"")):
        await processes[0].tracker(other).admit()


async def test_an_empty_body_is_told_by_its_target(processes):
    empty = make_identity(body=b"")
    await hold(processes, empty)
    with pytest.raises(RequestHeld):
        await processes[0].tracker(empty).admit()
