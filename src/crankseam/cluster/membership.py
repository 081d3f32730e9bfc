"""Heartbeats to the zone's relays, the tree that spreads the digest, and the relays' own work.

Each zone has two relays: its live members of lowest rendezvous rank. They hold no state that
others depend on: any member can answer a heartbeat, and a new relay has everything within one
heartbeat. A node sends each relay one small heartbeat an interval; the answer carries the newest
reading of the configuration register. What changed anywhere a node takes from its parent in a
tree over the zone's members, since one node could not send it to all within its share of traffic.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from crankseam.cluster.digest import MemberStatus
from crankseam.cluster.liveness import LivenessJudge
from crankseam.errors import PeerError, RecordError
from crankseam.peers.messages import (
    AnyMessage,
    BackEndReport,
    ConfigurationReading,
    Done,
    Exchange,
    ExchangeAnswer,
    Heartbeat,
    HeartbeatAnswer,
    Member,
    Nudge,
    ReplicaSet,
)
from crankseam.records.slots import ranked

if TYPE_CHECKING:
    from crankseam.cluster.agent import ClusterAgent

log = logging.getLogger(__name__)

RELAYS_PER_ZONE = 2
RELAY_PURPOSE = "relay"
TREE_DEGREE = 2
"""Members that take the digest from one member of the zone."""
NO_ENTRIES = -1
MIN_NUDGE_INTERVAL = 0.25
READINGS_PER_TERM = 5
JUDGEMENTS_PER_HEARTBEAT = 4
EXCHANGE_KEY = "exchange/"
"""Versions taken by exchange are kept apart: an exchange carries only the peer's own zone."""
FREQUENT_SEED_BEATS = 5
SEED_CONTACT_BEATS = 15


class MembershipController:
    """Runs a node's heartbeats and, while it is a relay, the exchange with other relays."""

    def __init__(self, agent: ClusterAgent, seeds: list[str]) -> None:
        self._agent = agent
        self._settings = agent.settings
        self._timing = agent.settings.timing
        self._seeds = seeds
        self._random = random.Random(agent.identity)
        self._judge = LivenessJudge(self._timing.dead_after, own_pause=self._timing.suspect_after)
        self._zone_heard_at: dict[str, float] = {}
        self._known_versions: dict[str, tuple[int, int]] = {}
        self._failed_at: dict[str, float] = {}
        self._sent_reports: dict[str, tuple[int, int]] = {}
        self._sent_epochs: dict[str, dict[int, int]] = {}
        self._wake = asyncio.Event()
        self._beats = 0
        self._last_nudge = 0.0
        self._nudge_pending = False
        self._nudge_revision = 0
        self.observed_reports: Callable[[], list[BackEndReport]] = lambda: []
        agent.transport.handle(Heartbeat, self._on_heartbeat)
        agent.transport.handle(Exchange, self._on_exchange)
        agent.transport.handle(Nudge, self._on_nudge)
        agent.digest.on_change(self._pass_on_urgent_news)

    # --- who is a relay

    def relays(self, zone: str | None = None) -> list[Member]:
        """The relays of a zone (this node's by default), those that failed lately put last."""
        zone = zone or self._settings.zone
        order = list(self._agent.digest.ranked_in_zone(RELAY_PURPOSE, zone))
        since = time.monotonic() - self._timing.suspect_after
        order.sort(key=lambda member: self._failed_at.get(member.name, 0.0) > since)
        return order[:RELAYS_PER_ZONE]

    def parent(self) -> Member | None:
        """The member of this zone from which this node takes the digest; None for the first.

        The members form a tree by rank, so that no node sends the digest to more than a few. A
        parent that failed lately is passed over for its own parent.
        """
        order = self._agent.digest.ranked_in_zone(RELAY_PURPOSE, self._settings.zone)
        names = [member.name for member in order]
        if self._settings.name not in names:
            return order[0] if order else None  # leaving, and no longer ranked
        position = names.index(self._settings.name)
        since = time.monotonic() - self._timing.suspect_after
        while position > 0:
            position = (position - 1) // TREE_DEGREE
            if self._failed_at.get(names[position], 0.0) <= since:
                return order[position]
        relays = [relay for relay in self.relays() if relay.name != self._settings.name]
        return relays[0] if relays else None

    def is_relay(self) -> bool:
        """Whether this node does a relay's work now."""
        return any(member.name == self._settings.name for member in self.relays())

    def is_first_of_region(self) -> bool:
        """Whether this node carries the region's single duties (any node may, if it errs)."""
        members = self._agent.digest.alive_in_region(self._settings.region)
        since = time.monotonic() - self._timing.suspect_after
        usable = [m for m in members if self._failed_at.get(m.name, 0.0) <= since]
        order = ranked("region-duties", usable)
        return bool(order) and order[0].name == self._settings.name

    def _pass_on_urgent_news(self) -> None:
        """A relay that hears of a death or a leaving back end tells its zone at once."""
        if self.is_relay():
            self.nudge()

    # --- the loop

    async def run(self) -> None:
        """Beat until cancelled."""
        self._agent.tasks.start(self._read_register_loop(), "register")
        self._agent.tasks.start(self._judge_loop(), "judge")
        while True:
            started = time.monotonic()
            await self._beat()
            if self.is_relay():
                await self._relay_work()
            self._agent.stall_guard.view_renewed(started)
            self._agent.adopt_known_sets()
            await self._sleep_until_next(started)

    async def _sleep_until_next(self, started: float) -> None:
        interval = self._timing.heartbeat_interval * self._random.uniform(0.9, 1.1)
        remaining = max(0.01, started + interval - time.monotonic())
        try:
            async with asyncio.timeout(remaining):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def nudge(self, revision: int = 0) -> None:
        """Tell the relays at once of something urgent that this node learned."""
        self._wake.set()
        if not self._nudge_pending:
            self._nudge_pending = True
            self._agent.tasks.start(self._nudge_soon(), "nudge")
        self._nudge_revision = max(revision, self._nudge_revision)

    async def _nudge_soon(self) -> None:
        """Send at most one round of nudges an interval, for all that asked meanwhile."""
        earliest = self._last_nudge + MIN_NUDGE_INTERVAL
        await asyncio.sleep(max(0.0, earliest - time.monotonic()))
        self._last_nudge = time.monotonic()
        self._nudge_pending = False
        targets = {member.name: member for member in self.relays()}
        if self.is_relay():
            for member in self._agent.digest.alive_in_zone(self._settings.zone):
                targets[member.name] = member
            for relay in self._other_zone_relays():
                targets[relay.name] = relay
        targets.pop(self._settings.name, None)
        for target in targets.values():
            self._agent.tasks.start(self._send_nudge(target, self._nudge_revision), "nudge")

    def _other_zone_relays(self) -> list[Member]:
        relays = []
        for zone in self._agent.digest.zones():
            if zone != self._settings.zone:
                relays.extend(self.relays(zone))
        return relays

    async def _send_nudge(self, target: Member, revision: int) -> None:
        try:
            await self._agent.transport.call(
                target.peer_address, Nudge(revision), self._timing.peer_timeout
            )
        except PeerError:
            pass

    async def _on_nudge(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Nudge)
        self._wake.set()
        if self.is_relay() and message.revision > self._agent.lease.snapshot.revision:
            await self._read_register()
            self.nudge(message.revision)
        return Done()

    # --- a node's side

    async def _beat(self) -> None:
        relays = self.relays()
        others = [relay for relay in relays if relay.name != self._settings.name]
        if self._is_seed_contact_due():
            await self._contact_seeds()
        parent = self.parent()
        targets = {relay.name: relay for relay in others}
        if parent is not None and parent.name != self._settings.name:
            targets[parent.name] = parent
        parent_name = parent.name if parent else ""
        await asyncio.gather(
            *(self._beat_one(member, name == parent_name) for name, member in targets.items())
        )

    async def _beat_one(self, relay: Member, entries_wanted: bool) -> None:
        incarnation, version = self._known_versions.get(relay.name, (0, 0))
        sets = self._unsent_sets(relay.name)
        message = Heartbeat(
            self._agent.own,
            self._unsent_reports(relay.name),
            sets,
            incarnation,
            version if entries_wanted else NO_ENTRIES,
        )
        asked_at = time.monotonic()
        try:
            answer = await self._agent.transport.call_for(
                relay.peer_address, message, HeartbeatAnswer, self._timing.peer_timeout
            )
        except PeerError:
            self._failed_at[relay.name] = time.monotonic()
            return
        self._failed_at.pop(relay.name, None)
        self._note_sent(relay.name, answer.relay_incarnation, message)
        self._agent.digest.learn(answer.entries)
        if entries_wanted:
            self._known_versions[relay.name] = (answer.relay_incarnation, answer.entries.version)
        self._agent.lease.confirm(answer.configuration, asked_at)

    def _unsent_reports(self, relay: str) -> list[BackEndReport]:
        """This node's reports that the relay has not acknowledged yet."""
        _incarnation, newest = self._sent_reports.get(relay, (0, 0))
        return [report for report in self.observed_reports() if report.sequence > newest]

    def _unsent_sets(self, relay: str) -> list[ReplicaSet]:
        """Sets this node is a replica of and that the relay has not acknowledged yet."""
        acknowledged = self._sent_epochs.get(relay, {})
        return [
            slot.replica_set
            for slot in self._agent.replicas.slots.values()
            if slot.sealed_by is None
            and slot.replica_set.epoch > acknowledged.get(slot.replica_set.slot, 0)
        ]

    def _note_sent(self, relay: str, incarnation: int, message: Heartbeat) -> None:
        known, newest = self._sent_reports.get(relay, (incarnation, 0))
        if known != incarnation:
            # Another run of the relay: it has nothing yet, so all is sent once more.
            self._sent_reports[relay] = (incarnation, 0)
            self._sent_epochs.pop(relay, None)
            return
        newest = max([newest, *(report.sequence for report in message.back_ends)])
        self._sent_reports[relay] = (incarnation, newest)
        epochs = self._sent_epochs.setdefault(relay, {})
        epochs.update({sent.slot: sent.epoch for sent in message.replica_sets})

    def _is_seed_contact_due(self) -> bool:
        """Often at first, then rarely: groups that started apart find each other through seeds."""
        self._beats += 1
        if len(self._agent.digest.alive()) <= 1 or self._beats < FREQUENT_SEED_BEATS:
            return True
        return self.is_relay() and self._random.random() < 1 / SEED_CONTACT_BEATS

    async def _contact_seeds(self) -> None:
        if not self._seeds:
            return
        seed = self._random.choice(self._seeds)
        await self._pull(seed, seed, from_zone=None)

    async def _on_heartbeat(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Heartbeat)
        agent = self._agent
        self._judge.hear([message.member.name])
        agent.digest.learn_member(message.member)
        for report in message.back_ends:
            agent.digest.learn_report(report)
        for replica_set in message.replica_sets:
            agent.learn_replica_set(replica_set)
        if message.known_version == NO_ENTRIES:
            entries = agent.digest.changes_since(agent.digest.version)
        else:
            is_same_run = message.relay_incarnation == agent.incarnation
            entries = agent.digest.changes_since(message.known_version if is_same_run else 0)
        return HeartbeatAnswer(agent.incarnation, entries, agent.lease.current_reading())

    # --- a relay's side

    async def _relay_work(self) -> None:
        first = self.relays()[0].name == self._settings.name
        # The second relay takes the other zones' news from the first, its parent.
        zones = self._agent.digest.zones() if first else [self._settings.zone]
        await asyncio.gather(*(self._pull_from_zone(zone) for zone in zones))
        if first:
            self._declare_silent_zones()
        else:
            self._zone_heard_at.clear()

    async def _pull_from_zone(self, zone: str) -> None:
        own_zone = zone == self._settings.zone
        candidates = [m for m in self.relays(zone) if m.name != self._settings.name]
        if not candidates and not own_zone:
            # Every member of the zone is taken for dead: look whether one of them answers again.
            members = [m for m in self._agent.digest.members() if m.zone == zone]
            candidates = [self._random.choice(members)] if members else []
        if candidates:
            await self._pull(candidates[0].peer_address, candidates[0].name, zone)

    async def _pull(self, address: str, name: str, from_zone: str | None) -> None:
        key = f"{EXCHANGE_KEY}{name}"
        incarnation, version = self._known_versions.get(key, (0, 0))
        zones = len(self._agent.digest.zones())
        message = Exchange(self._agent.own, incarnation, version, zones)
        try:
            answer = await self._agent.transport.call_for(
                address, message, ExchangeAnswer, self._timing.peer_timeout
            )
        except PeerError:
            self._failed_at[name] = time.monotonic()
            return
        self._failed_at.pop(name, None)
        self._agent.digest.learn(answer.entries)
        self._known_versions[key] = (answer.relay_incarnation, answer.entries.version)
        if from_zone is not None:
            self._zone_heard_at[from_zone] = time.monotonic()
        if from_zone == self._settings.zone:
            self._judge.hear([name])
            self._judge.hear_from_relay(answer.heard)

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
            entries.members += self._other_zone_relays()
        heard = self._judge.heard_here() if same_zone else {}
        return ExchangeAnswer(agent.incarnation, entries, heard)

    async def _judge_loop(self) -> None:
        """Look for silence several times a heartbeat, so that a death is not noticed late."""
        pause = self._timing.heartbeat_interval / JUDGEMENTS_PER_HEARTBEAT
        while True:
            await asyncio.sleep(pause)
            self._judge.tick()
            if self.is_relay():
                self._declare_silent_members()

    def _declare_silent_members(self) -> None:
        digest = self._agent.digest
        watched = [
            member
            for member in digest.members()
            if member.zone == self._settings.zone
            and member.status != MemberStatus.DEAD
            and member.name != self._settings.name
        ]
        silent = set(self._judge.silent(member.name for member in watched))
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
        self._judge.forget(member.name)
        self.nudge()

    # --- the configuration register

    async def _read_register_loop(self) -> None:
        pause = self._timing.configuration_term / READINGS_PER_TERM
        while True:
            if self.is_relay():
                await self._read_register()
            await asyncio.sleep(pause * self._random.uniform(0.9, 1.1))

    async def _read_register(self) -> None:
        asked_at = time.monotonic()
        try:
            revision = await self._agent.read_register()
        except RecordError:
            return
        self._agent.lease.confirm(ConfigurationReading(revision, 0.0), asked_at)
