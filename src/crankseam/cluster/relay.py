"""What a relay does besides answering heartbeats: exchange between zones, deaths, the register."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING

import msgspec

from crankseam import clocks
from crankseam.cluster.digest import MemberStatus
from crankseam.cluster.liveness import LivenessJudge
from crankseam.cluster.zone_order import ZoneOrder
from crankseam.errors import PeerError, RecordError
from crankseam.peers.messages import (
    AnyMessage,
    ConfigurationReading,
    Exchange,
    ExchangeAnswer,
    Member,
)

if TYPE_CHECKING:
    from crankseam.cluster.agent import ClusterAgent

log = logging.getLogger(__name__)

READINGS_PER_TERM = 5
JUDGEMENTS_PER_HEARTBEAT = 4


class RelayDuties:
    """Any node can take these up within one heartbeat; they hold nothing that others depend on."""

    def __init__(self, agent: ClusterAgent, order: ZoneOrder) -> None:
        self._agent = agent
        self._settings = agent.settings
        self._timing = agent.settings.timing
        self._order = order
        self._random = random.Random(f"relay {agent.identity}")
        self.judge = LivenessJudge(self._timing.dead_after)
        self._zone_heard_at: dict[str, float] = {}
        self._known_versions: dict[str, tuple[int, int]] = {}
        agent.transport.handle(Exchange, self._on_exchange)

    # --- exchange between relays

    async def exchange(self) -> None:
        """Take the news of other zones, and the other relay's of this one."""
        first = self._order.is_first_relay()
        if first:
            self._agent.digest.learn_pulse(self._settings.zone, time.time_ns() // 1_000_000)
        # The second relay takes the other zones' news from the first, its parent.
        zones = self._agent.digest.zones() if first else [self._settings.zone]
        await asyncio.gather(*(self._pull_from_zone(zone) for zone in zones))
        if first:
            self._declare_silent_zones()
        else:
            self._zone_heard_at.clear()

    async def _pull_from_zone(self, zone: str) -> None:
        own_zone = zone == self._settings.zone
        candidates = [m for m in self._order.relays(zone) if m.name != self._settings.name]
        if not candidates and not own_zone:
            # Every member of the zone is taken for dead: look whether one of them answers again.
            members = [m for m in self._agent.digest.members() if m.zone == zone]
            candidates = [self._random.choice(members)] if members else []
        if candidates:
            await self.pull(candidates[0].peer_address, candidates[0].name, zone)

    async def pull(self, address: str, name: str, from_zone: str | None) -> None:
        """Take what changed at a peer since the last time.

        Args:
            from_zone: the zone whose relay it is; None for a seed of unknown zone.
        """
        incarnation, version = self._known_versions.get(name, (0, 0))
        zones = len(self._agent.digest.zones())
        message = Exchange(self._agent.own, incarnation, version, zones)
        try:
            answer = await self._agent.transport.call_for(
                address, message, ExchangeAnswer, self._timing.peer_timeout
            )
        except PeerError:
            self._order.note_failure(name)
            return
        self._order.note_success(name)
        self._agent.digest.learn(answer.entries)
        self._known_versions[name] = (answer.relay_incarnation, answer.entries.version)
        if from_zone is not None:
            self._zone_heard_at[from_zone] = time.monotonic()
        if from_zone == self._settings.zone:
            self.judge.hear([name])
            self.judge.hear_from_relay(answer.heard)

    async def _on_exchange(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Exchange)
        agent = self._agent
        if message.member.incarnation:
            agent.digest.learn_member(message.member)
        same_run = message.relay_incarnation == agent.incarnation
        since = message.known_version if same_run else 0
        same_zone = message.member.zone == self._settings.zone
        same_region = message.member.region == self._settings.region
        # First contact (nothing known yet) gets all members. After that only this zone's: the
        # others the caller takes from their own zones, or from its parent.
        zone = None if since == 0 else self._settings.zone
        entries = agent.digest.changes_since(since, zone, regional=same_region)
        if message.known_zones < len(agent.digest.zones()):
            entries.members += self._order.other_zone_relays()
        heard = self.judge.heard_here() if same_zone else {}
        return ExchangeAnswer(agent.incarnation, entries, heard)

    # --- deaths

    async def judge_loop(self) -> None:
        """Look for silence several times a heartbeat, so that a death is not noticed late."""
        pause = self._timing.heartbeat_interval / JUDGEMENTS_PER_HEARTBEAT
        while True:
            await asyncio.sleep(pause)
            not_counted = self.judge.tick(pause)
            for zone in self._zone_heard_at:
                self._zone_heard_at[zone] += not_counted
            if self._order.is_relay():
                self._declare_silent_members()
            else:
                # What was heard in an earlier time as a relay says nothing about now.
                self.judge.start_anew()
                self._zone_heard_at.clear()

    def _declare_silent_members(self) -> None:
        digest = self._agent.digest
        watched = [
            member
            for member in digest.members()
            if member.zone == self._settings.zone
            and member.status != MemberStatus.DEAD
            and member.name != self._settings.name
        ]
        silent = set(self.judge.silent(member.name for member in watched))
        if self._is_probably_cut_off(len(watched), len(silent)):
            return
        for member in watched:
            if member.name in silent:
                self._declare_dead(member)

    def _is_probably_cut_off(self, watched: int, silent: int) -> bool:
        """Most of a zone silent at once: more likely this node is cut off than that all died.

        Only where another zone can still be heard is the silence taken at its word.
        """
        if silent * 2 <= watched or watched < 3:
            return False
        since = time.monotonic() - self._timing.suspect_after
        other_zones = [z for z in self._agent.digest.zones() if z != self._settings.zone]
        return not any(self._zone_heard_at.get(zone, 0.0) > since for zone in other_zones)

    def _declare_silent_zones(self) -> None:
        """Take the members of an unreachable zone of this region for dead, until heard again."""
        now = time.monotonic()
        silence = self._timing.dead_after + self._timing.suspect_after
        for zone, region in self._agent.digest.zones().items():
            if zone == self._settings.zone or region != self._settings.region:
                continue
            heard_at = self._zone_heard_at.setdefault(zone, now)
            if now - heard_at < silence:
                continue
            for member in list(self._agent.digest.members()):
                if member.zone == zone and member.status != MemberStatus.DEAD:
                    self._declare_dead(member)

    def _declare_dead(self, member: Member) -> None:
        log.warning("member declared dead", extra={"member": member.identity})
        dead = msgspec.structs.replace(member, status=int(MemberStatus.DEAD))
        self._agent.digest.learn_member(dead)
        self.judge.forget(member.name)

    # --- the configuration register

    async def read_register_loop(self) -> None:
        """Read the register several times a term while this node is a relay."""
        pause = self._timing.configuration_term / READINGS_PER_TERM
        while True:
            if self._order.is_relay():
                await self.read_register()
            await asyncio.sleep(pause * self._random.uniform(0.9, 1.1))

    async def read_register(self) -> None:
        """Read it once, for this node's lease and for those that ask this relay."""
        asked_at = clocks.promised_s()
        try:
            revision = await self._agent.read_register()
        except RecordError:
            return
        self._agent.lease.confirm(ConfigurationReading(revision, 0.0), asked_at)
