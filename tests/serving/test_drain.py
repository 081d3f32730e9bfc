"""A stopping process takes only what it can still answer, and gives up the rest with an answer.

Guards against requests that were taken until the last moment of a planned stop, passed on, and cut
off while their back ends were at work.
"""

import asyncio
import math

import pytest

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import Unavailable
from crankseam.serving import drain as drain_module
from crankseam.serving.drain import DEREGISTRATION_S, Drain


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

    monkeypatch.setattr("crankseam.clocks.boottime_s", lambda: Clock.now)
    return Clock


async def test_before_a_stop_nothing_is_limited(clock):
    drain = Drain(8.0)
    drain.check_due(math.inf)
    async with drain.timeout_at() as timeout:
        assert timeout.when() is None
    assert (drain.is_draining, drain.ends_at) == (False, math.inf)


async def test_until_the_load_balancer_knows_every_request_is_taken(clock):
    drain = Drain(8.0)
    drain.begin()
    clock.now += DEREGISTRATION_S - 0.01
    drain.check_due(math.inf)


async def test_after_that_only_requests_that_are_due_before_the_end_are_taken(clock):
    drain = Drain(8.0)
    drain.begin()
    clock.now += DEREGISTRATION_S
    drain.check_due(drain.ends_at)
    with pytest.raises(Unavailable) as refusal:
        drain.check_due(drain.ends_at + 0.01)
    assert refusal.value.outcome == OUTCOME_NOT_RUN and refusal.value.retry_after > 0
    assert drain.refused == 1


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 4.0, 8.0, 30.0])
async def test_the_end_lies_in_the_last_sixth_of_the_grace_period(clock, grace_s):
    """A request that its back end still works on in the last sixth may be cut off, no other."""
    drain = Drain(grace_s)
    drain.begin()
    assert 100.0 + grace_s * 5 / 6 < drain.ends_at < 100.0 + grace_s
    assert drain.takes_until <= drain.ends_at


async def test_a_second_signal_does_not_put_the_end_off(clock):
    drain = Drain(8.0)
    drain.begin()
    ends_at = drain.ends_at
    clock.now += 3.0
    drain.begin()
    assert drain.ends_at == ends_at


async def test_what_runs_when_the_stop_begins_is_given_up_at_its_end():
    drain = Drain(0.4)

    async def run(at=math.inf):
        async with drain.timeout_at(at):
            await asyncio.Event().wait()

    loop = asyncio.get_running_loop()
    unlimited, limited = asyncio.create_task(run()), asyncio.create_task(run(math.inf))
    sooner = asyncio.create_task(run(drain_module.clocks.boottime_s() + 0.1))
    await asyncio.sleep(0.01)
    began = loop.time()
    drain.begin()
    assert await asyncio.gather(sooner, return_exceptions=True) and loop.time() - began < 0.3
    done, _ = await asyncio.wait({unlimited, limited}, timeout=5.0)
    assert len(done) == 2 and loop.time() - began >= 0.3
    assert all(isinstance(task.exception(), TimeoutError) for task in (sooner, *done))


async def test_what_begins_during_the_stop_ends_with_it():
    drain = Drain(0.2)
    drain.begin()
    with pytest.raises(TimeoutError):
        async with drain.timeout_at():
            await asyncio.sleep(5.0)
