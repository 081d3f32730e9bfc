"""Decides in which order the waiting requests of one assignment round are tried for places.

Inputs: the rank of each waiting request; the start of each tenant, asked again after each grant.
Rule: requests go in ascending order of their rank class, which is the first RANK_CLASS_FIELDS
fields of the rank, then of the start of their tenant in their model, then of their rank, then of
arrival. A request for which no sampler has room is passed over; the next of its tenant is tried.
Purpose: a large tenant's backlog does not go before a small tenant's first request, and no slot
stays free that a waiting request could use.
Logged as: `tenant_waited`, `item_sent`.
Tested by: tests/fairness/test_round_order.py.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from crankseam.fairness.item_order import ItemFairness
from crankseam.jobs.places import PlaceRequest
from crankseam.jobs.urgency import RANK_CLASS_FIELDS


class _Contender(NamedTuple):
    """Whose requests share a start: a tenant's, of one rank class and model."""

    rank_class: tuple[float, ...]
    tenant: str
    model: str


@dataclass(order=True, slots=True)
class _Entry:
    """A contender with its next request; the smallest entry is tried first."""

    rank_class: tuple[float, ...]
    start_s: float
    rank: tuple[float, ...]
    number: int
    contender: _Contender = field(compare=False)


class RoundOrder:
    """The waiting requests of one round; each is returned once.

    Parameters
    ==========

    waiting : the requests, in ascending order of rank and number.
    """

    def __init__(self, waiting: Iterable[PlaceRequest], fairness: ItemFairness) -> None:
        self._fairness = fairness
        self._requests: dict[_Contender, deque[PlaceRequest]] = {}
        for request in waiting:
            need = request.need
            contender = _Contender(request.rank[:RANK_CLASS_FIELDS], need.tenant, need.model)
            self._requests.setdefault(contender, deque()).append(request)
        self._heap = [self._entry(contender) for contender in self._requests]
        heapq.heapify(self._heap)

    def next(self) -> PlaceRequest | None:
        """Return the request to try next; None if all have been returned.

        Starts only grow during a round, so an outdated entry is always too small. It is put back
        with its current start.
        """
        while self._heap:
            entry = self._heap[0]
            start_s = self._start_s(entry.contender)
            if start_s > entry.start_s:
                entry.start_s = start_s
                heapq.heapreplace(self._heap, entry)
                continue
            return self._take(entry)
        return None

    def granted(self, request: PlaceRequest) -> None:
        """Record that a request that was returned got a place."""
        need = request.need
        self._fairness.granted(need.tenant, need.model, need.work_s, request.rank[0])

    def _take(self, entry: _Entry) -> PlaceRequest:
        requests = self._requests[entry.contender]
        request = requests.popleft()
        if not requests:
            heapq.heappop(self._heap)
            return request
        entry.rank, entry.number = requests[0].rank, requests[0].number
        heapq.heapreplace(self._heap, entry)
        return request

    def _entry(self, contender: _Contender) -> _Entry:
        first = self._requests[contender][0]
        start_s = self._start_s(contender)
        return _Entry(contender.rank_class, start_s, first.rank, first.number, contender)

    def _start_s(self, contender: _Contender) -> float:
        priority = contender.rank_class[0]
        return self._fairness.start_of(contender.tenant, contender.model, priority)
