"""When is a count of samplers ordered of a zone, and when again?

Inputs: the count that is wanted, the one that was ordered last, the samplers that are there, and
the seconds that a sampler takes to boot; times are monotonic seconds.
Rule: a count is ordered once it differs from the last one that was taken. The same one is ordered
again if the samplers are not there well after they should have booted. After a failure the next
order waits, and a zone that has none to give is left out for a while.
Protects: the few calls a second that the platform takes, and a need whose order was lost.
Shown by: `samplers_ordered`. Held by: tests/scaling/test_ordering.py, tests/scaling/test_actor.py.
"""

from __future__ import annotations

from crankseam.backoff import Backoff

RETRY_BASE_S = 0.5
"""Least pause after an order that failed, to which a random one is added that grows from as much;
origin not recorded."""
RETRY_CAP_S = 4.0
"""The most to which the random part grows; origin not recorded."""
ARRIVAL_SLACK_S = 4.0
"""Samplers that are not there so long after they should have booted are ordered again: the order
may have been overtaken by an older one, or a zone gave fewer. Origin of the figure not recorded."""
DRY_S = 4.0
"""What a zone can't give is ordered elsewhere for so long, and then asked for there again. Origin
of the figure not recorded."""


class OrderedCount:
    """What was ordered of one kind of sampler in one zone, and when it may be ordered again."""

    def __init__(self) -> None:
        self._count: int | None = None
        """What the last order that was taken said; None if that is not known."""
        self._taken_at = float("-inf")
        self._wait_until = float("-inf")
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    def is_due(self, count: int, there: int, boot_s: float, now: float) -> bool:
        """Whether a count is to be ordered now, where so many samplers are there."""
        if now < self._wait_until:
            return False
        if self._count != count:
            return True
        return there < count and now - self._taken_at > boot_s + ARRIVAL_SLACK_S

    def taken(self, count: int, now: float) -> None:
        """An order of this count was taken."""
        self._count = count
        self._taken_at = now
        self._backoff.reset()

    def failed(self, now: float) -> None:
        """An order was not taken, or nobody knows."""
        self._wait_until = now + RETRY_BASE_S + self._backoff.next_delay()


class DryZones:
    """Zones of services that have no samplers to give, for a while."""

    def __init__(self) -> None:
        self._dry_until: dict[tuple[str, str], float] = {}

    def mark(self, service: str, zone: str, now: float) -> None:
        """A zone gave none."""
        self._dry_until[service, zone] = now + DRY_S

    def is_dry(self, service: str, zone: str, now: float) -> bool:
        """Whether a zone gave none lately."""
        return self._dry_until.get((service, zone), 0.0) > now
