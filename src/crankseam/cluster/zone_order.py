"""Who is who in a zone: relays, the tree of the digest, and who carries a region's duties."""

from __future__ import annotations

import time

from crankseam.cluster.digest import DigestTable
from crankseam.peers.messages import Member
from crankseam.records.slots import ranked
from crankseam.settings import NodeSettings

RELAYS_PER_ZONE = 2
RELAY_PURPOSE = "relay"
REGION_PURPOSE = "region-duties"
TREE_DEGREE = 2
"""Members that take the digest from one member of the zone."""


class ZoneOrder:
    """Chooses by rendezvous rank among living members, passing over those that failed lately."""

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
        order = list(self._digest.ranked_in_zone(RELAY_PURPOSE, zone))
        order.sort(key=lambda member: self._failed_lately(member.name))
        return order[:RELAYS_PER_ZONE]

    def other_zone_relays(self) -> list[Member]:
        """The relays of all other zones."""
        zones = [zone for zone in self._digest.zones() if zone != self._settings.zone]
        return [relay for zone in zones for relay in self.relays(zone)]

    def parent(self) -> Member | None:
        """The member of this zone from which this node takes the digest; None for the first.

        The members form a tree by rank, so that no node sends the digest to more than a few. A
        parent that failed lately is passed over for its own parent.
        """
        order = self._digest.ranked_in_zone(RELAY_PURPOSE, self._settings.zone)
        names = [member.name for member in order]
        if self._settings.name not in names:
            return order[0] if order else None  # leaving, and no longer ranked
        position = names.index(self._settings.name)
        while position > 0:
            position = (position - 1) // TREE_DEGREE
            if not self._failed_lately(names[position]):
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
