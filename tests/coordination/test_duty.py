import asyncio
import time
from contextlib import AsyncExitStack

import pytest

from crankseam import clocks
from crankseam.coordination.duty import Duty
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.process_lease import ProcessLease
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually

PAUSE = 1.0


class Process:
    def __init__(self, store, name):
        self.lease = ProcessLease(store)
        self.state = PrefixFollower(store, "state/", lambda key, entry: None)
        self.holder = Duty(store, self.state, self.lease, name, "orders", PAUSE)

    async def __aenter__(self):
        self.tasks = [asyncio.create_task(self.lease.run()), asyncio.create_task(self.state.run())]
        await self.state.wait_synchronized()
        await eventually(self.lease.is_held)
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()

    async def acquire(self):
        await self.holder.try_acquire()
        await eventually(lambda: not self.holder.is_vacant())


@pytest.fixture
async def two_processes():
    store = MemoryStore()
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(Process(store, "a"))
        second = await stack.enter_async_context(Process(store, "b"))
        yield store, first, second


async def test_only_one_process_holds_the_right(two_processes):
    _, first, second = two_processes
    await asyncio.gather(first.holder.try_acquire(), second.holder.try_acquire())
    await eventually(lambda: not first.holder.is_vacant() and not second.holder.is_vacant())
    held = [one.holder.fence() for one in (first, second)]
    assert held.count(None) == 1


async def test_the_next_holder_waits_and_has_a_higher_fence(two_processes):
    store, first, second = two_processes
    await first.acquire()
    fence = first.holder.fence()
    assert fence is not None, "the first holder needs no handover pause"
    await first.lease.end()
    for task in first.tasks:
        task.cancel()
    assert first.holder.fence() is None
    await eventually(second.holder.is_vacant)
    vacant_at = asyncio.get_running_loop().time()
    await eventually(second.holder.may_acquire)
    await second.acquire()
    assert second.holder.fence() is None, "orders of the former holder may still be in flight"
    await eventually(lambda: second.holder.fence() is not None)
    assert asyncio.get_running_loop().time() - vacant_at >= PAUSE
    assert second.holder.fence() > fence


async def test_a_holder_that_started_again_goes_on_at_once(two_processes):
    store, first, second = two_processes
    await first.acquire()
    fence = first.holder.fence()
    async with Process(store, "a") as again:
        assert again.holder.may_acquire(), "it is the former holder itself"
        assert not second.holder.may_acquire()
        await again.holder.try_acquire()
        await eventually(lambda: again.holder.fence() is not None)
        assert again.holder.fence() > fence
        await eventually(lambda: first.holder.fence() is None)


async def test_others_leave_the_right_to_the_former_holder_for_a_while(two_processes):
    store, first, second = two_processes
    await first.acquire()
    store.expire_lease(first.lease.number)
    await eventually(second.holder.is_vacant)
    assert not second.holder.may_acquire()
    await eventually(second.holder.may_acquire)


async def test_no_order_while_the_lease_cannot_be_proved(two_processes):
    store, first, _ = two_processes
    await first.acquire()
    store.faults.down = True
    await eventually(lambda: first.holder.fence() is None)
    assert first.lease.number in store._leases, "the store still has the lease"


async def test_a_right_won_by_a_lost_answer_is_noticed(two_processes):
    store, first, _ = two_processes
    store.faults.lose_answers = 1
    await first.acquire()
    await eventually(lambda: first.holder.fence() is not None)
    assert first.holder.fence() == store.entries["state/orders/holder"].revision


async def test_a_token_that_a_sampler_refused_is_not_used_again(two_processes):
    _, first, _ = two_processes
    await first.acquire()
    fence = first.holder.fence()
    first.holder.refuse(fence)
    assert first.holder.fence() is None
    assert first.holder.may_acquire(), "this process still holds the duty, but needs a newer token"
    await first.holder.try_acquire()
    await eventually(lambda: (first.holder.fence() or 0) > fence)


class SuspendableStoreClient:
    """The store client of one process; its calls block while the machine is suspended."""

    def __init__(self, store):
        self._store = store
        self.connected = asyncio.Event()
        self.connected.set()

    def __getattr__(self, name):
        async def call(*arguments):
            await self.connected.wait()
            answer = await getattr(self._store, name)(*arguments)
            await self.connected.wait()
            return answer

        return call


class SuspendableMachine:
    """A machine that can be suspended, and its clock that stops while it is suspended."""

    def __init__(self, client):
        self._client = client
        self._suspended_s = 0.0
        self._suspended_at = None

    def suspend(self):
        self._client.connected.clear()
        self._suspended_at = time.monotonic()

    def resume(self):
        self._suspended_s += time.monotonic() - self._suspended_at
        self._suspended_at = None
        self._client.connected.set()

    def monotonic_s(self):
        now = time.monotonic() if self._suspended_at is None else self._suspended_at
        return now - self._suspended_s


class SuspendableProcess(Process):
    def __init__(self, store, name):
        client = SuspendableStoreClient(store)
        self.machine = SuspendableMachine(client)
        self.lease = ProcessLease(client)
        self.state = PrefixFollower(client, "state/", lambda key, entry: None, 0.2)
        self.holder = Duty(client, self.state, self.lease, name, "orders", PAUSE)


async def resume_after_takeover(clock_of):
    """Suspend the holder until another process has taken over, then resume it.

    Returns the fencing token of the former holder, and whether it regards its lease as held, right
    after it was resumed.
    """
    store = MemoryStore()
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(SuspendableProcess(store, "a"))
        second = await stack.enter_async_context(Process(store, "b"))
        clock = clock_of(first.machine)
        first.lease._clock = first.holder._clock = clock
        await first.lease.ensure()
        await first.acquire()
        assert first.holder.fence() is not None
        first.machine.suspend()
        await eventually(lambda: second.holder._current_entry() is not None)
        await eventually(second.holder.is_vacant)
        await eventually(second.holder.may_acquire)
        await second.holder.try_acquire()
        await eventually(lambda: second.holder.fence() is not None)
        first.machine.resume()
        return first.holder.fence(), first.lease.is_held()


async def test_a_holder_that_was_suspended_holds_nothing_when_it_wakes():
    assert await resume_after_takeover(lambda machine: clocks.boottime_s) == (None, False)


async def test_by_a_clock_that_stood_still_it_would_act_beside_its_successor():
    """Shows that the test above can fail.

    With a clock that stops while the machine is suspended, the former holder still regards its
    lease as held, and would act at the same time as its successor.
    """
    fence, held = await resume_after_takeover(lambda machine: machine.monotonic_s)
    assert held and fence is not None
