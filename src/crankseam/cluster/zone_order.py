"""Which member does the shared work of a zone or region: who relays, who is whose parent?

Inputs: the living members of the zone or region by rendezvous rank (as old as the last heartbeat),
and when a call from here to one of them last failed (seconds of the steady clock).
Rule: the first `RELAYS_PER_ZONE` by rank are the zone's relays; the members form a tree by rank, in
which each takes the digest from the one above; the first of the region carries its single duties.
Members to which a call failed within `suspect_after` come last (relays) or are passed over
(parents, duties).
Protects: the digest's cost a node, which a relay that answers a whole zone would exceed (36 KB/s at
50 nodes, docs/design/06-membership.md); and that a dead relay or parent is replaced before its
death is declared. Nodes may disagree for a while: two that do a duty at once do no harm.
Shown by: the digest, `crankseam status`. Held by: tests/cluster/test_zone_order.py,
tests/cluster/test_membership.py.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from crankseam.cluster.digest import DigestTable
from crankseam.peers.messages import Member
from crankseam.records.slots import ranked
from crankseam.settings import NodeSettings

RELAYS_PER_ZONE = 2
"""One may die while the zone still hears and is heard; more would only cost heartbeats. Weighed in
docs/design/06-membership.md, way (c)."""
RELAY_PURPOSE = "relay"
REGION_PURPOSE = "region-duties"
TREE_DEGREE = 2
"""Members that take the digest from one member of the zone. Measured at 50 nodes: a relay that
answers all sent 20.8 KB/s, in the tree 17.9."""


def choose_relays(order: Sequence[Member], failed_lately: Callable[[str], bool]) -> list[Member]:
    """The relays among members given by rank."""
    reachable_first = sorted(order, key=lambda member: failed_lately(member.name))
    return reachable_first[:RELAYS_PER_ZONE]


def parent_position(
    names: Sequence[str], own: str, failed_lately: Callable[[str], bool]
) -> int | None:
    """Position by rank of the member from which `own` takes the digest.

    A parent that failed lately is passed over for its own parent. None for the first by rank, and
    where all on the way up failed.
    """
    position = names.index(own)
    while position > 0:
        position = (position - 1) // TREE_DEGREE
        if not failed_lately(names[position]):
            return position
    return None


class ZoneOrder:
    """Applies the rule to the members that are known here."""

    def __init__(self, settings: NodeSettings, digest: DigestTable) -> None:
        self._settings = settings
        self._digest = digest
        self._failed_at: dict[str, float] = {}

    def note_failure(self, name: str) -> None:
        """A call to this member failed just now."""
        self._failed_at[name] = time.monotonic()

    def note_success(self, name: str) -> None:
        """This member answered."""
        self._failed_at.pop(name, None)

    def _failed_lately(self, name: str) -> bool:
        since = time.monotonic() - self._settings.timing.suspect_after
        return self._failed_at.get(name, float("-inf")) > since

    def relays(self, zone: str | None = None) -> list[Member]:
        """The relays of a zone (this node's by default), those that failed lately put last."""
        zone = zone or self._settings.zone
        order = self._digest.ranked_in_zone(RELAY_PURPOSE, zone)
        return choose_relays(order, self._failed_lately)

    def other_zone_relays(self) -> list[Member]:
        """The relays of all other zones."""
        zones = [zone for zone in self._digest.zones() if zone != self._settings.zone]
        return [relay for zone in zones for relay in self.relays(zone)]

    def parent(self) -> Member | None:
        """The member of this zone from which this node takes the digest.

        The first by rank takes it from the other relay; None where there is nobody else.
        """
        order = self._digest.ranked_in_zone(RELAY_PURPOSE, self._settings.zone)
        names = [member.name for member in order]
        if self._settings.name not in names:
            return order[0] if order else None  # leaving, and no longer ranked
        position = parent_position(names, self._settings.name, self._failed_lately)
        if position is not None:
            return order[position]
        relays = [relay for relay in self.relays() if relay.name != self._settings.name]
        return relays[0] if relays else None

    def is_relay(self) -> bool:
        """Whether this node does a relay's work now."""
        return any(member.name == self._settings.name for member in self.relays())

    def is_first_relay(self) -> bool:
        """Whether this node is the relay that exchanges with other zones."""
        relays = self.relays()
        return bool(relays) and relays[0].name == self._settings.name

    def is_first_of_region(self) -> bool:
        """Whether this node carries the region's single duties (any node may, if it errs)."""
        members = self._digest.alive_in_region(self._settings.region)
        usable = [member for member in members if not self._failed_lately(member.name)]
        order = ranked(REGION_PURPOSE, usable)
        return bool(order) and order[0].name == self._settings.name
