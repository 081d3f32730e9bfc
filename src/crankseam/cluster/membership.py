"""Heartbeats to the zone's relays, and the tree that spreads the digest.

Owns when this node sends a heartbeat and what each relay has acknowledged of its reports and
replica sets. Relies on `zone_order` for its relays and parent; the answer to a heartbeat carries
the newest reading of the configuration register and, from the parent only, what changed anywhere,
since one node could not send that to a whole zone within its share of traffic. Relays hold no state
that others depend on: any member can answer a heartbeat.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from crankseam import clocks
from crankseam.cluster.digest import NO_KNOWN_VERSION, KnownVersion
from crankseam.cluster.parts import ClusterParts
from crankseam.cluster.relay import RelayDuties
from crankseam.cluster.urgent_updates import UrgentUpdates
from crankseam.errors import PeerError
from crankseam.peers.messages import (
    AnyMessage,
    BackEndReport,
    Heartbeat,
    HeartbeatAnswer,
    Member,
    ReplicaSet,
)

NO_ENTRIES = -1
"""Sent in place of a version by a node that takes no changes from this relay."""
MAX_BEATS_PER_INTERVAL = 3
"""However often a node is woken, it beats only so often: woken by each piece of news, 420 nodes on
an overloaded machine beat up to four times as often and stayed overloaded (commit 9938361)."""
SHORTEST_WAIT_S = 0.01
"""A node that is late waits at least this long for news before it beats again. Origin not
recorded."""
FREQUENT_SEED_BEATS = 5
"""Up to this beat each one contacts a seed. Origin not recorded."""
SEED_CONTACT_BEATS = 15
"""From then on a relay contacts a seed once in so many beats in the mean, so that groups that
started apart find each other. Origin not recorded."""


@dataclass
class Acknowledged:
    """What one run of a relay has of this node's reports and replica sets.

    Attributes
    ==========

    newest_report : highest sequence among the reports it has.
    epochs : by slot, of the replica sets it has.
    """

    incarnation: int
    newest_report: int = 0
    epochs: dict[int, int] = field(default_factory=dict)


class MembershipController:
    """Runs a node's heartbeats and answers those of others."""

    def __init__(self, parts: ClusterParts, seeds: list[str]) -> None:
        self._parts = parts
        self._digest = parts.digest
        self._settings = parts.settings
        self._timing = parts.settings.timing
        self._seeds = seeds
        self._random = random.Random(parts.identity)
        self.order = parts.order
        self._relay = RelayDuties(parts)
        self._known_versions: dict[str, KnownVersion] = {}
        self._acknowledged: dict[str, Acknowledged] = {}
        self._wake = asyncio.Event()
        self._beats = 0
        self.observed_reports: Callable[[], list[BackEndReport]] = lambda: []
        parts.transport.handle(Heartbeat, self._on_heartbeat)
        self._urgent = UrgentUpdates(parts, self._relay.read_register, self._wake.set)
        self.nudge = self._urgent.nudge

    # --- the loop

    async def run(self) -> None:
        """Beat until cancelled."""
        self._parts.tasks.start(self._relay.read_register_loop(), "register")
        self._parts.tasks.start(self._relay.failure_detection_loop(), "judge")
        while True:
            started = time.monotonic()
            await self._beat()
            if self.order.is_relay():
                await self._relay.exchange()
            self._parts.stall_guard.view_renewed(started)
            self._start_founded_sets()
            await self._sleep_until_next(started)

    def _start_founded_sets(self) -> None:
        """Start founded replica sets that arrived by digest."""
        for replica_set in self._digest.slots.all():
            self._parts.replicas.adopt(replica_set)

    async def _sleep_until_next(self, started: float) -> None:
        """Until the next beat is due, or sooner if something urgent wakes this node."""
        soonest_s = self._timing.heartbeat_interval / MAX_BEATS_PER_INTERVAL
        await asyncio.sleep(max(0.0, started + soonest_s - time.monotonic()))
        interval_s = self._timing.heartbeat_interval * self._random.uniform(0.9, 1.1)
        remaining_s = max(SHORTEST_WAIT_S, started + interval_s - time.monotonic())
        try:
            async with asyncio.timeout(remaining_s):
                await self._wake.wait()
        except TimeoutError:
            pass  # nothing urgent came: the next beat is due
        self._wake.clear()

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
        known = self._known_versions.get(relay.name, NO_KNOWN_VERSION)
        sets = self._unsent_sets(relay.name)
        message = Heartbeat(
            self._parts.local.entry,
            self._unsent_reports(relay.name),
            sets,
            known.incarnation,
            known.version if entries_wanted else NO_ENTRIES,
        )
        asked_at = clocks.promised_s()
        try:
            answer = await self._parts.transport.call_for(
                relay.peer_address, message, HeartbeatAnswer, self._timing.peer_timeout
            )
        except PeerError:
            self.order.record_failure(relay.name)
            return
        self.order.record_success(relay.name)
        self._note_sent(relay.name, answer.relay_incarnation, message)
        self._digest.learn(answer.entries)
        if entries_wanted:
            version = KnownVersion(answer.relay_incarnation, answer.entries.version)
            self._known_versions[relay.name] = version
        self._parts.lease.confirm(answer.configuration, asked_at)

    def _unsent_reports(self, relay: str) -> list[BackEndReport]:
        """This node's reports that the relay has not acknowledged yet."""
        acknowledged = self._acknowledged.get(relay)
        newest = acknowledged.newest_report if acknowledged is not None else 0
        return [report for report in self.observed_reports() if report.sequence > newest]

    def _unsent_sets(self, relay: str) -> list[ReplicaSet]:
        """Sets this node is a replica of and that the relay has not acknowledged yet."""
        acknowledged = self._acknowledged.get(relay)
        epochs = acknowledged.epochs if acknowledged is not None else {}
        return [
            slot.replica_set
            for slot in self._parts.replicas.slots.values()
            if slot.sealed_by is None
            and slot.replica_set.epoch > epochs.get(slot.replica_set.slot, 0)
        ]

    def _note_sent(self, relay: str, incarnation: int, message: Heartbeat) -> None:
        known = self._acknowledged.setdefault(relay, Acknowledged(incarnation))
        if known.incarnation != incarnation:
            # Another run of the relay: it has nothing yet, so all is sent once more.
            self._acknowledged[relay] = Acknowledged(incarnation)
            return
        sequences = [report.sequence for report in message.back_ends]
        known.newest_report = max([known.newest_report, *sequences])
        known.epochs.update({sent.slot: sent.epoch for sent in message.replica_sets})

    def _is_seed_contact_due(self) -> bool:
        """Often at first, then rarely: groups that started apart find each other through seeds."""
        self._beats += 1
        if len(self._digest.alive()) <= 1 or self._beats < FREQUENT_SEED_BEATS:
            return True
        return self.order.is_relay() and self._random.random() < 1 / SEED_CONTACT_BEATS

    async def _contact_seeds(self) -> None:
        if not self._seeds:
            return
        seed = self._random.choice(self._seeds)
        await self._relay.pull(seed, seed, from_zone=None)

    # --- a relay's side

    async def _on_heartbeat(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Heartbeat)
        self._relay.members.record_contact([message.member.name], time.monotonic())
        self._digest.learn_member(message.member)
        for report in message.back_ends:
            self._digest.learn_report(report)
        for replica_set in message.replica_sets:
            self._parts.learn_replica_set(replica_set)
        incarnation = self._parts.local.incarnation
        if message.known_version == NO_ENTRIES:
            entries = self._digest.changes_since(self._digest.version)
        else:
            is_same_run = message.relay_incarnation == incarnation
            entries = self._digest.changes_since(message.known_version if is_same_run else 0)
        return HeartbeatAnswer(incarnation, entries, self._parts.lease.current_reading())
