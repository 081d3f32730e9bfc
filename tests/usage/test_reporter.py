import asyncio
from contextlib import AsyncExitStack

import pytest

from crankseam.coordination.duty import Duty, DutyFenced, DutyRefused, DutyUnanswered
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueUnavailable
from crankseam.usage.clock import TrueClock
from crankseam.usage.counter import UsageCounter
from crankseam.usage.reporter import UsageReporter
from crankseam_standins.memory_store import MemoryStore
from tests.support.waiting import eventually

WINDOW_S = 0.5
DEADLINE_S = 4.0
PAUSE_S = 0.2


class Platform:
    """Takes reports as the platform does: refuses older tokens, may fail or lose its answer."""

    def __init__(self):
        self.reports = {}
        self.calls = []
        self.highest = 0
        self.failures = []

    async def report_usage(self, window, counts, holder, fence):
        failure = self.failures.pop(0) if self.failures else None
        if failure is DutyRefused:
            raise DutyRefused("throttled")
        if fence < self.highest:
            raise DutyFenced
        self.highest = fence
        self.calls.append((holder, fence, window))
        assert self.reports.setdefault(window, dict(counts)) == counts, "two reports differ"
        if failure is DutyUnanswered:
            raise DutyUnanswered("lost")

    def total(self):
        return sum(sum(counts.values()) for counts in self.reports.values())


class Process:
    def __init__(self, store, name, platform, processes):
        self.name = name
        self.processes = processes
        self.lease = ProcessLease(store)
        self.state = PrefixFollower(store, "state/", lambda key, entry: None)
        self.clock = TrueClock(WINDOW_S)
        self.duty = Duty(store, self.state, self.lease, name, "usage", PAUSE_S, self.living)
        self.lease.relied_on.append(self.duty.is_holder)
        self.counter = UsageCounter(self.clock, name, self.duty.holder, self.ask)
        self.reporter = UsageReporter(store, self.duty, self.clock, platform, name, DEADLINE_S)

    def living(self):
        return list(self.processes)

    async def ask(self, process, raw, longest_s):
        if process not in self.processes:
            raise KeyValueUnavailable("gone")
        return await self.processes[process].reporter.serve(raw)

    async def __aenter__(self):
        self.processes[self.name] = self
        work = (self.lease, self.state, self.clock, self.counter, self.reporter)
        self.tasks = [asyncio.create_task(one.run()) for one in work]
        return self

    async def __aexit__(self, *_):
        self.kill()

    def kill(self):
        self.processes.pop(self.name, None)
        for task in self.tasks:
            task.cancel()

    def count(self, tenant):
        self.counter.count(tenant, asyncio.get_running_loop().time())


@pytest.fixture
async def three():
    store, platform, processes = MemoryStore(), Platform(), {}
    async with AsyncExitStack() as stack:
        for name in "abc":
            await stack.enter_async_context(Process(store, name, platform, processes))
        await eventually(lambda: any(one.duty.is_holder() for one in processes.values()))
        yield store, platform, dict(processes)


def split(processes):
    """The holder, and the others."""
    holder = next(one for one in processes.values() if one.duty.is_holder())
    return holder, [one for one in processes.values() if one is not holder]


async def test_each_request_is_reported_once_by_one_process(three):
    _, platform, processes = three
    for number in range(30):
        for process in processes.values():
            process.count("t1" if number % 3 else "t2")
        await asyncio.sleep(0.03)
    await eventually(lambda: platform.total() == 90, "all reported")
    assert sum(counts.get("t2", 0) for counts in platform.reports.values()) == 30
    assert len({holder for holder, _, _ in platform.calls}) == 1
    windows = [window for _, _, window in platform.calls]
    assert windows == sorted(set(windows)), "each window once, in order"


async def test_a_killed_holder_takes_nothing_with_it(three):
    store, platform, processes = three
    holder, others = split(processes)
    for process in others:
        process.count("t")
    await eventually(lambda: holder.reporter._ledger and holder.reporter._ledger.open)
    holder.kill()
    for process in others:
        process.count("t")
    await eventually(lambda: platform.total() == 4, "all reported")
    assert len({fence for _, fence, _ in platform.calls}) <= 2


async def test_all_killed_at_once_lose_only_what_was_counted_moments_ago(three):
    store, platform, processes = three
    for process in processes.values():
        process.count("t")
    holder, _ = split(processes)
    await eventually(lambda: holder.reporter._revision and not holder.reporter._unsaved)
    for process in processes.values():
        process.kill()
    again = {}
    async with AsyncExitStack() as stack:
        for name in "abc":
            await stack.enter_async_context(Process(store, name, platform, again))
        await eventually(lambda: platform.total() == 3, "all reported")


@pytest.mark.parametrize("failure", [DutyRefused, DutyUnanswered])
async def test_a_report_that_fails_is_repeated_unchanged(three, failure):
    _, platform, processes = three
    platform.failures = [failure] * 3
    for process in processes.values():
        process.count("t")
    await eventually(lambda: platform.total() == 3, "reported")
    # The stand-in itself fails when two reports of one window differ.
    await eventually(lambda: not platform.failures)


async def test_a_ledger_whose_writes_lose_their_answers_counts_nothing_twice(three):
    """A soak reported a window again after such a write: its counts were the same ones.

    Here every write of the ledger loses its answer for a second and more, while requests come.
    """
    store, platform, processes = three
    for number in range(60):
        if number < 40:
            store.faults.lose_answers = 1
        for process in processes.values():
            process.count("t1" if number % 3 else "t2")
        await asyncio.sleep(0.03)
    store.faults.lose_answers = 0
    await eventually(lambda: platform.total() >= 180, "all reported")
    await asyncio.sleep(2 * WINDOW_S)
    assert platform.total() == 180
    assert sum(counts.get("t2", 0) for counts in platform.reports.values()) == 60


async def test_a_holder_that_was_fenced_reports_only_under_a_new_token(three):
    _, platform, processes = three
    holder, _ = split(processes)
    await eventually(lambda: holder.duty.fence() is not None)
    old = holder.duty.fence()
    platform.highest = old + 1000
    processes["a"].count("t")
    await eventually(lambda: any(one.duty._refused_fence for one in processes.values()))
    platform.highest = old
    await eventually(lambda: platform.total() == 1, "reported")
    assert all(fence > old for _, fence, _ in platform.calls if fence != old)


async def test_a_planned_end_tells_what_was_counted_last(three):
    _, platform, processes = three
    holder, others = split(processes)
    others[0].tasks[3].cancel()
    others[0].count("t")
    await others[0].counter.flush()
    others[0].kill()
    await eventually(lambda: platform.total() == 1)


async def test_a_holder_that_won_the_duty_anew_is_told_again(three):
    store, platform, processes = three
    holder, others = split(processes)
    for process in others:
        process.count("t")
    await eventually(lambda: all(not one.counter._has_unsent.is_set() for one in others))
    store.expire_lease(holder.lease.number)
    await eventually(lambda: platform.total() == 2)
