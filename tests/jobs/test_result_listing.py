import asyncio
import math

from crankseam.jobs.model import ItemResult
from crankseam.jobs.repository import JobRepository
from crankseam.jobs.result_listing import ResultListing
from crankseam_standins.memory_store import MemoryStore
from tests.jobs.factories import make_job
from tests.support.waiting import eventually


def make_listing(store=None, job=None, on_listed=lambda item_id: None):
    repository = JobRepository(store or MemoryStore(), "a")
    return ResultListing(job or make_job(), [], math.inf, repository, on_listed)


async def test_a_chunk_that_was_read_while_it_was_listed_is_taken_once():
    listing = make_listing()
    first, second = [ItemResult("j1-i0", True)], [ItemResult("j1-i1", True)]
    listing.add_chunks(0, [first])
    listing.add_chunks(0, [first, second])
    assert [result.id for result in listing.results] == ["j1-i0", "j1-i1"]
    assert listing.chunks == 2


async def test_a_listing_whose_answer_was_lost_is_not_made_again_once_it_was_read():
    """The chunk may be read from the store before the write is retried."""
    store = MemoryStore()
    listing = make_listing(store)
    reader = JobRepository(store, "b")
    listing._pending = [ItemResult("j1-i0", True)]
    store.faults.lose_answers = 1
    listed = asyncio.create_task(listing.list_pending())
    await eventually(lambda: not store.faults.lose_answers)
    chunks, _ = await reader.read_chunks("j1", 0)
    listing.add_chunks(0, chunks)
    await listed
    chunks, _ = await reader.read_chunks("j1", 0)
    assert [[result.id for result in chunk] for chunk in chunks] == [["j1-i0"]]
    assert listing.chunks == 1 and not listing._pending


async def test_results_that_do_not_fit_one_value_are_listed_by_several_writes(monkeypatch):
    """The store refuses a value that is too large on every retry, which would block all results."""
    monkeypatch.setattr("crankseam.jobs.repository.MAX_VALUE_BYTES", 1000)
    store = MemoryStore()
    listing = make_listing(store, make_job(items=7))
    listing._pending = [ItemResult(f"j1-i{number}", True, "x" * 400) for number in range(6)]
    listing._pending.append(ItemResult("j1-i6", True, "y" * 5000))
    await listing.list_pending()
    chunks, _ = await JobRepository(store, "b").read_chunks("j1", 0)
    assert [len(chunk) for chunk in chunks] == [2, 2, 2, 1]
    assert [result.id for result in listing.results] == [f"j1-i{number}" for number in range(7)]
    assert not listing._pending


async def test_on_listed_is_called_for_each_listed_item():
    listed_ids = []
    listing = make_listing(on_listed=listed_ids.append)
    listing.add_chunks(0, [[ItemResult("j1-i0", True)], [ItemResult("j1-i2", True)]])
    assert listed_ids == ["j1-i0", "j1-i2"]
    assert listing.has_result("j1-i0") and not listing.has_result("j1-i1")
    assert not listing.is_complete()
