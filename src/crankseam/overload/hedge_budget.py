"""Limits the second attempts that are sent because the first one is slow.

Inputs: the requests and hedges of this process at one service; the length of its waiting line;
whether the limit of concurrent requests is in use. All are exact and current.
Rule: Each request adds `HEDGES_PER_REQUEST` to a token bucket that holds at most `RESERVE`; a hedge
takes one token. No hedge is sent while requests wait or the limit is in use.
Purpose: Where one back end is slow, hedges avoid it. Where all are slow, hedges only add load, and
the bucket is soon empty.
Logged as: `hedge_withheld`.
Tested by: tests/overload/test_hedge_budget.py.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

HEDGES_PER_REQUEST = 0.1
"""Hedges that may be sent for each request. The load at a service where everything is slow grows by
no more than this fraction."""
RESERVE = 5.0
"""Hedges that may be sent in a row. It allows hedging where requests are few, and limits the hedges
that follow a long time without any."""


class HedgeRefusal(enum.Enum):
    """Why a hedge is not sent."""

    WAITING = "others wait"
    LIMIT = "limit in use"
    BUDGET = "budget used up"


@dataclass(slots=True)
class HedgeBudget:
    """Token bucket of one service."""

    tokens: float = RESERVE

    def record_request(self) -> None:
        """Record that a request was sent."""
        self.tokens = min(RESERVE, self.tokens + HEDGES_PER_REQUEST)

    def try_take(self, waiting: int, running: int, limit: int) -> HedgeRefusal | None:
        """Take a token for one hedge; return why none may be sent, or None if it may.

        Parameters
        ==========

        waiting : number of requests in the line.
        running : number of running requests, including earlier hedges.
        limit : requests that may run at the same time.
        """
        if waiting:
            return HedgeRefusal.WAITING
        if running >= limit:
            return HedgeRefusal.LIMIT
        if self.tokens < 1.0:
            return HedgeRefusal.BUDGET
        self.tokens -= 1.0
        return None
