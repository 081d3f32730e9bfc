import asyncio

from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import Entry
from crankseam.coordination.process_lease import ProcessLease
from crankseam.jobs import pace_sharing
from crankseam.jobs.pace_sharing import PACE_PREFIX, PaceSharing
from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.paces import SamplerPaces
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually

SAMPLER = BackEnd(BackEndRecord("s0", "llm", "1.1.1.1:1", "z", 8))


class Process:
    """The pace sharing of one process; several processes use the same store."""

    def __init__(self, store, name):
        self.paces = SamplerPaces()
        self.lease = ProcessLease(store)
        self.sharing = PaceSharing(store, self.lease, name, self.paces, lambda key: key != "gone")
        self.state = PrefixFollower(store, PACE_PREFIX, self.sharing.state_changed, 0.2)
        coroutines = (self.lease.run(), self.state.run(), self.sharing.run())
        self.tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def test_another_process_learns_paces_and_forgets_them_with_the_lease(monkeypatch):
    monkeypatch.setattr(pace_sharing, "CHECK_INTERVAL_S", 0.02)
    store = MemoryStore()
    publisher, follower = Process(store, "a"), Process(store, "b")
    try:
        publisher.paces.record_interval(SAMPLER, 0.05)
        publisher.paces.record_interval(
            BackEnd(BackEndRecord("gone", "llm", "1.1.1.1:1", "z", 8)), 0.05
        )
        await eventually(lambda: follower.paces.steady_s(SAMPLER) == 0.05)
        assert b"gone" not in store.entries[PACE_PREFIX + "a"].value
        writes = store.entries[PACE_PREFIX + "a"].revision
        await asyncio.sleep(0.2)
        assert store.entries[PACE_PREFIX + "a"].revision == writes, "no change, no write"
        store.expire_lease(publisher.lease.number)
        await publisher.stop()
        await eventually(lambda: follower.paces.steady_s(SAMPLER) is None)
    finally:
        await publisher.stop()
        await follower.stop()


async def test_a_table_that_can_not_be_read_is_no_table():
    paces = SamplerPaces()
    store = MemoryStore()
    sharing = PaceSharing(store, ProcessLease(store), "a", paces, lambda key: True)
    paces.update_from_process("b", {"s0": 0.05})
    sharing.state_changed(PACE_PREFIX + "b", Entry(PACE_PREFIX + "b", b"\xc1", 5))
    assert paces.steady_s(SAMPLER) is None
