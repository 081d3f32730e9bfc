import math

import msgspec
import pytest

from crankseam.errors import KeyValueOutcomeUnknown
from crankseam.jobs.demand import OpenJob, decode_open_job
from crankseam.jobs.errors import ResultsConflict
from crankseam.jobs.item_seconds import ExpectedWork
from crankseam.jobs.model import ItemResult, PartialText
from crankseam.jobs.repository import OPEN_PREFIX, OWNER_PREFIX, JobRepository
from crankseam_standins.memory_store import MemoryStore
from tests.jobs.factories import make_job


async def lease_of(store):
    return (await store.grant_lease(60.0))[0]


async def test_a_job_is_taken_once_and_comes_back_whole():
    store = MemoryStore()
    first, second = JobRepository(store, "a"), JobRepository(store, "b")
    job = make_job()
    assert await first.create(job, await lease_of(store))
    assert not await second.create(job, await lease_of(store))
    stored = await second.load(job.id)
    assert stored.definition == job and not stored.ended
    assert store.entries[OWNER_PREFIX + job.id].value == b"a"
    assert await first.load("other") is None


@pytest.mark.parametrize(("due_s", "stored_due_s"), [(7.5, 7.5), (math.inf, 0.0)])
async def test_every_process_learns_work_priority_and_due_time_of_a_job(due_s, stored_due_s):
    store = MemoryStore()
    job = msgspec.structs.replace(make_job(), priority=1, tenant="t")
    await JobRepository(store, "a").create(job, 0, 1.5, ExpectedWork(4.5, 3.0), due_s)
    opened = decode_open_job(store.entries[OPEN_PREFIX + job.id].value)
    assert opened == OpenJob("m", 3, 0, 1.5, "t", 1, 4.5, 3.0, stored_due_s)


async def test_a_job_larger_than_a_value_is_cut_and_joined(monkeypatch):
    monkeypatch.setattr("crankseam.jobs.repository.MAX_VALUE_BYTES", 50)
    store = MemoryStore()
    repository = JobRepository(store, "a")
    job = make_job(items=20)
    await repository.create(job, 0)
    assert (await repository.load(job.id)).definition == job


async def test_a_lost_answer_to_acceptance_is_settled_by_asking_again():
    store = MemoryStore(faults=MemoryStore().faults)
    store.faults.lose_answers = 1
    repository = JobRepository(store, "a")
    with pytest.raises(KeyValueOutcomeUnknown):
        await repository.create(make_job(), 0)
    assert not await repository.create(make_job(), 0)
    assert await repository.load("j1") is not None


async def test_a_late_listing_never_changes_a_position():
    store = MemoryStore()
    repository = JobRepository(store, "a")
    await repository.create(make_job(), 0)
    store.faults.late = 1
    with pytest.raises(KeyValueOutcomeUnknown):
        await repository.append("j1", 0, [ItemResult("x", True, "late")])
    await repository.append("j1", 0, [ItemResult("y", True, "now")])
    store.release_late()
    chunks, _ = await repository.read_chunks("j1", 0)
    assert [[result.id for result in chunk] for chunk in chunks] == [["y"]]


async def test_a_late_listing_that_came_first_shows_as_conflict_with_its_content():
    store = MemoryStore()
    repository = JobRepository(store, "a")
    store.faults.late = 1
    with pytest.raises(KeyValueOutcomeUnknown):
        await repository.append("j1", 0, [ItemResult("x", True, "late")])
    store.release_late()
    with pytest.raises(ResultsConflict) as conflict:
        await repository.append("j1", 0, [ItemResult("y", True, "now")])
    assert [result.id for result in conflict.value.winner] == ["x"]


async def test_chunks_are_read_on_from_any_number_over_many_pages():
    store = MemoryStore()
    repository = JobRepository(store, "a")
    for number in range(8):
        await repository.append("j1", number, [ItemResult(f"i{number}", True)])
    chunks, _ = await repository.read_chunks("j1", 0)
    assert [chunk[0].id for chunk in chunks] == [f"i{number}" for number in range(8)]
    chunks, _ = await repository.read_chunks("j1", 3)
    assert chunks[0][0].id == "i3" and len(chunks) == 5


async def test_only_ownerless_jobs_and_those_of_an_own_earlier_life_are_claimed():
    store = MemoryStore()
    owner, other = JobRepository(store, "a"), JobRepository(store, "b")
    old, new, others = [await lease_of(store) for _ in range(3)]
    await owner.create(make_job(), old)
    assert not await other.claim("j1", others)
    assert await owner.claim("j1", new), "after a restart, the old lease does not count as an owner"
    assert store.entries[OWNER_PREFIX + "j1"].lease == new
    store.expire_lease(new)
    assert await other.claim("j1", others)
    assert not await owner.claim("j1", await lease_of(store))
    await owner.end("j1")
    store.expire_lease(others)
    assert not await owner.claim("j1", await lease_of(store)), "an ended job is never claimed"


async def test_ending_is_repeatable_and_seen_by_readers():
    store = MemoryStore()
    repository = JobRepository(store, "a")
    await repository.create(make_job(), 0)
    await repository.end("j1")
    await repository.end("j1")
    assert (await repository.load("j1")).ended


async def test_progress_that_does_not_fit_leaves_out_the_longest(monkeypatch):
    monkeypatch.setattr("crankseam.jobs.repository.MAX_VALUE_BYTES", 50)
    store = MemoryStore()
    repository = JobRepository(store, "a")
    texts = {"long": PartialText(["x" * 30] * 2, [1]), "short": PartialText(["x" * 30], [1])}
    await repository.create(make_job(), 0)
    await repository.create(make_job("j2"), 0)
    await repository.save_progress("j1", texts)
    assert set((await repository.load("j1")).kept) == {"short"}
    assert (await repository.load("j2")).kept == {}


async def test_a_job_is_read_with_all_that_was_listed_by_one_range():
    store = MemoryStore()
    repository = JobRepository(store, "a")
    await repository.create(make_job(), 0)
    for number in range(3):
        await repository.append("j1", number, [ItemResult(f"r{number}", True)])
    stored = await repository.load("j1")
    assert [[result.id for result in chunk] for chunk in stored.chunks] == [["r0"], ["r1"], ["r2"]]
    assert stored.revision == store.revision
