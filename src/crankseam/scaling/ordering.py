"""Decides when a number of samplers is ordered in a zone, and when it is ordered again.

Inputs: the number of samplers that the zone should have, the number ordered last, the samplers that
are present, and the seconds that a sampler takes to boot; all times are monotonic seconds.
Rule: a number is ordered when it differs from the last one that the platform accepted. The same
number is ordered again if the samplers are still missing well after they should have booted. After
a failure, the next order waits. A zone that has no samplers available is skipped for a while.
Purpose: the platform accepts only a few calls per second, so orders must not be repeated without
need; but an order that was lost must be repeated.
Logged as: `samplers_ordered`.
Tested by: tests/scaling/test_ordering.py, tests/scaling/test_actor.py.
"""

from __future__ import annotations

from crankseam.backoff import Backoff

RETRY_BASE_S = 0.5
"""Minimum pause after a failed order, and base of the random backoff that is added to it."""
RETRY_CAP_S = 4.0
"""Upper limit of the random backoff."""
ARRIVAL_GRACE_S = 4.0
"""Samplers that are missing for this long after they should have booted are ordered again: an older
order may have arrived after the last one, or the zone may have provided fewer samplers."""
EXHAUSTED_ZONE_PAUSE_S = 4.0
"""Time for which samplers that a zone could not provide are ordered in other zones; after it, that
zone is tried again."""


class OrderedCount:
    """Last ordered number of samplers of one kind in one zone, and when to order again."""

    def __init__(self) -> None:
        self._count: int | None = None
        """Number in the last order that the platform accepted; None if unknown."""
        self._taken_at = float("-inf")
        self._wait_until = float("-inf")
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    def is_due(self, count: int, present: int, boot_s: float, now: float) -> bool:
        """Return whether to order a number of samplers now.

        Parameters
        ==========

        count : number of samplers that the zone should have.
        present : number of samplers that the zone has.
        boot_s : seconds that a sampler takes to boot.
        now : monotonic seconds.
        """
        if now < self._wait_until:
            return False
        if self._count != count:
            return True
        return present < count and now - self._taken_at > boot_s + ARRIVAL_GRACE_S

    def taken(self, count: int, now: float) -> None:
        """Record that the platform accepted an order of this number."""
        self._count = count
        self._taken_at = now
        self._backoff.reset()

    def failed(self, now: float) -> None:
        """Record that an order was not accepted, or that its outcome is unknown."""
        self._wait_until = now + RETRY_BASE_S + self._backoff.next_delay()


class ExhaustedZones:
    """Zones that recently had no samplers available, by service."""

    def __init__(self) -> None:
        self._exhausted_until: dict[tuple[str, str], float] = {}

    def mark_exhausted(self, service: str, zone: str, now: float) -> None:
        """Record that a zone had no samplers available."""
        self._exhausted_until[service, zone] = now + EXHAUSTED_ZONE_PAUSE_S

    def is_exhausted(self, service: str, zone: str, now: float) -> bool:
        """Return whether a zone recently had no samplers available."""
        return self._exhausted_until.get((service, zone), 0.0) > now
