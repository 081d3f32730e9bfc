"""Limits how many requests of this process run at one service at the same time.

Inputs: the slots of the service's back ends, from the newest discovery data; rejections by back
ends that were full, as they arrive; the smoothed latency of the service's requests and the lowest
value it had lately (see `latency`); the slots that are known to be free, from load
reports of at most `back_ends.LOAD_REPORT_MAX_AGE_S` seconds. Times are monotonic seconds.
Rule: The limit starts at the number of slots. It is multiplied by `REJECTION_FACTOR` when a back
end rejects a request because it is full, and by `LATENCY_FACTOR` when the latency is above
`LATENCY_TOLERANCE` times its recent minimum while no back end is known to have a free slot; by both
together at most once in a typical duration, since a lower limit shows its effect only when running
requests have ended. It rises by one for each `limit` requests that succeed while it is in use, and
by one for each of them while `MANY_FREE_FRACTION` of the slots are known to be free. When slots
appear or disappear, it changes at once in proportion. It is at least `MIN_LIMIT` and at most the
number of slots.
Purpose: Keeps requests in the waiting line, where they can be ordered and refused, instead of at
full back ends. Processes that share back ends reach similar limits without messages between them.
Logged as: `concurrency_limit_changed`.
Tested by: tests/overload/test_concurrency.py.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

MIN_LIMIT = 1.0
"""Lowest limit, in requests: a process without any running request would learn nothing."""
REJECTION_FACTOR = 0.7
"""Factor applied after a rejection. A rejection proves that there are too many requests, but only
at one back end."""
LATENCY_FACTOR = 0.9
"""Factor applied when the latency is high. It is closer to 1 than `REJECTION_FACTOR`, since the
latency may be high for other reasons."""
LATENCY_TOLERANCE = 2.0
"""Ratio of the latency to its recent minimum above which the limit falls. Below it, a request still
spends most of its time running rather than queued at the back end."""
INCREASE_PER_ROUND = 1.0
"""Requests by which the limit rises while as many requests as the limit succeed."""
FAST_INCREASE = 1.0
"""Requests by which the limit rises with each success while many slots are free. It then doubles in
a round, so that it recovers within seconds after the back ends were full for a moment."""
MANY_FREE_FRACTION = 0.25
"""Fraction of the slots that are free if many are. Fewer are no reason for a fast rise: reports are
old, and other processes see the same free slots."""

MAX_BACK_END_SLOTS = 1_000_000
"""Slots that are counted of one back end at most. A larger number in discovery data is a mistake,
and may be too large for arithmetic with floats."""


def usable_slots(slots: int) -> int:
    """Return the slots of a back end as they are counted; 0 if they are negative.

    Examples
    ========

    >>> usable_slots(8), usable_slots(-1)
    (8, 0)
    """
    return min(max(slots, 0), MAX_BACK_END_SLOTS)


class LimitCause(enum.Enum):
    """Why a limit changed."""

    BACK_ENDS = "back ends"
    REJECTED = "rejected"
    LATENCY = "latency"
    SUCCESS = "success"


@dataclass(slots=True)
class ConcurrencyLimit:
    """Learnt limit of one service.

    Attributes
    ==========

    slots : slots of the back ends that accept new work.
    cause : cause of the last change.

    Examples
    ========

    >>> limit = ConcurrencyLimit()
    >>> limit.set_slots(10)
    >>> limit.record_rejection(now=1.0, typical_s=0.5)
    >>> limit.requests
    7
    """

    slots: int = 0
    cause: LimitCause = LimitCause.BACK_ENDS
    _limit: float = MIN_LIMIT
    _lowered_at: float = float("-inf")

    @property
    def requests(self) -> int:
        """Number of requests that may run at the same time."""
        return int(self._limit)

    def set_slots(self, slots: int) -> None:
        """Adjust the limit to the number of slots that the back ends have now."""
        if slots == self.slots:
            return
        target = self._limit * slots / self.slots if self.slots else float(slots)
        self.slots = slots
        self._change(target, LimitCause.BACK_ENDS)

    def may_rise(self, running: int) -> bool:
        """Whether the limit is in use and below the slots.

        Parameters
        ==========

        running : number of running requests, including one that has just succeeded.
        """
        return running >= self.requests and self._limit < self.slots

    def record_success(self, free_slots: int) -> None:
        """Raise the limit because a request succeeded; called only if the limit may rise.

        Parameters
        ==========

        free_slots : slots that are known to be free.
        """
        has_many_free = free_slots >= self.slots * MANY_FREE_FRACTION
        increase = FAST_INCREASE if has_many_free else INCREASE_PER_ROUND / self._limit
        self._change(self._limit + increase, LimitCause.SUCCESS)

    def record_rejection(self, now: float, typical_s: float) -> None:
        """Lower the limit because a back end was full.

        Parameters
        ==========

        typical_s : typical duration of a request, in seconds.
        """
        self._lower(REJECTION_FACTOR, LimitCause.REJECTED, now, typical_s)

    def record_high_latency(self, now: float, typical_s: float) -> None:
        """Lower the limit because requests take long; see `record_rejection`."""
        self._lower(LATENCY_FACTOR, LimitCause.LATENCY, now, typical_s)

    def may_fall(self, now: float, typical_s: float) -> bool:
        """Whether the last decrease was at least one typical duration ago."""
        return now - self._lowered_at >= typical_s

    def _lower(self, factor: float, cause: LimitCause, now: float, typical_s: float) -> None:
        if not self.may_fall(now, typical_s):
            return
        self._lowered_at = now
        self._change(self._limit * factor, cause)

    def _change(self, target: float, cause: LimitCause) -> None:
        self._limit = max(MIN_LIMIT, min(target, float(self.slots)))
        self.cause = cause
