import asyncio
import time

import pytest

from crankseam.coordination.interface import Transaction
from crankseam.errors import KeyValueUnavailable
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.model import ItemResult
from crankseam.jobs.peer_reads import PeerReads
from crankseam.jobs.repository import JobRepository
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
    """A process with its jobs, which queries other processes by name."""

    def __init__(self, store, name, samplers, processes):
        self.supervisor = Supervisor()
        self.silent = False
        self.asked = 0
        self.peer_reads = PeerReads(self._ask)
        self._processes = processes
        dispatcher = Dispatcher(make_registry(), "z")
        self.jobs = JobService(
            store,
            name,
            dispatcher,
            make_maker(dispatcher, samplers),
            lambda job: make_route(),
            self.supervisor,
            owner_client=self.peer_reads,
        )
        self.peer_reads.serve_jobs(self.jobs)
        processes[name] = self
        self.jobs.start()

    async def _ask(self, process, body, timeout_s):
        peer = self._processes[process]
        peer.asked += 1
        if peer.silent:
            raise KeyValueUnavailable("silent")
        return await peer.peer_reads.serve(body)


class CountingStore:
    """A store that counts the read calls of one process."""

    def __init__(self, store):
        self._store = store
        self.reads = 0

    def __getattr__(self, name):
        if name in ("get", "page"):
            self.reads += 1
        return getattr(self._store, name)


@pytest.fixture
async def pair():
    """A process that owns job j1, whose items block, and another process."""
    store, samplers, processes = MemoryStore(), ScriptedSamplers(), {}
    samplers.hold = asyncio.Event()
    counting_store = CountingStore(store)
    owner = Process(store, "a", samplers, processes)
    other = Process(counting_store, "b", samplers, processes)
    for process in (owner, other):
        await eventually(lambda process=process: process.jobs.lease.is_held())
        await process.jobs.state.wait_synchronized()
    await owner.jobs.submit(make_job(), time.monotonic() + 5.0)
    await eventually(lambda: "crankseam/state/owner/j1" in other.jobs.state.entries)
    yield store, samplers, owner, other, counting_store
    for process in (owner, other):
        await process.supervisor.stop()


async def test_the_owner_is_asked_and_the_store_is_not(pair):
    _, samplers, owner, other, counting_store = pair
    reads = counting_store.reads
    assert await other.jobs.read("j1", 0, 0.0) == (3, [])
    assert (await other.jobs.item("j1", "j1-i1")).body == b"\x00\xff"
    samplers.hold.set()
    results = []
    while len(results) < 3:
        _, more = await other.jobs.read("j1", len(results), 0.5)
        results += more
    assert results == (await owner.jobs.read("j1", 0, 0.0))[1]
    assert owner.asked and counting_store.reads == reads


async def test_the_store_is_read_when_the_owner_does_not_answer(pair):
    _, samplers, owner, other, counting_store = pair
    owner.silent = True
    reads = counting_store.reads
    assert await other.jobs.read("j1", 0, 0.0) == (3, [])
    assert (await other.jobs.item("j1", "j1-i1")).body == b"\x00\xff"
    assert counting_store.reads > reads


async def test_a_process_that_is_not_the_owner_answers_nobody(pair):
    _, _, owner, other, _ = pair
    owner.jobs.lease.mark_expired()
    answer = await other.peer_reads.results("a", "j1", 0, 0.0)
    assert answer is None and await other.peer_reads.item("a", "j1", "j1-i0") is None


async def test_an_owner_learns_what_a_former_owner_lists_after_the_take_over(pair):
    """The former owner's last listing got no answer and takes effect after the take-over."""
    store, _, owner, other, _ = pair
    await owner.supervisor.stop()
    store.expire_lease(owner.jobs.lease.number)
    await eventually(lambda: other.jobs.is_owner("j1"), "taken over")
    late = [ItemResult("j1-i0", True, "late")]
    await JobRepository(store, "a").append("j1", 0, late)
    await eventually(lambda: other.jobs.running.runners["j1"].listing.results == late)
    assert await other.jobs.read("j1", 0, 0.0) == (3, late)


async def test_no_owner_is_asked_of_a_job_that_has_none(pair):
    store, _, owner, other, _ = pair
    owner.jobs.claims.active = other.jobs.claims.active = False
    await store.commit(Transaction(removals=["crankseam/state/owner/j1"]))
    await eventually(lambda: "crankseam/state/owner/j1" not in other.jobs.state.entries)
    asked = owner.asked
    assert await other.jobs.read("j1", 0, 0.0) == (3, [])
    assert owner.asked == asked
