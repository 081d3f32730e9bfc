"""The waiting line under bursts: its order, its bounds, and that nobody starves."""

import heapq
import itertools
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.overload.line import MAX_PASSED_OVER, Waiter, WaitingLine
from crankseam.serving.fair_order import ArrivalOrder


class WorkOrder:
    """Fair order by the work that was charged, with no regard to idle time."""

    def __init__(self):
        self.work = {}

    def start_of(self, tenant):
        return self.work.get(tenant, 0.0)

    def charge(self, tenant, work_s):
        self.work[tenant] = self.start_of(tenant) + work_s


def waiter(number, tenant="", priority=5, deadline=10.0, size_bytes=0):
    return Waiter(tenant, priority, deadline, size_bytes, number)


def take_all(line, order=None):
    while (taken := line.take()) is not None:
        if order is not None:
            order.charge(taken.tenant, 1.0)
        yield taken


WAITERS = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(0, 3), st.floats(0.0, 9.0), st.integers(0, 40)),
    max_size=60,
)


@given(WAITERS, st.lists(st.integers(0, 59)))
def test_within_a_priority_and_tenant_the_earliest_deadline_goes_first(entries, cancelled):
    order = WorkOrder()
    line = WaitingLine(lambda _priority: order)
    waiters = [waiter(number, *entry) for number, entry in enumerate(entries)]
    for each in waiters:
        assert line.add(each) is None
    gone = {number for number in cancelled if number < len(waiters)}
    for number in gone:
        line.remove(waiters[number])
    taken = list(take_all(line, order))
    assert sorted(each.number for each in taken) == sorted(set(range(len(waiters))) - gone)
    for tenant in "abc":
        for priority in range(4):
            same = [each for each in taken if (each.tenant, each.priority) == (tenant, priority)]
            assert same == sorted(same, key=lambda each: (each.deadline, each.number))
    assert len(line) == line.size_bytes == 0


@given(WAITERS)
def test_entries_and_bytes_are_bounded_and_each_newcomer_costs_at_most_one_place(entries):
    line, inside = WaitingLine(lambda _priority: WorkOrder(), max_entries=16, max_bytes=200), set()
    for number, entry in enumerate(entries):
        newcomer = waiter(number, *entry)
        displaced = line.add(newcomer)
        if displaced is not newcomer:
            inside.add(newcomer)
        inside.discard(displaced)
        assert len(line) == len(inside) <= 16
        assert line.size_bytes == sum(each.size_bytes for each in inside) <= 200
        assert {each for each in line.waiters()} == inside


@given(st.lists(st.integers(0, 3), min_size=2, max_size=40))
def test_no_priority_starves(priorities):
    line, numbers = WaitingLine(lambda _priority: ArrivalOrder()), iter(range(10_000))
    for priority in priorities:
        line.add(waiter(next(numbers), priority=priority))
    passed_over = dict.fromkeys(priorities, 0)
    for _ in range(100):
        taken = line.take()
        line.add(waiter(next(numbers), priority=taken.priority))
        for priority in passed_over:
            passed_over[priority] = 0 if priority == taken.priority else passed_over[priority] + 1
        assert max(passed_over.values()) <= MAX_PASSED_OVER + len(passed_over)


def test_urgent_requests_get_most_places_and_go_first():
    line = WaitingLine(lambda _priority: ArrivalOrder())
    for number in range(50):
        line.add(waiter(number, priority=number % 2))
    taken = [each.priority for each in take_all(line)]
    assert taken[:MAX_PASSED_OVER] == [0] * MAX_PASSED_OVER
    assert taken[:25].count(1) == 25 // (MAX_PASSED_OVER + 1)


def test_a_burst_of_one_tenant_neither_delays_nor_displaces_a_small_one():
    order = WorkOrder()
    line = WaitingLine(lambda _priority: order, max_entries=100)
    for number in range(1000):
        line.add(waiter(number, "large", deadline=1.0))
    small = [waiter(1000 + number, "small", deadline=9.0) for number in range(10)]
    assert line.place_of("small", 5) == 1
    for each in small:
        displaced = line.add(each)
        assert displaced.tenant == "large"
    first = [next(take_all(line, order)).tenant for _ in range(20)]
    assert first.count("small") >= 9


def test_a_less_urgent_burst_gives_room_to_urgent_requests_but_keeps_its_reserve():
    line = WaitingLine(lambda _priority: ArrivalOrder(), max_entries=80)
    for number in range(100):
        line.add(waiter(number, priority=7))
    for number in range(100, 300):
        line.add(waiter(number, priority=1))
    priorities = [each.priority for each in line.waiters()]
    assert (priorities.count(1), priorities.count(7)) == (70, 10)
    newcomer = waiter(300, priority=9)
    assert line.add(newcomer).priority == 1, "a new priority has a reserve too"


def test_a_body_larger_than_the_line_displaces_nobody():
    line = WaitingLine(lambda _priority: ArrivalOrder(), max_bytes=100)
    line.add(waiter(0, priority=9, size_bytes=60))
    large = waiter(1, priority=0, size_bytes=101)
    assert line.add(large) is large and len(line) == 1


@pytest.mark.parametrize("cancel", [True, False])
def test_cancelled_waiters_leave_no_memory_behind(cancel):
    """Removal leaves entries in the heaps; without compaction they would pile up for ever."""
    line = WaitingLine(lambda _priority: ArrivalOrder())
    line.add(waiter(0, deadline=-1.0))
    for number in range(1, 3000):
        each = waiter(number, deadline=float(-number))
        line.add(each)
        line.remove(each) if cancel else line.remove(line.take())
    held = line._priorities[5]
    (tenant,) = held.tenants.values()
    assert max(len(held.queue), len(tenant.by_deadline), len(tenant.by_arrival)) <= 70


def test_taking_costs_logarithmically_many_comparisons(monkeypatch):
    pops = []
    heappop = heapq.heappop
    monkeypatch.setattr(heapq, "heappop", lambda heap: pops.append(1) or heappop(heap))
    order = WorkOrder()
    line = WaitingLine(lambda _priority: order, max_entries=5000)
    for number in range(5000):
        line.add(waiter(number, f"t{number % 10}", deadline=float(number * 7919 % 5000)))
    assert len(list(take_all(line, order))) == 5000
    assert len(pops) < 4 * 5000, "a few heap operations for each request"


def test_an_order_that_changes_by_itself_does_not_hang_the_line():
    class Restless(ArrivalOrder):
        calls = 0

        def start_of(self, tenant):
            Restless.calls += 1
            return float(Restless.calls)

    line = WaitingLine(lambda _priority: Restless())
    for number in range(6):
        line.add(waiter(number, tenant=f"t{number % 3}"))
    assert len(list(take_all(line))) == 6


@pytest.mark.parametrize("others", [1, 5, 50])
def test_a_tenant_whose_start_fell_is_next_after_at_most_as_many_as_tenants_wait(others):
    """A start falls if a tenant comes back, or if the configuration has no tenants any more."""
    starts = {"back": math.inf}

    class Starts(ArrivalOrder):
        def start_of(self, tenant):
            return starts.get(tenant, 5.0)

    line = WaitingLine(lambda _priority: Starts())
    numbers = itertools.count()

    def arrive(tenant):
        line.add(Waiter(tenant, 0, 30.0, 0, next(numbers)))

    for tenant in ["back", *(f"t{number}" for number in range(others))]:
        arrive(tenant)
    starts["back"] = 0.0
    for _ in range(others + 2):
        taken = line.take()
        if taken.tenant == "back":
            return
        arrive(taken.tenant)
    raise AssertionError("it waits behind all that arrive")
