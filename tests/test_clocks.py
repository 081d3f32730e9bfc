"""Time limits that other processes rely on include the time for which the machine was suspended."""

import time

import pytest

from crankseam import clocks
from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.cluster.stall_guard import StallGuard
from crankseam.controllers.limit_shares import LimitShare, ShareTable
from crankseam.coordination.feed import PrefixFeed
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueUnavailable
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.repository import JobRepository
from crankseam.jobs.runner import JobRunner
from crankseam.peers.messages import ConfigurationReading
from crankseam.requests.context import RequestContext
from crankseam.usage.clock import TrueClock
from crankseam_standins.memory_store import MemoryStore
from tests.jobs.factories import ScriptedSamplers, make_job, make_maker, make_registry

SUSPENDED_S = 60.0


@pytest.fixture
def suspend(monkeypatch):
    """Simulate a suspension of `SUSPENDED_S`, which the monotonic clock does not include."""

    def suspend():
        original = time.clock_gettime
        monkeypatch.setattr(time, "clock_gettime", lambda clock: original(clock) + SUSPENDED_S)

    return suspend


def test_one_clock_counts_what_the_other_does_not(suspend):
    monotonic, boottime = clocks.monotonic_s(), clocks.boottime_s()
    assert abs(monotonic - time.monotonic()) < 1.0
    suspend()
    assert clocks.monotonic_s() - monotonic < 1.0
    assert clocks.boottime_s() - boottime >= SUSPENDED_S


async def test_a_process_lease_is_over(suspend):
    lease = ProcessLease(MemoryStore())
    await lease.ensure()
    assert lease.is_held()
    suspend()
    assert not lease.is_held()


async def test_a_copy_of_the_store_and_its_feed_are_old(suspend):
    store = MemoryStore()
    follower = PrefixFollower(store, "p/", lambda key, entry: None, 0.05)
    follower.feed = PrefixFeed(5.0)
    await follower._read_all()
    follower.feed.check_fresh()
    suspend()
    assert clocks.boottime_s() - follower.confirmed_at >= SUSPENDED_S
    with pytest.raises(KeyValueUnavailable):
        follower.feed.check_fresh()


async def test_an_owner_that_looked_before_is_certain_no_more(suspend):
    maker = make_maker(Dispatcher(make_registry(), "z"), ScriptedSamplers())
    runner = JobRunner(make_job(), [], {}, [], JobRepository(MemoryStore(), "a"), maker)
    runner.listing.former_owner_polled_at = clocks.boottime_s()
    assert runner.listing.is_certain()
    suspend()
    assert not runner.listing.is_certain()


def test_a_configuration_lease_is_over(suspend):
    lease = ConfigurationLease(term=5.0, margin=0.5)
    lease.confirm(ConfigurationReading(1, 0.0), clocks.boottime_s())
    assert lease.remaining() > 0.0
    suspend()
    assert lease.remaining() < 0.0


def test_a_share_of_a_limit_is_over(suspend):
    share = LimitShare("node", 10, 5.0, 0.5)
    table = share.with_renewal(ShareTable())
    share.prepare_renewal(table.shares["node"].amount)
    share.confirm(table, clocks.boottime_s())
    assert share.amount() > 0
    suspend()
    assert share.amount() == 0


def test_a_node_takes_itself_for_stalled(suspend):
    guard = StallGuard(1.0)
    guard.tick()
    assert guard.is_fresh()
    suspend()
    assert not guard.is_fresh()
    guard.tick()
    guard.record_response(clocks.boottime_s())
    assert guard.is_fresh()


def test_a_callers_deadline_has_passed(suspend):
    context = RequestContext(http=None, service_name="s", path="p")
    context.deadline = context.arrived + 5.0
    assert context.remaining() > 0.0
    suspend()
    assert context.remaining() < 0.0


def test_the_time_of_day_did_not_jump(suspend):
    now = [1000.0]
    clock = TrueClock(5.0, wall=lambda: now[0])
    suspend()
    now[0] += SUSPENDED_S
    assert clock.now() == pytest.approx(1000.0 + SUSPENDED_S, abs=0.5)
