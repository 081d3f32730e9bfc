"""Heartbeats to the zone's relays, and the tree that spreads the digest.

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

from crankseam import clocks
from crankseam.cluster.digest import MemberStatus
from crankseam.cluster.relay import RelayDuties
from crankseam.cluster.zone_order import ZoneOrder
from crankseam.errors import PeerError
from crankseam.peers.messages import (
    AnyMessage,
    BackEndReport,
    Done,
    Entries,
    Heartbeat,
    HeartbeatAnswer,
    Member,
    Nudge,
    ReplicaSet,
)

if TYPE_CHECKING:
    from crankseam.cluster.agent import ClusterAgent

log = logging.getLogger(__name__)

NO_ENTRIES = -1
MAX_BEATS_PER_INTERVAL = 3
NUDGE_CALM_INTERVALS = 4
MAX_NUDGE_HEARTBEATS = 2.0
FREQUENT_SEED_BEATS = 5
SEED_CONTACT_BEATS = 15


class MembershipController:
    """Runs a node's heartbeats, answers those of others, and passes urgent news on."""

    def __init__(self, agent: ClusterAgent, seeds: list[str]) -> None:
        self._agent = agent
        self._settings = agent.settings
        self._timing = agent.settings.timing
        self._seeds = seeds
        self._random = random.Random(agent.identity)
        self.order = ZoneOrder(agent.settings, agent.digest)
        self._relay = RelayDuties(agent, self.order)
        self._known_versions: dict[str, tuple[int, int]] = {}
        self._sent_reports: dict[str, tuple[int, int]] = {}
        self._sent_epochs: dict[str, dict[int, int]] = {}
        self._wake = asyncio.Event()
        self._beats = 0
        self._shortest_nudge_interval = self._timing.heartbeat_interval / 8
        self._nudge_interval = self._shortest_nudge_interval
        self._last_nudge = 0.0
        self._nudge_pending = False
        self._nudge_revision = 0
        self._told_revision = 0
        self._urgent = Entries()
        self._tells_other_zones = False
        self.observed_reports: Callable[[], list[BackEndReport]] = lambda: []
        agent.transport.handle(Heartbeat, self._on_heartbeat)
        agent.transport.handle(Nudge, self._on_nudge)
        agent.digest.on_change(self._pass_on_urgent_news)

    def _pass_on_urgent_news(self, change: Member | BackEndReport) -> None:
        """Tell of deaths, departures and leaving back ends at once; all else can wait.

        The relays of the zone it is about tell all other relays; every relay tells its own zone.
        """
        own = self._settings.name
        observer = change.name if isinstance(change, Member) else change.watcher
        if observer != own and not self.order.is_relay():
            return
        if isinstance(change, Member):
            if change.status == MemberStatus.ALIVE:
                return
            self._urgent.members.append(change)
        elif change.leaving:
            self._urgent.back_ends.append(change)
        else:
            return
        self._tells_other_zones = self._tells_other_zones or change.zone == self._settings.zone
        self.nudge()

    # --- the loop

    async def run(self) -> None:
        """Beat until cancelled."""
        self._agent.tasks.start(self._relay.read_register_loop(), "register")
        self._agent.tasks.start(self._relay.judge_loop(), "judge")
        while True:
            started = time.monotonic()
            await self._beat()
            if self.order.is_relay():
                await self._relay.exchange()
            self._agent.stall_guard.view_renewed(started)
            self._agent.adopt_known_sets()
            await self._sleep_until_next(started)

    async def _sleep_until_next(self, started: float) -> None:
        """Until the next beat is due, or sooner if something urgent wakes this node.

        However often it is woken, it beats only so often: news of many deaths at once would
        otherwise multiply the beats, and overload what is alive.
        """
        soonest = self._timing.heartbeat_interval / MAX_BEATS_PER_INTERVAL
        await asyncio.sleep(max(0.0, started + soonest - time.monotonic()))
        interval = self._timing.heartbeat_interval * self._random.uniform(0.9, 1.1)
        remaining = max(0.01, started + interval - time.monotonic())
        try:
            async with asyncio.timeout(remaining):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def nudge(self, revision: int = 0) -> None:
        """Tell others at once of something urgent that this node learned.

        Without a revision or collected news it only makes the relays look now.
        """
        self._nudge_revision = max(revision, self._nudge_revision)
        if not self._nudge_pending:
            self._nudge_pending = True
            self._agent.tasks.start(self._nudge_soon(), "nudge")

    async def _nudge_soon(self) -> None:
        """Send at most one round of nudges an interval, for all that asked meanwhile."""
        since_last = time.monotonic() - self._last_nudge
        # Rounds that follow each other closely are spaced out more and more.
        if since_last > NUDGE_CALM_INTERVALS * self._nudge_interval:
            self._nudge_interval = self._shortest_nudge_interval
        else:
            longest = self._timing.heartbeat_interval * MAX_NUDGE_HEARTBEATS
            self._nudge_interval = min(longest, self._nudge_interval * 2)
        await asyncio.sleep(max(0.0, self._nudge_interval - since_last))
        self._last_nudge = time.monotonic()
        self._nudge_pending = False
        message = Nudge(self._nudge_revision, self._urgent)
        targets = self._nudge_targets()
        self._told_revision = max(self._told_revision, self._nudge_revision)
        self._nudge_revision = 0
        self._urgent = Entries()
        self._tells_other_zones = False
        for target in targets:
            self._agent.tasks.start(self._send_nudge(target, message), "nudge")

    def _nudge_targets(self) -> list[Member]:
        targets = self.order.relays()
        if self.order.is_relay():
            targets = targets + self._agent.digest.alive_in_zone(self._settings.zone)
            if self._tells_other_zones or self._nudge_revision:
                targets = targets + self.order.other_zone_relays()
        by_name = {member.name: member for member in targets}
        by_name.pop(self._settings.name, None)
        return list(by_name.values())

    async def _send_nudge(self, target: Member, message: Nudge) -> None:
        try:
            await self._agent.transport.call(
                target.peer_address, message, self._timing.peer_timeout
            )
        except PeerError:
            pass

    async def _on_nudge(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Nudge)
        self._agent.digest.learn(message.entries)
        if message.revision > self._agent.lease.snapshot.revision:
            self._agent.announce_revision(message.revision)
            if self.order.is_relay() and message.revision > self._told_revision:
                await self._relay.read_register()
                self.nudge(message.revision)
        elif not message.entries.members and not message.entries.back_ends:
            self._wake.set()  # the news has to be pulled
        return Done()

    # --- a node's side

    async def _beat(self) -> None:
        relays = self.order.relays()
        others = [relay for relay in relays if relay.name != self._settings.name]
        if self._is_seed_contact_due():
            await self._contact_seeds()
        parent = self.order.parent()
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
        asked_at = clocks.promised_s()
        try:
            answer = await self._agent.transport.call_for(
                relay.peer_address, message, HeartbeatAnswer, self._timing.peer_timeout
            )
        except PeerError:
            self.order.note_failure(relay.name)
            return
        self.order.note_success(relay.name)
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
        return self.order.is_relay() and self._random.random() < 1 / SEED_CONTACT_BEATS

    async def _contact_seeds(self) -> None:
        if not self._seeds:
            return
        seed = self._random.choice(self._seeds)
        await self._relay.pull(seed, seed, from_zone=None)

    async def _on_heartbeat(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Heartbeat)
        agent = self._agent
        self._relay.judge.hear([message.member.name])
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
