"""What does each zone of a service hold, when samplers come and go for moments?

Inputs: the back ends of a service, as discovery shows them now.
Rule: those that are leaving do not count. A standing sampler counts on for a while after it is
gone; nothing is concluded shortly after more standing ones came in.
Protects: a standing sampler that crashes and returns must not cost a spot sampler, nor a start at
which not all are known yet.
Shown by: `samplers_ordered`. Held by: tests/scaling/test_supply.py, tests/scaling/test_actor.py.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from crankseam.scaling.demand import StabilizedCount
from crankseam.scaling.model import Kind, ZoneSupply
from crankseam.serving.back_ends import BackEnd

SETTLE_TIME_S = 1.5
"""Nothing is ordered so long after more standing samplers came in: at the start of a deployment,
and of this process, they are not all known yet. Origin of the figure not recorded."""


def count_supply(back_ends: Iterable[BackEnd], zones: Iterable[str]) -> dict[str, ZoneSupply]:
    """Samplers that are not leaving, by zone; the given zones first, with or without samplers."""
    counts: dict[str, Counter[Kind]] = {zone: Counter() for zone in zones}
    for back_end in back_ends:
        record = back_end.record
        if not record.leaving:
            kind = Kind.SPOT if record.is_spot else Kind.STANDING
            counts.setdefault(record.zone, Counter())[kind] += 1
    return {
        zone: ZoneSupply(of_zone[Kind.STANDING], of_zone[Kind.SPOT])
        for zone, of_zone in counts.items()
    }


class StabilizedSupply:
    """Follows what the zones of all services hold."""

    def __init__(self) -> None:
        self._standing: dict[tuple[str, str], StabilizedCount] = defaultdict(StabilizedCount)
        """Standing samplers by service and zone."""
        self._grew_at = float("-inf")

    def update(self, service: str, zone: str, seen: ZoneSupply, now: float) -> ZoneSupply:
        """What is seen of a zone at ``now``, with the standing samplers that were there lately."""
        held = self._standing[service, zone]
        before = held.update(None)
        standing = held.update(seen.standing)
        if standing > before:
            self._grew_at = now
        return ZoneSupply(standing, seen.spot)

    def is_settled(self, now: float) -> bool:
        """Whether no more standing samplers came in for a while."""
        return now - self._grew_at >= SETTLE_TIME_S
