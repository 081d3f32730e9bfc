"""Roles in a zone and a region: chooses relays, parents and the holder of the region's duties.

Inputs: the alive members of the zone or region, ordered by rendezvous rank (as old as the last
heartbeat), and the time at which a call from this node to each of them last failed (seconds of the
monotonic clock).
Rule: the first `RELAYS_PER_ZONE` members by rank are the zone's relays. The members of a zone form
a tree by rank, in which each one fetches the digest from its parent. The first member of the region
performs the duties of which the region needs only one holder. Members to which a call failed within
`suspect_after` are ranked last as relays and skipped as parents and duty holders.
Purpose: the digest's traffic stays within the limit per node, which a relay that answers a whole
zone would exceed (36 KB/s at 50 nodes, docs/design/06-membership.md). A dead relay or parent is
replaced before it is declared dead. Nodes may disagree temporarily; two nodes that perform one duty
at the same time do no harm.
Logged as: no log event; visible in the digest and in `crankseam status`.
Tested by: tests/cluster/test_zone_order.py, tests/cluster/test_membership.py.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

from crankseam.cluster.digest import DigestTable
from crankseam.peers.messages import Member
from crankseam.records.slots import sort_by_rank
from crankseam.settings import NodeSettings

RELAYS_PER_ZONE = 2
"""With two relays a zone stays connected when one of them dies; more would only add heartbeats. The
alternatives are compared in docs/design/06-membership.md, way (c)."""
RELAY_PURPOSE = "relay"
REGION_PURPOSE = "region-duties"
TREE_DEGREE = 2
"""Number of members that fetch the digest from one parent. At 50 nodes a relay that answered all
members sent 20.8 KB/s, and 17.9 KB/s with the tree."""


def choose_relays(
    ranked_members: Sequence[Member], failed_recently: Callable[[str], bool]
) -> list[Member]:
    """The zone's relays: the first members by rank, those with a recent failure last."""
    reachable_first = sorted(ranked_members, key=lambda member: failed_recently(member.name))
    return reachable_first[:RELAYS_PER_ZONE]


def parent_position(
    names: Sequence[str], own: str, failed_recently: Callable[[str], bool]
) -> int | None:
    """Position by rank of the member from which `own` fetches the digest.

    A parent with a recent failure is replaced by its own parent. None for the first member by rank,
    and if all ancestors have failed recently.
    """
    position = names.index(own)
    while position > 0:
        position = (position - 1) // TREE_DEGREE
        if not failed_recently(names[position]):
            return position
    return None


class ZoneOrder:
    """Applies the rule of this module to the members in this node's digest table."""

    def __init__(self, settings: NodeSettings, digest: DigestTable) -> None:
        self._settings = settings
        self._digest = digest
        self._failed_at: dict[str, float] = {}

    def record_failure(self, name: str) -> None:
        """Record that a call to this member failed just now."""
        self._failed_at[name] = time.monotonic()

    def record_success(self, name: str) -> None:
        """Record that this member answered, which clears its last failure."""
        self._failed_at.pop(name, None)

    def _failed_recently(self, name: str) -> bool:
        since = time.monotonic() - self._settings.timing.suspect_after
        return self._failed_at.get(name, float("-inf")) > since

    def relays(self, zone: str | None = None) -> list[Member]:
        """The relays of a zone (by default this node's zone)."""
        zone = zone or self._settings.zone
        ranked_members = self._digest.ranked_in_zone(RELAY_PURPOSE, zone)
        return choose_relays(ranked_members, self._failed_recently)

    def other_zone_relays(self) -> list[Member]:
        """The relays of all other zones."""
        zones = [zone for zone in self._digest.zones() if zone != self._settings.zone]
        return [relay for zone in zones for relay in self.relays(zone)]

    def parent(self) -> Member | None:
        """The member of this zone from which this node fetches the digest.

        The first member by rank fetches it from the other relay. None if there is no other member.
        """
        ranked_members = self._digest.ranked_in_zone(RELAY_PURPOSE, self._settings.zone)
        names = [member.name for member in ranked_members]
        if self._settings.name not in names:
            # This node is leaving and therefore no longer ranked.
            return ranked_members[0] if ranked_members else None
        position = parent_position(names, self._settings.name, self._failed_recently)
        if position is not None:
            return ranked_members[position]
        relays = [relay for relay in self.relays() if relay.name != self._settings.name]
        return relays[0] if relays else None

    def is_relay(self) -> bool:
        """Whether this node is a relay of its zone now."""
        return any(member.name == self._settings.name for member in self.relays())

    def is_first_relay(self) -> bool:
        """Whether this node is the relay that exchanges with other zones."""
        relays = self.relays()
        return bool(relays) and relays[0].name == self._settings.name

    def is_first_of_region(self) -> bool:
        """Whether this node performs the region's duties now.

        Nodes with different views may both return True; two duty holders at once do no harm.
        """
        members = self._digest.alive_in_region(self._settings.region)
        usable = [member for member in members if not self._failed_recently(member.name)]
        ranked_members = sort_by_rank(REGION_PURPOSE, usable)
        return bool(ranked_members) and ranked_members[0].name == self._settings.name
