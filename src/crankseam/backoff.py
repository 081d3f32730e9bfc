"""Retry back-off with full jitter, a token bucket, and a retry budget.

Each object keeps its own state and is used by one task or process; none is shared between
processes. Times are in seconds, rates in events per second.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

CRASH_RETRY_BASE_S = 0.04
"""Longest first delay of work whose back end crashed. A sampler takes about a dozen items along,
which need not go to the few others in the same moment; a step waits for each of them."""
CRASH_RETRY_FACTOR = 3.0
"""Growth of that delay with each further crash, so that work under which back ends crash again and
again reaches few of them."""
CRASH_RETRY_CAP_S = 4.0
"""Longest delay: an item that is still owed must not wait for 5 s beside free slots."""
CRASH_RETRY_MIN_FRACTION = 0.5
"""Shortest delay as a fraction of the longest one; without it, delays could be 0."""


class Backoff:
    """Exponential retry delays: uniform in [0, min(cap, base * 2**failures)].

    Parameters
    ==========

    factor : growth of the upper bound with each failure.
    min_fraction : lower bound of a delay, as a fraction of the upper bound.
    """

    def __init__(
        self,
        base: float,
        cap: float,
        generator: random.Random | None = None,
        factor: float = 2.0,
        min_fraction: float = 0.0,
    ) -> None:
        self._base = base
        self._cap = cap
        self._factor = factor
        self._min_fraction = min_fraction
        self._random = generator or random.Random()
        self._failures = 0

    def reset(self) -> None:
        """Set the count of failures to zero, for example after a success."""
        self._failures = 0

    def next_delay(self) -> float:
        """Count one failure and return the seconds to wait after it."""
        ceiling = min(self._cap, self._base * self._factor**self._failures)
        self._failures = min(self._failures + 1, 30)
        return self._random.uniform(self._min_fraction * ceiling, ceiling)


def crash_backoff(generator: random.Random | None = None) -> Backoff:
    """Delays of work that is owed, each between a crash of its back end and its next attempt.

    An item of a job, or a sample of a step, is never given up for the crashes of its back ends.
    """
    return Backoff(
        CRASH_RETRY_BASE_S,
        CRASH_RETRY_CAP_S,
        generator,
        CRASH_RETRY_FACTOR,
        CRASH_RETRY_MIN_FRACTION,
    )


class TokenBucket:
    """Allows `rate` events per second, with bursts of up to `burst` events."""

    def __init__(
        self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._updated = clock()

    def _refill(self) -> None:
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._updated) * self._rate)
        self._updated = now

    def try_take(self) -> bool:
        """Take one token if available; returns whether it was taken."""
        self._refill()
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _seconds_until_token(self) -> float:
        self._refill()
        return max(0.0, (1.0 - self._tokens) / self._rate)

    async def take(self) -> None:
        """Take one token, waiting until one is available."""
        while True:
            if self.try_take():
                return
            await asyncio.sleep(self._seconds_until_token())


class RetryBudget:
    """Limits retries to a fixed share of first attempts, to prevent retry storms."""

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def count_attempt(self) -> None:
        """Count a first attempt, which adds `ratio` retries to the budget, up to `reserve`."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget if available; returns whether it was taken."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
