"""What a relay does besides answering heartbeats: exchange between zones, deaths, the register.

Owns which version of each peer's digest is known here, and what was heard when. Relies on
`zone_order` for whether this node is a relay now and on `liveness` for who is dead. Nothing here
outlives the process or is waited for by others: any node can take these duties up within one
heartbeat.

`coordination/relay` is something else: calls to the store that another process makes for one that
the store does not serve.
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
"""Readings of the register in one lease term: three may fail before a lease runs out, since a
reading reaches the zone's nodes with their next heartbeat. Origin not recorded."""
JUDGEMENTS_PER_HEARTBEAT = 4
"""Looks for silent members in one heartbeat, so that a death is noticed at most a quarter of a
heartbeat late. Measured at 420 nodes with one look: deaths were known after 5.7 s in the median,
with 5 s allowed."""


class RelayDuties:
    """Carries them out while this node is a relay of its zone."""

    def __init__(self, parts: ClusterParts) -> None:
        self._parts = parts
        self._digest = parts.digest
        self._order = parts.order
        self._settings = parts.settings
        self._timing = timing = parts.settings.timing
        self._random = random.Random(f"relay {parts.identity}")
        self.members = MemberFailureDetector(timing.dead_after, time.monotonic())
        self._zones = ZoneFailureDetector(
            timing.dead_after + timing.suspect_after, timing.suspect_after
        )
        self._known_versions: dict[str, KnownVersion] = {}
        parts.transport.handle(Exchange, self._on_exchange)

    # --- exchange between relays

    async def exchange(self) -> None:
        """Take the news of other zones, and the other relay's of this one."""
        first = self._order.is_first_relay()
        if first:
            self._digest.learn_pulse(self._settings.zone, clocks.wall_ms())
        # The second relay takes the other zones' news from the first, its parent.
        zones = self._digest.zones() if first else [self._settings.zone]
        await asyncio.gather(*(self._pull_from_zone(zone) for zone in zones))
        if first:
            self._declare_silent_zones()
        else:
            self._zones.reset()

    async def _pull_from_zone(self, zone: str) -> None:
        own_zone = zone == self._settings.zone
        candidates = [m for m in self._order.relays(zone) if m.name != self._settings.name]
        if not candidates and not own_zone:
            # Every member of the zone is taken for dead: look whether one of them answers again.
            members = [m for m in self._digest.members() if m.zone == zone]
            candidates = [self._random.choice(members)] if members else []
        if candidates:
            await self.pull(candidates[0].peer_address, candidates[0].name, zone)

    async def pull(self, address: str, name: str, from_zone: str | None) -> None:
        """Take what changed at a peer since the last time.

        Args:
            from_zone: the zone whose relay it is; None for a seed of unknown zone.
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
        self._digest.learn(answer.entries)
        self._known_versions[name] = KnownVersion(answer.relay_incarnation, answer.entries.version)
        now = time.monotonic()
        if from_zone is not None:
            self._zones.record_contact(from_zone, now)
        if from_zone == self._settings.zone:
            self.members.record_contact([name], now)
            self.members.merge_relay_contacts(answer.heard, now)

    async def _on_exchange(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Exchange)
        if message.member.incarnation:
            self._digest.learn_member(message.member)
        incarnation = self._parts.local.incarnation
        same_run = message.relay_incarnation == incarnation
        since = message.known_version if same_run else 0
        same_zone = message.member.zone == self._settings.zone
        same_region = message.member.region == self._settings.region
        # First contact (nothing known yet) gets all members. After that only this zone's: the
        # others the caller takes from their own zones, or from its parent.
        zone = None if since == 0 else self._settings.zone
        entries = self._digest.changes_since(since, zone, include_regional=same_region)
        if message.known_zones < len(self._digest.zones()):
            entries.members += self._order.other_zone_relays()
        heard = self.members.own_contact_ages(time.monotonic()) if same_zone else {}
        return ExchangeAnswer(incarnation, entries, heard)

    # --- deaths

    async def judge_loop(self) -> None:
        """Look for silence several times a heartbeat, so that a death is not noticed late."""
        pause_s = self._timing.heartbeat_interval / JUDGEMENTS_PER_HEARTBEAT
        while True:
            await asyncio.sleep(pause_s)
            self._zones.exclude_time(self.members.tick(pause_s, time.monotonic()))
            if self._order.is_relay():
                self._declare_silent_members()
            else:
                # What was heard in an earlier time as a relay says nothing about now.
                self.members.reset()
                self._zones.reset()

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
        reaches_other_zone = self._zones.any_recent_contact(other_zones, now)
        if is_probably_cut_off(len(watched), len(silent), reaches_other_zone):
            return
        for member in watched:
            if member.name in silent:
                self._declare_dead(member)

    def _declare_silent_zones(self) -> None:
        """Take the members of an unreachable zone of this region for dead, until heard again."""
        now = time.monotonic()
        for zone, region in self._digest.zones().items():
            if zone == self._settings.zone or region != self._settings.region:
                continue
            if not self._zones.is_dead(zone, now):
                continue
            for member in list(self._digest.members()):
                if member.zone == zone and member.status != MemberStatus.DEAD:
                    self._declare_dead(member)

    def _declare_dead(self, member: Member) -> None:
        log.warning("member declared dead", extra={"member": member.identity})
        dead = msgspec.structs.replace(member, status=int(MemberStatus.DEAD))
        self._digest.learn_member(dead)
        self.members.forget(member.name)

    # --- the configuration register

    async def read_register_loop(self) -> None:
        """Read the register several times a term while this node is a relay."""
        pause_s = self._timing.configuration_term / READINGS_PER_TERM
        while True:
            if self._order.is_relay():
                await self.read_register()
            await asyncio.sleep(pause_s * self._random.uniform(0.9, 1.1))

    async def read_register(self) -> None:
        """Read it once, for this node's lease and for those that ask this relay."""
        asked_at = clocks.promised_s()
        try:
            revision = await self._parts.register.read_revision()
        except RecordError:
            return  # no majority now; the lease runs out if this goes on for a term
        self._parts.lease.confirm(ConfigurationReading(revision, 0.0), asked_at)
