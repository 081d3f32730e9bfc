"""Duties of a relay besides answering heartbeats.

A relay exchanges digests with relays of other zones and with the other relay of its zone, declares
members and zones dead, and reads the configuration register. This module keeps the version up to
which each peer's digest is known, and the times of the last contacts. `zone_order` decides whether
this node is a relay, and `liveness` which members are dead. The state is not stored and no other
node waits for it, so any node can take over these duties within one heartbeat.

The module `coordination/relay` is unrelated: there, one process calls the store on behalf of
another process that the store does not serve.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time

import msgspec

from crankseam import clocks
from crankseam.cluster.digest import NO_KNOWN_VERSION, KnownVersion, MemberStatus
from crankseam.cluster.liveness import (
    MemberFailureDetector,
    ZoneFailureDetector,
    is_probably_cut_off,
)
from crankseam.cluster.parts import ClusterParts
from crankseam.errors import PeerError, RecordError
from crankseam.peers.messages import (
    AnyMessage,
    ConfigurationReading,
    Exchange,
    ExchangeAnswer,
    Member,
)

log = logging.getLogger(__name__)

READINGS_PER_TERM = 5
"""Readings of the register per lease term. Three readings may fail before a lease expires, since a
reading reaches the nodes of the zone only with their next heartbeat."""
FAILURE_CHECKS_PER_HEARTBEAT = 4
"""Checks for silent members per heartbeat, so that a death is detected at most a quarter of a
heartbeat late. With one check at 420 nodes, all nodes knew of a death after 5.7 s in the median,
which exceeds the permitted 5 s."""


class RelayDuties:
    """Performs the duties of a relay while this node is a relay of its zone.

    Attributes
    ==========

    members : failure detector for the members of this zone.
    """

    def __init__(self, parts: ClusterParts) -> None:
        self._parts = parts
        self._digest = parts.digest
        self._order = parts.order
        self._settings = parts.settings
        self._timing = timing = parts.settings.timing
        self._random = random.Random(f"relay {parts.identity}")
        self.members = MemberFailureDetector(timing.dead_after, time.monotonic())
        self._zone_detector = ZoneFailureDetector(
            timing.dead_after + timing.suspect_after, timing.suspect_after
        )
        self._known_versions: dict[str, KnownVersion] = {}
        parts.transport.handle(Exchange, self._on_exchange)

    # --- exchange between relays

    async def exchange(self) -> None:
        """Fetch changes from this zone's other relay and, as the first relay, from other zones."""
        is_first = self._order.is_first_relay()
        if is_first:
            self._digest.merge_pulse(self._settings.zone, clocks.wall_ms())
        # The second relay receives the changes of other zones from the first one, its parent.
        zones = self._digest.zones() if is_first else [self._settings.zone]
        await asyncio.gather(*(self._pull_from_zone(zone) for zone in zones))
        if is_first:
            self._declare_silent_zones()
        else:
            self._zone_detector.reset()

    async def _pull_from_zone(self, zone: str) -> None:
        is_own_zone = zone == self._settings.zone
        candidates = [m for m in self._order.relays(zone) if m.name != self._settings.name]
        if not candidates and not is_own_zone:
            # All members of the zone are dead or leaving: try whether one of them answers again.
            members = [m for m in self._digest.members() if m.zone == zone]
            candidates = [self._random.choice(members)] if members else []
        if candidates:
            await self.pull(candidates[0].peer_address, candidates[0].name, zone)

    async def pull(self, address: str, name: str, from_zone: str | None) -> None:
        """Fetch and merge the changes at a peer since the last fetch.

        Args:
            from_zone: the zone of which the peer is a relay; None for a seed of unknown zone.
        """
        known = self._known_versions.get(name, NO_KNOWN_VERSION)
        zones = len(self._digest.zones())
        message = Exchange(self._parts.local.entry, known.incarnation, known.version, zones)
        try:
            answer = await self._parts.transport.call_for(
                address, message, ExchangeAnswer, self._timing.peer_timeout
            )
        except PeerError:
            self._order.record_failure(name)
            return
        self._order.record_success(name)
        self._digest.merge(answer.entries)
        self._known_versions[name] = KnownVersion(answer.relay_incarnation, answer.entries.version)
        now = time.monotonic()
        if from_zone is not None:
            self._zone_detector.record_contact(from_zone, now)
        if from_zone == self._settings.zone:
            self.members.record_contact([name], now)
            self.members.merge_relay_contacts(answer.heard, now)

    async def _on_exchange(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Exchange)
        if message.member.incarnation:
            self._digest.merge_member(message.member)
        incarnation = self._parts.local.incarnation
        is_same_run = message.relay_incarnation == incarnation
        since = message.known_version if is_same_run else 0
        is_same_zone = message.member.zone == self._settings.zone
        is_same_region = message.member.region == self._settings.region
        # A caller without a known version receives the members of all zones. Later calls receive
        # only those of this zone; the caller fetches the rest from the other zones or its parent.
        zone = None if since == 0 else self._settings.zone
        entries = self._digest.changes_since(since, zone, include_regional=is_same_region)
        if message.known_zones < len(self._digest.zones()):
            entries.members += self._order.other_zone_relays()
        heard = self.members.own_contact_ages(time.monotonic()) if is_same_zone else {}
        return ExchangeAnswer(incarnation, entries, heard)

    # --- failure detection

    async def failure_detection_loop(self) -> None:
        """Check for silent members several times per heartbeat, until cancelled."""
        pause_s = self._timing.heartbeat_interval / FAILURE_CHECKS_PER_HEARTBEAT
        while True:
            await asyncio.sleep(pause_s)
            self._zone_detector.exclude_time(self.members.tick(pause_s, time.monotonic()))
            if self._order.is_relay():
                self._declare_silent_members()
            else:
                # Contacts from an earlier period as a relay would make alive members look silent.
                self.members.reset()
                self._zone_detector.reset()

    def _declare_silent_members(self) -> None:
        watched = [
            member
            for member in self._digest.members()
            if member.zone == self._settings.zone
            and member.status != MemberStatus.DEAD
            and member.name != self._settings.name
        ]
        now = time.monotonic()
        silent = set(self.members.dead((member.name for member in watched), now))
        other_zones = [zone for zone in self._digest.zones() if zone != self._settings.zone]
        reaches_other_zone = self._zone_detector.any_recent_contact(other_zones, now)
        if is_probably_cut_off(len(watched), len(silent), reaches_other_zone):
            return
        for member in watched:
            if member.name in silent:
                self._declare_dead(member)

    def _declare_silent_zones(self) -> None:
        """Declare the members of unreachable zones of this region dead.

        A member counts as dead until a newer entry from it arrives.
        """
        now = time.monotonic()
        for zone, region in self._digest.zones().items():
            if zone == self._settings.zone or region != self._settings.region:
                continue
            if not self._zone_detector.is_dead(zone, now):
                continue
            for member in list(self._digest.members()):
                if member.zone == zone and member.status != MemberStatus.DEAD:
                    self._declare_dead(member)

    def _declare_dead(self, member: Member) -> None:
        log.warning("member declared dead", extra={"member": member.identity})
        dead = msgspec.structs.replace(member, status=int(MemberStatus.DEAD))
        self._digest.merge_member(dead)
        self.members.forget(member.name)

    # --- the configuration register

    async def read_register_loop(self) -> None:
        """Read the register several times per lease term while this node is a relay."""
        pause_s = self._timing.configuration_term / READINGS_PER_TERM
        while True:
            if self._order.is_relay():
                await self.read_register()
            await asyncio.sleep(pause_s * self._random.uniform(0.9, 1.1))

    async def read_register(self) -> None:
        """Read the register once, for the leases of this node and of the nodes that send heartbeats
        to this relay."""
        asked_at = clocks.boottime_s()
        try:
            revision = await self._parts.register.read_revision()
        except RecordError:
            return  # no majority answered; the lease expires if this lasts for a whole term
        self._parts.lease.confirm(ConfigurationReading(revision, 0.0), asked_at)
