"""Waiting line of one service: which waiting request is next, and which one has no room.

Inputs: the priority, the tenant, the deadline and the size of each waiting request; the work that
each tenant received so far (`FairOrder`). All are exact and current.
Rule: The most urgent priority goes first. Within it the tenant that received the least goes first,
and within a tenant, or among tenants that received the same, the earliest deadline. A less urgent
priority that was passed over `MAX_PASSED_OVER` times in a row is next, the one that was passed over
most often first. The line is bounded in entries and in bytes of bodies. If it is full, a newcomer
takes the room of one other request, chosen by `_find_victim`; if there is none, it has no room.
Purpose: Urgent requests go first, a burst of one tenant neither delays nor displaces the requests
of others, and the memory of the process stays bounded.
Logged as: `request_queued`, `request_rejected_early`.
Tested by: tests/overload/test_line.py.

Cost: taking, adding and removing are O(log n) in the waiting requests, averaged over many of them.
Finding a place in the line or a victim is linear in the tenants and priorities that wait, not in
their requests.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from crankseam.serving.fair_order import FairOrder

MAX_LINE_ENTRIES = 1024
"""Number of requests that wait for one service in this process. A longer line drains only after the
deadlines of its callers."""
MAX_LINE_BYTES = 32 * 1024 * 1024
"""Bytes of the bodies that wait for one service. Larger lines would endanger the memory of the
process when several services are overloaded."""
MAX_PASSED_OVER = 8
"""Number of times in a row that a less urgent priority lets others go first. Where several were
passed over that often, they are next one after another."""
RESERVED_FRACTION = 1.0 / 8.0
"""Fraction of the entries up to which the requests of one priority are not displaced by others."""
MIN_COMPACTED = 64
"""Number of outdated heap entries that are kept before a heap is rebuilt."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request.

    Attributes
    ==========

    priority : 0 is served first.
    deadline : time, in seconds of `clocks.boottime_s`, at which the request is given up.
    size_bytes : size of its body.
    number : position in the order of arrival.
    is_waiting : whether it is in the line.
    """

    tenant: str
    priority: int
    deadline: float
    size_bytes: int
    number: int
    is_waiting: bool = False


class _WaiterKey(NamedTuple):
    """Sort key of a waiter among those of its tenant and priority."""

    deadline: float
    number: int


class _TenantKey(NamedTuple):
    """Sort key of a tenant among those of its priority."""

    start: float
    first: _WaiterKey


class _TurnKey(NamedTuple):
    """Sort key of a waiter among all, if the tenants of a priority take turns.

    `turn` is the number of earlier waiters of its tenant and priority.
    """

    priority: int
    turn: int
    deadline: float
    number: int


@dataclass(slots=True)
class _TenantLine:
    """Waiting requests of one tenant and priority.

    Attributes
    ==========

    by_deadline : heap of all waiters; those that left are dropped when they reach its head.
    by_arrival : the same waiters in order of arrival, for displacing the newest.
    count : number of requests that wait.
    key : the key under which the tenant is in the heap of its priority.
    """

    name: str
    by_deadline: list[tuple[_WaiterKey, Waiter]] = field(default_factory=list)
    by_arrival: list[Waiter] = field(default_factory=list)
    count: int = 0
    key: _TenantKey | None = None

    def add(self, waiter: Waiter) -> None:
        key = _WaiterKey(waiter.deadline, waiter.number)
        heapq.heappush(self.by_deadline, (key, waiter))
        self.by_arrival.append(waiter)
        self.count += 1

    def discard(self) -> None:
        """Count one waiter less, and rebuild the lists if most of their entries have left."""
        self.count -= 1
        if len(self.by_deadline) > 2 * self.count + MIN_COMPACTED:
            self.by_deadline = [entry for entry in self.by_deadline if entry[1].is_waiting]
            heapq.heapify(self.by_deadline)
        if len(self.by_arrival) > 2 * self.count + MIN_COMPACTED:
            self.by_arrival = [waiter for waiter in self.by_arrival if waiter.is_waiting]

    def first(self) -> tuple[_WaiterKey, Waiter]:
        """Return the waiter with the earliest deadline; requires that one waits."""
        while not self.by_deadline[0][1].is_waiting:
            heapq.heappop(self.by_deadline)
        return self.by_deadline[0]

    def newest(self) -> Waiter:
        """Return the waiter that arrived last; requires that one waits."""
        while not self.by_arrival[-1].is_waiting:
            self.by_arrival.pop()
        return self.by_arrival[-1]


@dataclass(slots=True)
class _PriorityLine:
    """Waiting requests of one priority, by tenant.

    Attributes
    ==========

    order : order among the tenants.
    queue : heap of the tenants. An entry whose key is no longer that of its tenant is outdated.
    passed_over : number of requests in a row that went first from more urgent priorities.
    looked_up : number of times that the next waiter was looked up since all keys were renewed.
    """

    order: FairOrder
    tenants: dict[str, _TenantLine] = field(default_factory=dict)
    queue: list[tuple[_TenantKey, str]] = field(default_factory=list)
    count: int = 0
    passed_over: int = 0
    looked_up: int = 0

    def add(self, waiter: Waiter) -> None:
        line = self.tenants.get(waiter.tenant)
        if line is None:
            line = self.tenants[waiter.tenant] = _TenantLine(waiter.tenant)
        line.add(waiter)
        self.count += 1
        self._requeue(line)

    def discard(self, waiter: Waiter) -> None:
        line = self.tenants[waiter.tenant]
        line.discard()
        self.count -= 1
        if not line.count:
            del self.tenants[waiter.tenant]

    def first(self) -> Waiter:
        """Return the next waiter; requires that one waits.

        Keys that have grown since they were queued are corrected when they reach the head, each at
        most once, so that this ends even if the order changes by itself. Keys that have become
        smaller, as that of a tenant that came back, are corrected when all keys are renewed, which
        happens once in as many look-ups as tenants wait.
        """
        self.looked_up += 1
        if self.looked_up >= len(self.tenants):
            self._renew_keys()
        corrected: set[str] = set()
        while True:
            key, name = self.queue[0]
            line = self.tenants.get(name)
            if line is None or line.key != key:
                heapq.heappop(self.queue)
                continue
            waiter_key, waiter = line.first()
            if name in corrected or key == _TenantKey(self.order.start_of(name), waiter_key):
                return waiter
            corrected.add(name)
            heapq.heappop(self.queue)
            line.key = None
            self._requeue(line)

    def largest(self) -> _TenantLine:
        """Return the tenant with the most waiting requests."""
        return max(self.tenants.values(), key=lambda line: line.count)

    def _requeue(self, line: _TenantLine) -> None:
        key = _TenantKey(self.order.start_of(line.name), line.first()[0])
        if key == line.key:
            return
        line.key = key
        heapq.heappush(self.queue, (key, line.name))
        if len(self.queue) > 2 * len(self.tenants) + MIN_COMPACTED:
            self._compact()

    def _renew_keys(self) -> None:
        self.looked_up = 0
        for line in self.tenants.values():
            line.key = _TenantKey(self.order.start_of(line.name), line.first()[0])
        self._compact()

    def _compact(self) -> None:
        lines = self.tenants.values()
        self.queue = [(line.key, line.name) for line in lines if line.key is not None]
        heapq.heapify(self.queue)


class WaitingLine:
    """The requests of this process that wait for one service.

    Parameters
    ==========

    order_of : returns the order among the tenants of a priority.
    max_entries, max_bytes : bounds of the line.

    Attributes
    ==========

    size_bytes : bytes of the bodies that wait.
    """

    def __init__(
        self,
        order_of: Callable[[int], FairOrder],
        max_entries: int = MAX_LINE_ENTRIES,
        max_bytes: int = MAX_LINE_BYTES,
    ) -> None:
        self._order_of = order_of
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._priorities: dict[int, _PriorityLine] = {}
        self._count = 0
        self.size_bytes = 0

    def __len__(self) -> int:
        return self._count

    def waiters(self) -> list[Waiter]:
        """Return all waiting requests in the order that `place_of` assumes.

        The most urgent priority goes first; within it the tenants take turns, and each sends its
        earliest deadline.
        """
        keyed: list[tuple[_TurnKey, Waiter]] = []
        for priority, priority_line in self._priorities.items():
            for line in priority_line.tenants.values():
                waiting = [each for each in line.by_arrival if each.is_waiting]
                waiting.sort(key=lambda each: (each.deadline, each.number))
                keyed.extend(
                    (_TurnKey(priority, turn, each.deadline, each.number), each)
                    for turn, each in enumerate(waiting)
                )
        keyed.sort(key=lambda entry: entry[0])
        return [waiter for _, waiter in keyed]

    def place_of(self, tenant: str, priority: int) -> int:
        """Return how many waiting requests go before a new one, if no more arrive.

        Counts all requests of more urgent priorities, and those of the same priority that go first
        while the tenants take turns.
        """
        ahead = 0
        for other, priority_line in self._priorities.items():
            if other < priority:
                ahead += priority_line.count
        same = self._priorities.get(priority)
        if same is None:
            return ahead
        own = same.tenants.get(tenant)
        own_count = own.count if own is not None else 0
        turns = own_count + 1
        others = sum(min(line.count, turns) for line in same.tenants.values() if line is not own)
        return ahead + own_count + others

    def add(self, waiter: Waiter) -> Waiter | None:
        """Add a request; return the one that has no room: another one, itself, or None."""
        displaced: Waiter | None = None
        if not self._fits(waiter, None):
            displaced = self._find_victim(waiter)
            if displaced is None or not self._fits(waiter, displaced):
                return waiter
            self.remove(displaced)
        priority_line = self._priorities.get(waiter.priority)
        if priority_line is None:
            priority_line = self._priorities[waiter.priority] = _PriorityLine(
                self._order_of(waiter.priority)
            )
        waiter.is_waiting = True
        self._count += 1
        self.size_bytes += waiter.size_bytes
        priority_line.add(waiter)
        return displaced

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits; does nothing if it is not in the line."""
        if not waiter.is_waiting:
            return
        waiter.is_waiting = False
        self._count -= 1
        self.size_bytes -= waiter.size_bytes
        priority_line = self._priorities[waiter.priority]
        priority_line.discard(waiter)
        if not priority_line.count:
            del self._priorities[waiter.priority]

    def take(self) -> Waiter | None:
        """Remove and return the next request; None if none waits."""
        if not self._count:
            return None
        priority = self._next_priority()
        waiter = self._priorities[priority].first()
        for other, priority_line in self._priorities.items():
            if other > priority:
                priority_line.passed_over += 1
        self._priorities[priority].passed_over = 0
        self.remove(waiter)
        return waiter

    def _next_priority(self) -> int:
        passed = max(self._priorities, key=lambda key: self._priorities[key].passed_over)
        if self._priorities[passed].passed_over >= MAX_PASSED_OVER:
            return passed
        return min(self._priorities)

    def _fits(self, waiter: Waiter, displaced: Waiter | None) -> bool:
        """Whether a request has room, after another one was displaced."""
        entries, size_bytes = self._count + 1, self.size_bytes + waiter.size_bytes
        if displaced is not None:
            entries, size_bytes = entries - 1, size_bytes - displaced.size_bytes
        return entries <= self._max_entries and size_bytes <= self._max_bytes

    def _find_victim(self, newcomer: Waiter) -> Waiter | None:
        """Return the request whose room a newcomer takes; None if it has to be refused itself.

        Explanation
        ===========

        A priority gives room to a more urgent one only while it has more than its reserve. A
        priority that has less than its reserve takes room from any that has more, the least urgent
        first. Within a priority, a tenant takes room from the one that has the most requests,
        which loses the newest: it would have been refused had it arrived last.
        """
        reserve = max(1, int(self._max_entries * RESERVED_FRACTION))
        own = self._priorities.get(newcomer.priority)
        has_reserve_left = own is None or own.count < reserve
        for priority in sorted(self._priorities, reverse=True):
            is_less_urgent = priority > newcomer.priority
            if priority == newcomer.priority or not (is_less_urgent or has_reserve_left):
                continue
            if self._priorities[priority].count > reserve:
                return self._priorities[priority].largest().newest()
        if own is None:
            return None
        largest, line = own.largest(), own.tenants.get(newcomer.tenant)
        if largest.count <= (line.count if line is not None else 0) + 1:
            return None
        return largest.newest()
