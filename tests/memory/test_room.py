"""Floods of bodies that wait for room: bounded use, no loss of bytes, nobody starves."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.memory.budget import MemoryKind
from crankseam.memory.limits import MemoryLimits
from crankseam.memory.room import MemoryRoom, NoRoom
from crankseam.memory.waiting import MAX_BODY_WAIT_S, MAX_PASSES, MAX_WAITING_BODIES
from tests.support.virtual_clock import VirtualClockLoop

BODY, ANSWER = MemoryKind.BODY, MemoryKind.ANSWER
MIB = 2**20
LIMITS = MemoryLimits(total_bytes=8 * MIB, body_bytes=6 * MIB)


def run(coroutine):
    """Run a coroutine on a virtual clock."""
    loop = VirtualClockLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


async def request(room, size, kind, hold_s, wait_s, growth):
    """Reserve, hold, grow and release, as a request does; returns whether it had room."""
    try:
        with await room.reserve(size, kind, wait_s=wait_s) as reservation:
            await asyncio.sleep(hold_s)
            await room.grow_to(reservation, size + growth, reservation.size_bytes, wait_s)
            await asyncio.sleep(hold_s)
    except NoRoom:
        return False
    return True


REQUESTS = st.lists(
    st.tuples(
        st.integers(0, 7 * MIB),
        st.sampled_from(MemoryKind),
        st.floats(0.0, 2.0),
        st.floats(0.0, 1.0),
        st.sampled_from([0, 0, 1, MIB]),
        st.one_of(st.none(), st.floats(0.0, 2.0)),
    ),
    max_size=40,
)


@given(REQUESTS)
def test_the_sum_stays_within_the_budget_and_all_bytes_return(drawn):
    async def flood():
        room = MemoryRoom(LIMITS)
        budget, most = room.budget, 0
        take = budget.take

        def checked_take(size, kind):
            nonlocal most
            take(size, kind)
            most = max(most, budget.used_bytes)
            assert budget.free_bytes(BODY) >= 0

        budget.take = checked_take
        loop, tasks = asyncio.get_running_loop(), []
        for size, kind, hold_s, wait_s, growth, cancel_after_s in drawn:
            task = asyncio.create_task(request(room, size, kind, hold_s, wait_s, growth))
            if cancel_after_s is not None:
                loop.call_later(cancel_after_s, task.cancel)
            tasks.append(task)
        await asyncio.gather(*tasks, return_exceptions=True)
        assert most <= LIMITS.total_bytes
        assert (budget.used_bytes, room.waiting) == (0, 0)

    run(flood())


def test_a_flood_of_large_bodies_is_served_one_by_one_and_the_rest_refused():
    async def flood():
        room = MemoryRoom(LIMITS)
        hold_s = MAX_BODY_WAIT_S / 4
        requests = [request(room, 4 * MIB, BODY, hold_s, MAX_BODY_WAIT_S, 0) for _ in range(60)]
        served = await asyncio.gather(*requests)
        assert served[:2] == [True, True] and served[10:] == [False] * 50
        assert room.refused == served.count(False)

    run(flood())


def test_only_so_many_bodies_wait():
    async def flood():
        room = MemoryRoom(LIMITS)
        first = await room.reserve(6 * MIB, BODY)
        waiting = [asyncio.create_task(room.reserve(1, BODY)) for _ in range(MAX_WAITING_BODIES)]
        await asyncio.sleep(0)
        with pytest.raises(NoRoom):
            await room.reserve(1, BODY)
        (await room.reserve(MIB, ANSWER)).release()
        first.release()
        assert len(await asyncio.gather(*waiting)) == MAX_WAITING_BODIES

    run(flood())


def test_small_bodies_pass_a_large_one_that_waits_but_do_not_starve_it():
    async def crowd():
        room = MemoryRoom(LIMITS)
        first = await room.reserve(2 * MIB, BODY)
        large = asyncio.create_task(room.reserve(6 * MIB, BODY))
        await asyncio.sleep(0)
        passed = [asyncio.create_task(room.reserve(1, BODY)) for _ in range(MAX_PASSES + 5)]
        await asyncio.sleep(0)
        assert sum(task.done() for task in passed) == MAX_PASSES
        first.release()
        for task in passed[:MAX_PASSES]:
            task.result().release()
        (await large).release()
        await asyncio.gather(*passed)

    run(crowd())


def test_two_bodies_of_unknown_size_that_wait_for_each_other_both_end():
    """Guards against bodies that hold part of the room for good while both wait for the rest."""

    async def both():
        room = MemoryRoom(LIMITS)
        requests = [request(room, 3 * MIB, BODY, 0.1, MAX_BODY_WAIT_S, MIB) for _ in range(2)]
        served = await asyncio.gather(*requests)
        assert served.count(False) >= 1
        assert room.budget.used_bytes == 0
        assert await request(room, 6 * MIB, BODY, 0.1, MAX_BODY_WAIT_S, 0)

    run(both())


def test_a_request_cancelled_as_it_gets_room_gives_it_back():
    """Guards against bytes lost between the grant and the resumption of the waiting task."""

    async def cancelled():
        room = MemoryRoom(LIMITS)
        first = await room.reserve(6 * MIB, BODY)
        second = asyncio.create_task(room.reserve(MIB, BODY))
        await asyncio.sleep(0)
        first.release()
        assert room.budget.used_bytes == MIB
        second.cancel()
        await asyncio.wait([second])
        assert room.budget.used_bytes == 0

    run(cancelled())
