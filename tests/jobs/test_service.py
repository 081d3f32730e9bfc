import asyncio
import time

import pytest

from crankseam.coordination.interface import Entry, Put, Transaction
from crankseam.errors import KeyValueError, KeyValueUnavailable
from crankseam.jobs.demand import decode_open_job
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.errors import AcceptanceUnknown, EndUnknown, JobUnknown
from crankseam.jobs.item_seconds import MIN_ITEMS
from crankseam.jobs.repository import OPEN_PREFIX
from crankseam.jobs.service import JobService
from crankseam.serving.supervisor import Supervisor
from crankseam_standins.memory_store import MemoryStore
from tests.jobs.factories import (
    ScriptedSamplers,
    make_job,
    make_maker,
    make_registry,
    make_route,
)
from tests.support.waiting import eventually


class Process:
    """A process with its jobs, on a store that it shares with others."""

    def __init__(self, store, name, samplers):
        self.supervisor = Supervisor()
        dispatcher = Dispatcher(make_registry(), "z")
        self.jobs = JobService(
            store,
            name,
            dispatcher,
            make_maker(dispatcher, samplers),
            lambda job: make_route(),
            self.supervisor,
        )
        self.jobs.start()

    async def ready(self):
        await eventually(lambda: self.jobs.lease.is_held())
        await self.jobs.state.wait_synchronized()
        return self

    async def kill(self):
        await self.supervisor.stop()


@pytest.fixture
async def cluster():
    processes = []
    store = MemoryStore()
    samplers = ScriptedSamplers()

    async def start(name):
        process = await Process(store, name, samplers).ready()
        processes.append(process)
        return process

    yield store, samplers, start
    for process in processes:
        await process.kill()


def short_deadline():
    return time.monotonic() + 5.0


async def all_results(jobs, job_id="j1", count=3):
    results = []
    while len(results) < count:
        _, more = await jobs.read(job_id, len(results), 0.5)
        results += more
    return results


async def test_every_process_reads_the_same_results(cluster):
    store, _, start = cluster
    owner, other = await start("a"), await start("b")
    await owner.jobs.submit(make_job(), short_deadline())
    at_owner = await all_results(owner.jobs)
    at_other = await all_results(other.jobs)
    assert at_owner == at_other
    assert {result.id for result in at_owner} == {"j1-i0", "j1-i1", "j1-i2"}
    assert all(result.text.count("\n") == 3 for result in at_owner)
    assert (await other.jobs.item("j1", "j1-i1")).body == b"\x00\xff"


async def test_a_job_is_accepted_with_its_expected_work_and_due_time(cluster):
    store, _, start = cluster
    owner = await start("a")
    await owner.jobs.submit(make_job("j0", items=MIN_ITEMS), short_deadline())
    await all_results(owner.jobs, "j0", MIN_ITEMS)
    await owner.jobs.submit(make_job(), short_deadline())
    opened = decode_open_job(store.entries[OPEN_PREFIX + "j1"].value)
    assert opened.work_s == pytest.approx(3 * opened.item_s) and opened.work_s > 0.0
    assert opened.longest_item_s == pytest.approx(opened.item_s), "no item has a hint"
    assert opened.due_s == 0.0 and opened.priority == 5, "the route states no due time"


async def test_a_killed_owners_job_is_resumed_by_another_process(cluster):
    store, samplers, start = cluster
    owner, other = await start("a"), await start("b")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    await eventually(lambda: "crankseam/job/j1/progress" in store.entries, "saved progress")
    await owner.kill()
    await eventually(lambda: "j1" in other.jobs.running.runners, "take-over")
    samplers.hold.set()
    results = await all_results(other.jobs)
    assert len({result.id for result in results}) == 3
    assert {after for _, _, after in samplers.attempts} == {0, 2}, "resumed, not restarted"


async def test_results_that_the_former_owner_had_finished_are_not_made_again(cluster):
    store, samplers, start = cluster
    owner, other = await start("a"), await start("b")
    other.jobs.claims.active = False
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    await eventually(lambda: len(samplers.attempts) == 3)
    store.faults.down = True
    samplers.hold.set()
    runner = owner.jobs.running.runners["j1"]
    await eventually(lambda: len(runner.listing._pending) == 3)
    made = len(samplers.attempts)
    await eventually(lambda: not owner.jobs.lease.is_held())
    for lease in list(store._leases):
        store.expire_lease(lease)
    store.force(Transaction(puts=[Put("crankseam/state/owner/j1", b"b")]))
    store.faults.down = False
    await eventually(lambda: "j1" not in owner.jobs.running.runners, "the job is lost")
    assert len(await all_results(other.jobs)) == 3
    assert len(samplers.attempts) == made, "each result is generated once"


async def test_a_planned_stop_hands_the_texts_over(cluster):
    store, samplers, start = cluster
    owner, other = await start("a"), await start("b")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    await eventually(lambda: len(samplers.attempts) == 3)
    await asyncio.sleep(0.05)
    await owner.jobs.stop()
    assert "crankseam/job/j1/progress" in store.entries
    await eventually(lambda: "j1" in other.jobs.running.runners, "take-over")
    samplers.hold.set()
    assert len(await all_results(other.jobs)) == 3


async def test_a_process_that_drains_accepts_a_job_for_another_process_to_run(cluster):
    store, samplers, start = cluster
    draining, other = await start("a"), await start("b")
    await draining.jobs.stop()
    await draining.jobs.submit(make_job(), short_deadline())
    assert not draining.jobs.running.runners, "the end of the process would interrupt the run"
    await eventually(lambda: "j1" in other.jobs.running.runners, "another process claims the job")
    assert store.entries["crankseam/state/owner/j1"].value == b"b"
    assert len(await all_results(other.jobs)) == 3
    assert len(await all_results(draining.jobs)) == 3, "it still reads for its callers"


async def test_a_job_whose_acceptance_is_under_way_when_draining_begins_runs_elsewhere(cluster):
    store, samplers, start = cluster
    draining, other = await start("a"), await start("b")
    store.faults.down = True
    submitting = asyncio.create_task(draining.jobs.submit(make_job(), time.monotonic() + 20))
    await eventually(lambda: "j1" in draining.jobs.running.runners, "the speculative start")
    await draining.jobs.stop()
    store.faults.down = False
    await submitting
    assert not draining.jobs.running.runners
    await eventually(lambda: "j1" in other.jobs.running.runners, "another process claims the job")
    assert len(await all_results(other.jobs)) == 3


async def test_an_end_stops_the_run_wherever_it_was_asked(cluster):
    store, samplers, start = cluster
    owner, other = await start("a"), await start("b")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    await other.jobs.end("j1")
    await other.jobs.end("j1")
    await eventually(lambda: "j1" not in owner.jobs.running.runners, "the owner stops the run")
    total, _ = await owner.jobs.read("j1", 0, 0.0)
    assert total == 3
    with pytest.raises(JobUnknown):
        await other.jobs.end("never")


async def test_a_job_sent_again_elsewhere_runs_once(cluster):
    _, samplers, start = cluster
    first, second = await start("a"), await start("b")
    await first.jobs.submit(make_job(), short_deadline())
    await second.jobs.submit(make_job(), short_deadline())
    await all_results(second.jobs)
    assert len(samplers.attempts) == 3


async def test_without_the_store_a_job_is_refused_only_if_it_cannot_have_been_taken(cluster):
    store, _, start = cluster
    process = await start("a")
    store.faults.down = True
    with pytest.raises(KeyValueUnavailable):
        await process.jobs.submit(make_job("j2"), time.monotonic() + 0.1)
    store.faults.down = False
    store.faults.late = 1000
    with pytest.raises(AcceptanceUnknown):
        await process.jobs.submit(make_job("j3"), time.monotonic() + 0.3)


async def test_a_job_runs_while_the_store_is_away_and_is_listed_only_once_it_lasts(cluster):
    store, samplers, start = cluster
    process = await start("a")
    store.faults.down = True
    submitting = asyncio.create_task(process.jobs.submit(make_job(), time.monotonic() + 20))
    await eventually(lambda: len(samplers.attempts) == 3, "the speculative start")
    assert not submitting.done()
    with pytest.raises(KeyValueError):
        await process.jobs.read("j1", 0, 0.0)
    store.faults.down = False
    await submitting
    assert len(await all_results(process.jobs)) == 3
    assert len(samplers.attempts) == 3, "nothing ran twice"


async def test_a_job_that_ran_ahead_and_was_not_accepted_is_never_promised(cluster):
    store, samplers, start = cluster
    process = await start("a")
    store.faults.down = True
    with pytest.raises(AcceptanceUnknown):
        await process.jobs.submit(make_job(), time.monotonic() + 1.0)
    assert samplers.attempts and not process.jobs.running.runners
    store.faults.down = False
    with pytest.raises(JobUnknown):
        await process.jobs.read("j1", 0, 0.0)


async def test_a_caller_that_leaves_stops_what_ran_ahead(cluster):
    store, samplers, start = cluster
    process = await start("a")
    samplers.hold = asyncio.Event()
    store.faults.down = True
    submitting = asyncio.create_task(process.jobs.submit(make_job(), time.monotonic() + 20))
    await eventually(lambda: len(samplers.attempts) == 3, "the speculative start")
    submitting.cancel()
    await asyncio.gather(submitting, return_exceptions=True)
    assert not process.jobs.running.runners


async def test_a_process_whose_lease_lapsed_does_not_answer_from_its_own_view(cluster):
    store, samplers, start = cluster
    owner = await start("a")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    store.faults.down = True
    await eventually(lambda: not owner.jobs.lease.is_held())
    with pytest.raises(KeyValueError):
        await owner.jobs.read("j1", 0, 0.0)
    store.faults.down = False
    await eventually(lambda: owner.jobs.is_owner("j1"), "ownership regained")
    samplers.hold.set()
    assert len(await all_results(owner.jobs)) == 3


async def test_a_job_whose_owner_started_again_waits_for_no_lease(cluster):
    store, samplers, start = cluster
    owner = await start("a")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    old_lease = owner.jobs.lease.number
    await owner.kill()
    again = await start("a")
    await eventually(lambda: "j1" in again.jobs.running.runners, "take-over")
    assert store.entries["crankseam/state/owner/j1"].lease not in (0, old_lease)
    samplers.hold.set()
    assert len(await all_results(again.jobs)) == 3


async def test_an_owner_whose_listing_gets_no_answer_does_not_speak_for_the_store(cluster):
    store, _, start = cluster
    owner, other = await start("a"), await start("b")
    append = owner.jobs._repository.append
    answered = asyncio.Event()

    async def append_without_answer(job_id, number, results):
        await append(job_id, number, results)
        await answered.wait()

    owner.jobs._repository.append = append_without_answer
    await owner.jobs.submit(make_job(), short_deadline())
    seen = await all_results(other.jobs, count=3)
    await eventually(lambda: not owner.jobs.is_owner("j1"), "the owner becomes uncertain")
    assert (await owner.jobs.read("j1", 0, 0.0))[1] == seen
    answered.set()
    await eventually(lambda: owner.jobs.is_owner("j1"), "the owner is certain again")


async def test_an_owner_that_knows_its_listing_failed_goes_on_speaking_for_the_store(cluster):
    store, samplers, start = cluster
    owner = await start("a")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())

    async def refused(job_id, number, results):
        raise KeyValueUnavailable("refused")

    owner.jobs._repository.append = refused
    samplers.hold.set()
    await asyncio.sleep(1.2)
    assert owner.jobs.is_owner("j1")


async def test_a_new_owner_that_can_not_look_for_the_former_ones_last_listing_is_in_doubt(cluster):
    store, samplers, start = cluster
    owner, other = await start("a"), await start("b")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    await owner.kill()
    await eventually(lambda: other.jobs.is_owner("j1"), "take-over")

    async def no_answer(job_id, first_number):
        await asyncio.Event().wait()

    other.jobs._repository.read_chunks = no_answer
    await eventually(lambda: not other.jobs.is_owner("j1"), "the owner becomes uncertain")


# --- "not run" is said only by a process that knows it


async def test_a_job_that_ran_ahead_is_not_refused_as_not_run_by_a_planned_stop(cluster):
    """REFUSED: the stop removed the run, and with it the only trace that items had run."""
    store, samplers, start = cluster
    process = await start("a")
    store.faults.down = True
    submitting = asyncio.create_task(process.jobs.submit(make_job(), time.monotonic() + 1.5))
    await eventually(lambda: len(samplers.attempts) == 3, "the speculative start")
    await process.jobs.stop()
    with pytest.raises(AcceptanceUnknown):
        await submitting


async def test_a_job_that_ran_ahead_for_another_attempt_is_not_refused_as_not_run(cluster):
    """REFUSED: the attempt that ended first took the run away from the others."""
    store, samplers, start = cluster
    process = await start("a")
    store.faults.down = True
    first = asyncio.create_task(process.jobs.submit(make_job(), time.monotonic() + 2.0))
    await eventually(lambda: len(samplers.attempts) == 3, "the speculative start")
    with pytest.raises(AcceptanceUnknown):
        await process.jobs.submit(make_job(), time.monotonic() + 0.5)
    with pytest.raises(AcceptanceUnknown):
        await first


async def test_a_job_whose_first_caller_left_after_it_ran_ahead_is_not_refused_as_not_run(cluster):
    store, samplers, start = cluster
    process = await start("a")
    store.faults.down = True
    first = asyncio.create_task(process.jobs.submit(make_job(), time.monotonic() + 20))
    await eventually(lambda: len(samplers.attempts) == 3, "the speculative start")
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    with pytest.raises(AcceptanceUnknown):
        await process.jobs.submit(make_job(), time.monotonic() + 0.1)


async def test_an_accepted_job_that_is_sent_again_is_not_refused_as_not_run(cluster):
    store, samplers, start = cluster
    owner = await start("a")
    samplers.hold = asyncio.Event()
    await owner.jobs.submit(make_job(), short_deadline())
    store.faults.down = True
    with pytest.raises(AcceptanceUnknown):
        await owner.jobs.submit(make_job(), time.monotonic() + 0.3)


async def test_a_job_that_ran_ahead_and_got_another_owner_is_not_refused_as_not_run(cluster):
    store, samplers, start = cluster
    process = await start("a")
    store.faults.down = True
    submitting = asyncio.create_task(process.jobs.submit(make_job(), time.monotonic() + 1.5))
    await eventually(lambda: len(samplers.attempts) == 3, "the speculative start")
    owner = Entry("crankseam/state/owner/j1", b"b", 7)
    process.jobs.claims.state_changed(owner.key, owner)
    assert not process.jobs.running.runners
    with pytest.raises(AcceptanceUnknown):
        await submitting


async def test_the_end_of_a_job_whose_answer_is_lost_is_not_refused_as_not_done(cluster):
    store, _, start = cluster
    process = await start("a")
    await process.jobs.submit(make_job(), short_deadline())
    await all_results(process.jobs)
    store.faults.late = 1000
    with pytest.raises(EndUnknown):
        await process.jobs.end("j1")


async def test_the_end_of_a_job_that_the_store_refuses_is_known_not_to_be_done(cluster):
    store, _, start = cluster
    process = await start("a")
    await process.jobs.submit(make_job(), short_deadline())
    store.faults.down = True
    with pytest.raises(KeyValueUnavailable):
        await process.jobs.end("j1")
