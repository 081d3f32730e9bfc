import asyncio

from crankseam.serving import loop_lag
from crankseam.serving.loop_lag import LoopLag
from tests.support.clock import FakeClock
from tests.support.waiting import eventually


def test_one_late_timer_is_no_overload_and_many_are():
    lag = LoopLag()
    lag.add_sample(0.2)
    assert not lag.is_overloaded()
    for _ in range(4):
        lag.add_sample(0.2)
    assert lag.is_overloaded()
    for _ in range(6):
        lag.add_sample(0.0)
    assert not lag.is_overloaded()


async def test_a_loop_that_is_held_up_shows(monkeypatch):
    class LateClock(FakeClock):
        """Makes each timer appear to fire late by more than `OVERLOAD_LAG_S`."""

        def monotonic(self):
            self.now += 0.25 + loop_lag.SAMPLE_INTERVAL_S / 2
            return self.now

    monkeypatch.setattr(loop_lag, "time", LateClock())
    lag = LoopLag()
    running = asyncio.create_task(lag.run())
    try:
        await eventually(lambda: lag.is_overloaded())
    finally:
        running.cancel()
