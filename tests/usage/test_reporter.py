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
TURN_PAUSE_S = 0.2


class Platform:
    """Stand-in for the platform: refuses lower fencing tokens, can fail or lose its answer."""

    def __init__(self):
        self.reports = {}
        self.calls = []
        self.highest_fence = 0
        self.failures = []

    async def report_usage(self, window, counts, holder, fence):
        failure = self.failures.pop(0) if self.failures else None
        if failure is DutyRefused:
            raise DutyRefused("throttled")
        if fence < self.highest_fence:
            raise DutyFenced
        self.highest_fence = fence
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
        self.duty = Duty(
            store, self.state, self.lease, name, "usage", TURN_PAUSE_S, self.living_processes
        )
        self.lease.reliance_checks.append(self.duty.is_holder)
        self.counter = UsageCounter(self.clock, name, self.duty.holder, self.ask)
        self.reporter = UsageReporter(store, self.duty, self.clock, platform, name, DEADLINE_S)

    def living_processes(self):
        return list(self.processes)

    async def ask(self, process, raw, timeout_s):
        if process not in self.processes:
            raise KeyValueUnavailable("gone")
        return await self.processes[process].reporter.serve(raw)

    async def __aenter__(self):
        self.processes[self.name] = self
        services = (self.lease, self.state, self.clock, self.counter, self.reporter)
        self.tasks = [asyncio.create_task(one.run()) for one in services]
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
async def three_processes():
    store, platform, processes = MemoryStore(), Platform(), {}
    async with AsyncExitStack() as stack:
        for name in "abc":
            await stack.enter_async_context(Process(store, name, platform, processes))
        await eventually(lambda: any(one.duty.is_holder() for one in processes.values()))
        yield store, platform, dict(processes)


def split_holder(processes):
    """Return the holder and the list of the other processes."""
    holder = next(one for one in processes.values() if one.duty.is_holder())
    return holder, [one for one in processes.values() if one is not holder]


async def test_each_request_is_reported_once_by_one_process(three_processes):
    _, platform, processes = three_processes
    for number in range(30):
        for process in processes.values():
            process.count("t1" if number % 3 else "t2")
        await asyncio.sleep(0.03)
    await eventually(lambda: platform.total() == 90, "all reported")
    assert sum(counts.get("t2", 0) for counts in platform.reports.values()) == 30
    assert len({holder for holder, _, _ in platform.calls}) == 1
    windows = [window for _, _, window in platform.calls]
    assert windows == sorted(set(windows)), "each window once, in order"


async def test_a_killed_holder_takes_nothing_with_it(three_processes):
    store, platform, processes = three_processes
    holder, others = split_holder(processes)
    for process in others:
        process.count("t")
    await eventually(lambda: holder.reporter._ledger and holder.reporter._ledger.open)
    holder.kill()
    for process in others:
        process.count("t")
    await eventually(lambda: platform.total() == 4, "all reported")
    assert len({fence for _, fence, _ in platform.calls}) <= 2


async def test_all_killed_at_once_lose_only_what_was_counted_moments_ago(three_processes):
    store, platform, processes = three_processes
    for process in processes.values():
        process.count("t")
    holder, _ = split_holder(processes)
    await eventually(lambda: holder.reporter._revision and not holder.reporter._has_unsaved_changes)
    for process in processes.values():
        process.kill()
    again = {}
    async with AsyncExitStack() as stack:
        for name in "abc":
            await stack.enter_async_context(Process(store, name, platform, again))
        await eventually(lambda: platform.total() == 3, "all reported")


@pytest.mark.parametrize("failure", [DutyRefused, DutyUnanswered])
async def test_a_report_that_fails_is_repeated_unchanged(three_processes, failure):
    _, platform, processes = three_processes
    platform.failures = [failure] * 3
    for process in processes.values():
        process.count("t")
    await eventually(lambda: platform.total() == 3, "reported")
    # `Platform.report_usage` fails if two reports of one window differ.
    await eventually(lambda: not platform.failures)


async def test_a_ledger_whose_writes_lose_their_answers_counts_nothing_twice(three_processes):
    """A ledger write that takes effect although its answer is lost must not duplicate counts.

    In a soak run, a window was reported again with the same counts after such a write. Here every
    ledger write loses its answer for more than a second while requests arrive.
    """
    store, platform, processes = three_processes
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


async def test_a_holder_that_was_fenced_reports_only_under_a_new_token(three_processes):
    _, platform, processes = three_processes
    holder, _ = split_holder(processes)
    await eventually(lambda: holder.duty.fence() is not None)
    old_fence = holder.duty.fence()
    platform.highest_fence = old_fence + 1000
    processes["a"].count("t")
    await eventually(lambda: any(one.duty._refused_fence for one in processes.values()))
    platform.highest_fence = old_fence
    await eventually(lambda: platform.total() == 1, "reported")
    assert all(fence > old_fence for _, fence, _ in platform.calls if fence != old_fence)


async def test_a_planned_shutdown_sends_the_last_counts(three_processes):
    _, platform, processes = three_processes
    holder, others = split_holder(processes)
    others[0].tasks[3].cancel()
    others[0].count("t")
    await others[0].counter.flush()
    others[0].kill()
    await eventually(lambda: platform.total() == 1)


async def test_counts_are_resent_to_a_holder_that_won_the_duty_again(three_processes):
    store, platform, processes = three_processes
    holder, others = split_holder(processes)
    for process in others:
        process.count("t")
    await eventually(lambda: all(not one.counter._has_unsent.is_set() for one in others))
    store.expire_lease(holder.lease.number)
    await eventually(lambda: platform.total() == 2)
