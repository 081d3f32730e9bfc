"""The load that a back end reports with its answers.

Independent of the wire format: the platform adapter decodes the report.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_SLOWDOWN = 0.1
"""Lower limit of a reported slowdown. A back end that claims to be faster would otherwise attract
all requests of a service with one wrong report."""
MAX_SLOWDOWN = 20.0
"""Upper limit of a reported slowdown, so that one wrong report does not exclude a back end."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a back end at the time of an answer, over the requests of all processes.

    Attributes
    ==========

    running : number of running requests.
    waiting : number of queued requests.
    slots : number of requests that can run at the same time.
    slowdown : factor by which work takes longer than usual at the moment, because others use the
        same machine; between `MIN_SLOWDOWN` and `MAX_SLOWDOWN`. None if the back end does not
        report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def requests(self) -> int:
        """Number of requests at the back end, running or queued."""
        return self.running + self.waiting

    @property
    def has_free_slots(self) -> bool:
        """Whether another request would run at once."""
        return self.requests < self.slots


def bounded_slowdown(reported: float) -> float:
    """Return a reported slowdown, limited to the accepted range.

    Examples
    ========

    >>> bounded_slowdown(1.7), bounded_slowdown(900.0)
    (1.7, 20.0)
    """
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, reported))
