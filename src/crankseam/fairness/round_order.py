"""Decides in which order the waiting requests of one assignment round are tried for places.

Inputs: the rank and kind of each waiting request; the start of each tenant, asked again after each
grant.
Rule: requests go in ascending order of their rank class, which is the first RANK_CLASS_FIELDS
fields of the rank, then of the start of their tenant in their model, then of their rank, then of
arrival. Once no sampler has room for a request, the others of its kind are passed over: room only
shrinks during a round.
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
from crankseam.jobs.urgency import RANK_CLASS_FIELDS


class _Contender(NamedTuple):
    """Whose requests share a start and a room: a tenant's, of one rank class and kind."""

    rank_class: tuple[float, ...]
    tenant: str
    kind: ItemKind


class _Entry(NamedTuple):
    """A contender's next request; the smallest entry is tried first.

    Numbers differ, so the contenders are never compared.
    """

    rank_class: tuple[float, ...]
    start_s: float
    rank: tuple[float, ...]
    number: int
    contender: _Contender


class RoundOrder:
    """The waiting requests of one round; each is returned at most once.

    Parameters
    ==========

    waiting : the requests, in ascending order of rank and number.
    """

    def __init__(self, waiting: Iterable[PlaceRequest], fairness: ItemFairness) -> None:
        self._fairness = fairness
        self._full_kinds: set[ItemKind] = set()
        self._requests: dict[_Contender, deque[PlaceRequest]] = {}
        for request in waiting:
            rank_class = request.rank[:RANK_CLASS_FIELDS]
            contender = _Contender(rank_class, request.need.tenant, request.kind)
            self._requests.setdefault(contender, deque()).append(request)
        self._heap = [
            self._entry(contender, self._start_s(contender)) for contender in self._requests
        ]
        heapq.heapify(self._heap)

    def next(self) -> PlaceRequest | None:
        """Return the request to try next; None if there is none left with room.

        Starts only grow during a round, so an outdated entry is always too small. It is put back
        with its current start.
        """
        while self._heap:
            contender = self._heap[0].contender
            if contender.kind in self._full_kinds:
                heapq.heappop(self._heap)
                continue
            start_s = self._start_s(contender)
            if start_s > self._heap[0].start_s:
                heapq.heapreplace(self._heap, self._entry(contender, start_s))
                continue
            return self._take(contender, start_s)
        return None

    def granted(self, request: PlaceRequest) -> None:
        """Record that a request that was returned got a place."""
        need = request.need
        self._fairness.granted(need.tenant, need.model, need.work_s, request.rank[0])

    def found_no_room(self, request: PlaceRequest) -> None:
        """Record that no sampler has room for a request that was returned."""
        self._full_kinds.add(request.kind)

    def _take(self, contender: _Contender, start_s: float) -> PlaceRequest:
        requests = self._requests[contender]
        request = requests.popleft()
        if requests:
            heapq.heapreplace(self._heap, self._entry(contender, start_s))
        else:
            heapq.heappop(self._heap)
        return request

    def _entry(self, contender: _Contender, start_s: float) -> _Entry:
        first = self._requests[contender][0]
        return _Entry(contender.rank_class, start_s, first.rank, first.number, contender)

    def _start_s(self, contender: _Contender) -> float:
        priority = contender.rank_class[0]
        return self._fairness.start_of(contender.tenant, contender.kind.model, priority)
