import asyncio
import time

import pytest

from crankseam import clocks
from crankseam.serving.suspension import SuspensionWatch


@pytest.fixture
def suspend(monkeypatch):
    def suspend(seconds):
        original = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda clock: original(clock) + seconds)

    return suspend


class Confirmation:
    """Records the time at which the configuration was last confirmed."""

    def __init__(self):
        self.at = float("-inf")

    def confirm(self):
        self.at = clocks.boottime_s()


async def test_a_suspension_is_noticed_once_and_told(suspend):
    watch, notified = SuspensionWatch(lambda: 0.0), []
    watch.on_resume.append(lambda: notified.append(1))
    watch.check()
    suspend(3.0)
    watch.check()
    watch.check()
    assert notified == [1]


async def test_a_request_after_it_waits_for_the_first_confirmation(suspend):
    confirmation = Confirmation()
    confirmation.confirm()
    watch = SuspensionWatch(lambda: confirmation.at)
    async with asyncio.timeout(1):
        await watch.wait_until_confirmed()
    suspend(3.0)
    waiting = asyncio.create_task(watch.wait_until_confirmed())
    await asyncio.sleep(0.05)
    assert not waiting.done()
    confirmation.confirm()
    async with asyncio.timeout(1):
        await waiting


async def test_a_store_that_is_away_does_not_stop_the_service(suspend):
    watch = SuspensionWatch(lambda: 0.0)
    suspend(3.0)
    async with asyncio.timeout(2):
        await watch.wait_until_confirmed()
    async with asyncio.timeout(0.1):
        await watch.wait_until_confirmed()
