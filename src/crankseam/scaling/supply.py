"""Counts the samplers in each zone of a service, ignoring short absences of standing ones.

Inputs: the back ends of a service, as discovery reports them now.
Rule: samplers that are leaving do not count. A standing sampler continues to count for a while
after it has disappeared. For a short time after the number of standing samplers has grown, the
counts are not settled and nothing is ordered.
Purpose: a standing sampler that crashes and returns must not lead to an order for spot samplers,
nor must a start during which not all samplers are known yet.
Logged as: `samplers_ordered`.
Tested by: tests/scaling/test_supply.py, tests/scaling/test_actor.py.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from crankseam.scaling.demand import StabilizedCount
from crankseam.scaling.model import Kind, ZoneSupply
from crankseam.serving.back_ends import BackEnd

SETTLE_TIME_S = 1.5
"""Time without new standing samplers before anything is ordered: when a deployment or this process
starts, not all samplers are known yet."""


def count_supply(back_ends: Iterable[BackEnd], zones: Iterable[str]) -> dict[str, ZoneSupply]:
    """Count the samplers that are not leaving, by zone.

    The given zones come first in the result, even if they have no samplers.
    """
    counts: dict[str, Counter[Kind]] = {zone: Counter() for zone in zones}
    for back_end in back_ends:
        record = back_end.record
        if not record.leaving:
            kind = Kind.SPOT if record.is_spot else Kind.STANDING
            counts.setdefault(record.zone, Counter())[kind] += 1
    return {
        zone: ZoneSupply(by_kind[Kind.STANDING], by_kind[Kind.SPOT])
        for zone, by_kind in counts.items()
    }


class StabilizedSupply:
    """Samplers in the zones of all services, with stabilized counts of the standing ones."""

    def __init__(self) -> None:
        self._standing: dict[tuple[str, str], StabilizedCount] = defaultdict(StabilizedCount)
        """Counts of standing samplers by service and zone."""
        self._last_growth_at = float("-inf")

    def update(self, service: str, zone: str, observed: ZoneSupply, now: float) -> ZoneSupply:
        """Take the samplers observed in a zone at ``now``, and return the stabilized counts.

        The result includes standing samplers that have disappeared only recently.
        """
        held = self._standing[service, zone]
        previous = held.update(None)
        standing = held.update(observed.standing)
        if standing > previous:
            self._last_growth_at = now
        return ZoneSupply(standing, observed.spot)

    def is_settled(self, now: float) -> bool:
        """Return whether no count of standing samplers has grown for `SETTLE_TIME_S`."""
        return now - self._last_growth_at >= SETTLE_TIME_S
