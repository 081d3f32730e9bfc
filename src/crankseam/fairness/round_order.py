"""Decides in which order the waiting requests of one assignment round are tried for places.

Inputs: the rank and kind of each waiting request; the start of each tenant, asked again after each
grant.
Rule: requests go in ascending order of their rank class, which is the first RANK_CLASS_FIELDS
fields of the rank. Among those of one class and model, the tenant with the smallest start goes
first, and its requests go by rank, then by arrival. Among models, whose starts are not comparable,
the requests whose turn it is go by rank, then by arrival. Once no sampler has room for a request,
the others of its kind are passed over: room only shrinks during a round.
Purpose: a large tenant's backlog does not go before a small tenant's first request, and no slot
stays free that a waiting request could use.
Logged as: `tenant_waited`, `item_sent`.
Tested by: tests/fairness/test_round_order.py.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from crankseam.fairness.item_order import ItemFairness
from crankseam.jobs.places import ItemKind, PlaceRequest
from crankseam.jobs.urgency import PRIORITY_FIELD, RANK_CLASS_FIELDS


class RankOrder:
    """The waiting requests of one round in order of rank, where tenants have no shares.

    Parameters
    ==========

    waiting : the requests, in ascending order of rank and number.
    """

    def __init__(self, waiting: Iterable[PlaceRequest]) -> None:
        self._waiting = iter(waiting)

    def next(self) -> PlaceRequest | None:
        """See RoundOrder; requests for which there is no room are returned as well."""
        return next(self._waiting, None)

    def granted(self, request: PlaceRequest) -> None:
        """See RoundOrder."""

    def found_no_room(self, request: PlaceRequest) -> None:
        """See RoundOrder."""


class _Contender(NamedTuple):
    """A tenant and a kind of request.

    Its waiting requests have the same start, and fit the same samplers.
    """

    tenant: str
    kind: ItemKind


class _ModelQueueKey(NamedTuple):
    """Rank class and model; only starts of requests that agree in both are comparable."""

    rank_class: tuple[float, ...]
    model: str


class _Entry(NamedTuple):
    """A contender's next request; the smallest entry of a queue is tried first.

    Numbers differ, so the contenders are never compared.
    """

    start_s: float
    rank: tuple[float, ...]
    number: int
    contender: _Contender


class _QueueEntry(NamedTuple):
    """The request whose turn it is in a queue; numbers differ, so the keys are never compared."""

    rank_class: tuple[float, ...]
    rank: tuple[float, ...]
    number: int
    queue: _ModelQueueKey


class _ModelQueue:
    """The waiting requests of one rank class and model, by tenant and kind."""

    def __init__(
        self, key: _ModelQueueKey, fairness: ItemFairness, full_kinds: set[ItemKind]
    ) -> None:
        self._key = key
        self._fairness = fairness
        self._full_kinds = full_kinds
        self._requests: dict[_Contender, deque[PlaceRequest]] = {}
        self._heap: list[_Entry] = []

    def add(self, request: PlaceRequest) -> None:
        """Add a request; those of one contender in ascending order."""
        contender = _Contender(request.need.tenant, request.kind)
        self._requests.setdefault(contender, deque()).append(request)

    def sort(self) -> None:
        """Make the order of the contenders, once all requests are added."""
        self._heap = [
            self._entry(contender, self._start_s(contender)) for contender in self._requests
        ]
        heapq.heapify(self._heap)

    def first(self) -> _QueueEntry | None:
        """Return the request whose turn it is; None if there is none left with room.

        Starts only grow during a round, so an outdated entry is always too small. It is put back
        with its current start.
        """
        while self._heap:
            entry = self._heap[0]
            if entry.contender.kind in self._full_kinds:
                heapq.heappop(self._heap)
                continue
            start_s = self._start_s(entry.contender)
            if start_s <= entry.start_s:
                return _QueueEntry(self._key.rank_class, entry.rank, entry.number, self._key)
            heapq.heapreplace(self._heap, self._entry(entry.contender, start_s))
        return None

    def take(self) -> PlaceRequest:
        """Remove and return the request that `first` returned."""
        entry = self._heap[0]
        requests = self._requests[entry.contender]
        request = requests.popleft()
        if requests:
            heapq.heapreplace(self._heap, self._entry(entry.contender, entry.start_s))
        else:
            heapq.heappop(self._heap)
        return request

    def _entry(self, contender: _Contender, start_s: float) -> _Entry:
        first = self._requests[contender][0]
        return _Entry(start_s, first.rank, first.number, contender)

    def _start_s(self, contender: _Contender) -> float:
        priority = self._key.rank_class[0]
        return self._fairness.start_of(contender.tenant, self._key.model, priority)


class RoundOrder:
    """The waiting requests of one round; each is returned at most once.

    Parameters
    ==========

    waiting : the requests, in ascending order of rank and number.
    """

    def __init__(self, waiting: Iterable[PlaceRequest], fairness: ItemFairness) -> None:
        self._fairness = fairness
        self._full_kinds: set[ItemKind] = set()
        self._queues: dict[_ModelQueueKey, _ModelQueue] = {}
        for request in waiting:
            self._queue_of(request).add(request)
        self._taken_from: _ModelQueue | None = None
        """Queue of the last request returned, whose next request may depend on its outcome."""
        self._heap: list[_QueueEntry] = []
        for queue in self._queues.values():
            queue.sort()
            self._push(queue.first())

    def next(self) -> PlaceRequest | None:
        """Return the request to try next; None if there is none left with room.

        The entry of a queue may be outdated, unless the queue has just been pushed.
        """
        if self._taken_from is not None:
            self._push(self._taken_from.first())
        while self._heap:
            known = heapq.heappop(self._heap)
            queue = self._queues[known.queue]
            if queue is not self._taken_from:
                current = queue.first()
                if current != known:
                    self._push(current)
                    continue
            self._taken_from = queue
            return queue.take()
        return None

    def granted(self, request: PlaceRequest) -> None:
        """Record that a request that was returned got a place."""
        need = request.need
        self._fairness.granted(need.tenant, need.model, need.work_s, request.rank[PRIORITY_FIELD])

    def found_no_room(self, request: PlaceRequest) -> None:
        """Record that no sampler has room for a request that was returned."""
        self._full_kinds.add(request.kind)

    def _queue_of(self, request: PlaceRequest) -> _ModelQueue:
        key = _ModelQueueKey(request.rank[:RANK_CLASS_FIELDS], request.need.model)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _ModelQueue(key, self._fairness, self._full_kinds)
        return queue

    def _push(self, entry: _QueueEntry | None) -> None:
        if entry is not None:
            heapq.heappush(self._heap, entry)
