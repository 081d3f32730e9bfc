"""Interface by which waiting lines learn whose request is next among requests of one priority.

Holds no state. `ArrivalOrder` implements it where the configuration has no tenants.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class FairOrder(Protocol):
    """Order among tenants, by the work that each of them has received so far."""

    def start_of(self, tenant: str) -> float:
        """Return the virtual time at which a tenant's next request starts; smaller goes first."""

    def charge(self, tenant: str, work_s: float) -> None:
        """Record that a tenant received work.

        Parameters
        ==========

        work_s : seconds for which the work occupies a slot, as expected when it starts.
        """


OrderLookup = Callable[[str, int], FairOrder]
"""Returns the order of the requests that wait for a service with a priority."""


class ArrivalOrder:
    """Implementation of FairOrder that treats all requests alike: they go in order of arrival."""

    def start_of(self, tenant: str) -> float:
        """See FairOrder."""
        return 0.0

    def charge(self, tenant: str, work_s: float) -> None:
        """See FairOrder."""


def order_of_arrival(_service: str, _priority: int) -> FairOrder:
    """Return the order of lines whose tenants are all treated alike; see OrderLookup."""
    return ArrivalOrder()
