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
async def two():
    store = MemoryStore()
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(Process(store, "a"))
        second = await stack.enter_async_context(Process(store, "b"))
        yield store, first, second


async def test_only_one_process_holds_the_right(two):
    _, first, second = two
    await asyncio.gather(first.holder.try_acquire(), second.holder.try_acquire())
    await eventually(lambda: not first.holder.is_vacant() and not second.holder.is_vacant())
    held = [one.holder.fence() for one in (first, second)]
    assert held.count(None) == 1


async def test_the_next_holder_waits_and_has_a_higher_fence(two):
    store, first, second = two
    await first.acquire()
    fence = first.holder.fence()
    assert fence is not None, "nobody held it before: no wait"
    await first.lease.end()
    for task in first.tasks:
        task.cancel()
    assert first.holder.fence() is None
    await eventually(second.holder.is_vacant)
    vacant_at = asyncio.get_running_loop().time()
    await eventually(second.holder.may_try)
    await second.acquire()
    assert second.holder.fence() is None, "orders of the former holder may be on their way"
    await eventually(lambda: second.holder.fence() is not None)
    assert asyncio.get_running_loop().time() - vacant_at >= PAUSE
    assert second.holder.fence() > fence


async def test_a_holder_that_started_again_goes_on_at_once(two):
    store, first, second = two
    await first.acquire()
    fence = first.holder.fence()
    async with Process(store, "a") as again:
        assert again.holder.may_try(), "its own earlier life is no other holder"
        assert not second.holder.may_try()
        await again.holder.try_acquire()
        await eventually(lambda: again.holder.fence() is not None)
        assert again.holder.fence() > fence
        await eventually(lambda: first.holder.fence() is None)


async def test_others_leave_the_right_to_the_former_holder_for_a_while(two):
    store, first, second = two
    await first.acquire()
    store.expire_lease(first.lease.number)
    await eventually(second.holder.is_vacant)
    assert not second.holder.may_try()
    await eventually(second.holder.may_try)


async def test_no_order_while_the_lease_cannot_be_proved(two):
    store, first, _ = two
    await first.acquire()
    store.faults.down = True
    await eventually(lambda: first.holder.fence() is None)
    assert first.lease.number in store._leases, "given up before the store took it back"


async def test_a_right_won_by_a_lost_answer_is_noticed(two):
    store, first, _ = two
    store.faults.lose_answers = 1
    await first.acquire()
    await eventually(lambda: first.holder.fence() is not None)
    assert first.holder.fence() == store.entries["state/orders/holder"].revision


async def test_a_token_that_a_sampler_refused_is_not_used_again(two):
    _, first, _ = two
    await first.acquire()
    fence = first.holder.fence()
    first.holder.refuse(fence)
    assert first.holder.fence() is None
    assert first.holder.may_try(), "the right is still held here: under a newer token"
    await first.holder.try_acquire()
    await eventually(lambda: (first.holder.fence() or 0) > fence)


class SuspendedWay:
    """One process's way to the store; while its machine is suspended nothing comes through."""

    def __init__(self, store):
        self._store = store
        self.awake = asyncio.Event()
        self.awake.set()

    def __getattr__(self, name):
        async def call(*arguments):
            await self.awake.wait()
            answer = await getattr(self._store, name)(*arguments)
            await self.awake.wait()
            return answer

        return call


class Machine:
    """The two clocks of a machine that may be suspended."""

    def __init__(self, way):
        self._way = way
        self._lost_s = 0.0
        self._since = None

    def suspend(self):
        self._way.awake.clear()
        self._since = time.monotonic()

    def wake(self):
        self._lost_s += time.monotonic() - self._since
        self._since = None
        self._way.awake.set()

    def paced_s(self):
        now = time.monotonic() if self._since is None else self._since
        return now - self._lost_s


class SuspendedProcess(Process):
    def __init__(self, store, name):
        way = SuspendedWay(store)
        self.machine = Machine(way)
        self.lease = ProcessLease(way)
        self.state = PrefixFollower(way, "state/", lambda key, entry: None, 0.2)
        self.holder = Duty(way, self.state, self.lease, name, "orders", PAUSE)


async def suspended_holder(clock_of):
    """A holder that slept while another one took over, right after it woke."""
    store = MemoryStore()
    async with AsyncExitStack() as stack:
        first = await stack.enter_async_context(SuspendedProcess(store, "a"))
        second = await stack.enter_async_context(Process(store, "b"))
        clock = clock_of(first.machine)
        first.lease._clock = first.holder._clock = clock
        await first.lease.ensure()
        await first.acquire()
        assert first.holder.fence() is not None
        first.machine.suspend()
        await eventually(lambda: second.holder._current() is not None)
        await eventually(second.holder.is_vacant)
        await eventually(second.holder.may_try)
        await second.holder.try_acquire()
        await eventually(lambda: second.holder.fence() is not None)
        first.machine.wake()
        return first.holder.fence(), first.lease.is_held()


async def test_a_holder_that_was_suspended_holds_nothing_when_it_wakes():
    assert await suspended_holder(lambda machine: clocks.promised_s) == (None, False)


async def test_by_a_clock_that_stood_still_it_would_act_beside_its_successor():
    """Why the clock of promises is another one: this is what the test above can notice."""
    fence, held = await suspended_holder(lambda machine: machine.paced_s)
    assert held and fence is not None
