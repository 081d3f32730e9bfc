import asyncio

import pytest

from crankseam.coordination.follower import PrefixFollower
from crankseam.jobs.model import ItemResult
from crankseam.jobs.repository import ENDED_PREFIX, STATE_PREFIX, JobRepository
from crankseam.jobs.retention import JobRetention
from crankseam_standins.memory_store import MemoryStore
from tests.jobs.factories import make_job
from tests.support.waiting import eventually


class Collector:
    """The retention of one process, on a store that it shares with others."""

    def __init__(self, store, retention_s, may_remove=lambda: True):
        self.state = PrefixFollower(store, STATE_PREFIX, lambda key, entry: None, 0.2)
        repository = JobRepository(store, "collector")
        self.retention = JobRetention(repository, self.state, retention_s, may_remove, 0.02)
        self.tasks = [
            asyncio.create_task(self.state.run()),
            asyncio.create_task(self.retention.run()),
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.fixture
async def start():
    collectors = []

    def begin(*args, **kwargs):
        collectors.append(Collector(*args, **kwargs))
        return collectors[-1]

    yield begin
    for collector in collectors:
        await collector.stop()


def keys_of(store, job_id):
    return [key for key in store.entries if f"/{job_id}" in key]


async def make_ended_job(store, job_id="j1", chunks=40):
    repository = JobRepository(store, "a")
    await repository.create(make_job(job_id), 0)
    for number in range(chunks):
        await repository.append(job_id, number, [ItemResult(f"i{number}", True, "x")])
    await repository.save_progress(job_id, {})
    await repository.end(job_id)
    return repository


async def test_an_ended_job_is_removed_whole_after_its_time(start):
    store = MemoryStore()
    repository = await make_ended_job(store)
    start(store, retention_s=0.1)
    await eventually(lambda: not keys_of(store, "j1"), "removal")
    assert await repository.load("j1") is None


async def test_an_ended_job_stays_for_its_time_and_an_open_one_for_good(start):
    store = MemoryStore()
    repository = await make_ended_job(store)
    await repository.create(make_job("j2"), 0)
    ended = await make_ended_job(store, "j3", chunks=1)
    long_retention = start(store, retention_s=3600.0)
    await eventually(lambda: ENDED_PREFIX + "j1" in long_retention.retention.waiting())
    assert await repository.load("j1") is not None
    start(store, retention_s=0.0)
    await eventually(lambda: not keys_of(store, "j1") and not keys_of(store, "j3"))
    assert await ended.load("j2") is not None


async def test_a_removal_that_was_cut_off_is_finished_later(start):
    store = MemoryStore()
    repository = await make_ended_job(store)
    store.faults.lose_answers = 1
    start(store, retention_s=0.0)
    await eventually(lambda: store.faults.lose_answers == 0, "the first answer is lost")
    await eventually(lambda: not keys_of(store, "j1"), "removal")
    assert await repository.load("j1") is None


async def test_a_job_that_is_being_removed_is_never_shown_in_part(start):
    store = MemoryStore()
    repository = await make_ended_job(store)
    head = "crankseam/job/j1/head"
    removed = [key for key in keys_of(store, "j1")]
    start(store, retention_s=0.0)
    await eventually(lambda: not keys_of(store, "j1"), "removal")
    order = [
        change.key for change in store.log if change.key in removed and not hasattr(change, "value")
    ]
    assert order.index(head) == min(order.index(key) for key in order if "/job/j1/" in key)
    assert order[-1] == ENDED_PREFIX + "j1"
    assert repository is not None


async def test_only_processes_that_may_remove_jobs_do_so(start):
    store = MemoryStore()
    await make_ended_job(store)
    allowed = False
    collector = start(store, 0.0, lambda: allowed)
    await eventually(lambda: collector.retention.waiting())
    await asyncio.sleep(0.1)
    assert keys_of(store, "j1")
    allowed = True
    await eventually(lambda: not keys_of(store, "j1"))
