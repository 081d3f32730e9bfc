"""Sends heartbeats to the zone's relays and answers those of other members.

This module determines when a node sends heartbeats and tracks which of its reports and replica sets
each relay has acknowledged. `zone_order` determines the relays and the parent. Each answer to a
heartbeat carries the newest reading of the configuration register. Only the answer of the parent
also carries the changes of the digest, since one node that sent them to a whole zone would exceed
the traffic limit per node. Relays hold no state that other nodes depend on: any member can answer a
heartbeat.
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
"""Sent instead of a version if the sender does not request digest changes from this relay."""
MAX_HEARTBEATS_PER_INTERVAL = 3
"""Limit on the heartbeats that a node sends per interval, however often it is woken. When every
update woke the nodes, 420 nodes on an overloaded machine sent up to four times as many heartbeats
and stayed overloaded."""
MIN_WAIT_S = 0.01
"""Minimum wait before the next heartbeat, also if that heartbeat is overdue."""
INITIAL_SEED_HEARTBEATS = 5
"""Each heartbeat before the one with this number also contacts a seed."""
HEARTBEATS_PER_SEED_CONTACT = 15
"""After the initial heartbeats a relay contacts a seed once per this number of heartbeats on
average, so that groups of nodes that started separately find each other."""


@dataclass
class AcknowledgedState:
    """The reports and replica sets of this node that one incarnation of a relay has received.

    Attributes
    ==========

    incarnation : incarnation of the relay.
    report_sequence : highest sequence among the received reports.
    epochs : by slot, the epoch of the received replica set.
    """

    incarnation: int
    report_sequence: int = 0
    epochs: dict[int, int] = field(default_factory=dict)


class MembershipController:
    """Sends the heartbeats of this node and answers those of other members.

    Attributes
    ==========

    observed_reports : returns this node's own reports on back ends.
    nudge : sends urgent updates without waiting for the next heartbeat.
    """

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
        self._acknowledged: dict[str, AcknowledgedState] = {}
        self._wake = asyncio.Event()
        self._heartbeat_count = 0
        self.observed_reports: Callable[[], list[BackEndReport]] = lambda: []
        parts.transport.handle(Heartbeat, self._on_heartbeat)
        self._urgent = UrgentUpdates(parts, self._relay.read_register, self._wake.set)
        self.nudge = self._urgent.nudge

    # --- the loop

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        self._parts.tasks.start(self._relay.read_register_loop(), "register")
        self._parts.tasks.start(self._relay.failure_detection_loop(), "judge")
        while True:
            started = time.monotonic()
            asked_at = clocks.boottime_s()
            await self._send_heartbeats()
            if self.order.is_relay():
                await self._relay.exchange()
            self._parts.stall_guard.record_response(asked_at)
            self._start_founded_sets()
            await self._sleep_until_next(started)

    def _start_founded_sets(self) -> None:
        """Pass replica sets received with the digest to the replica store, which starts founded
        ones."""
        for replica_set in self._digest.slots.all():
            self._parts.replicas.start_founded_epoch(replica_set)

    async def _sleep_until_next(self, started: float) -> None:
        """Wait until the next heartbeat is due or a nudge wakes this node."""
        min_interval_s = self._timing.heartbeat_interval / MAX_HEARTBEATS_PER_INTERVAL
        await asyncio.sleep(max(0.0, started + min_interval_s - time.monotonic()))
        interval_s = self._timing.heartbeat_interval * self._random.uniform(0.9, 1.1)
        remaining_s = max(MIN_WAIT_S, started + interval_s - time.monotonic())
        try:
            async with asyncio.timeout(remaining_s):
                await self._wake.wait()
        except TimeoutError:
            pass  # not woken: the next heartbeat is due
        self._wake.clear()

    # --- sending heartbeats

    async def _send_heartbeats(self) -> None:
        relays = self.order.relays()
        other_relays = [relay for relay in relays if relay.name != self._settings.name]
        if self._is_seed_contact_due():
            await self._contact_seeds()
        parent = self.order.parent()
        targets = {relay.name: relay for relay in other_relays}
        if parent is not None and parent.name != self._settings.name:
            targets[parent.name] = parent
        parent_name = parent.name if parent else ""
        await asyncio.gather(
            *(self._send_heartbeat(member, name == parent_name) for name, member in targets.items())
        )

    async def _send_heartbeat(self, relay: Member, wants_entries: bool) -> None:
        known = self._known_versions.get(relay.name, NO_KNOWN_VERSION)
        sets = self._unsent_sets(relay.name)
        message = Heartbeat(
            self._parts.local.entry,
            self._unsent_reports(relay.name),
            sets,
            known.incarnation,
            known.version if wants_entries else NO_ENTRIES,
        )
        asked_at = clocks.boottime_s()
        try:
            answer = await self._parts.transport.call_for(
                relay.peer_address, message, HeartbeatAnswer, self._timing.peer_timeout
            )
        except PeerError:
            self.order.record_failure(relay.name)
            return
        self.order.record_success(relay.name)
        self._record_acknowledged(relay.name, answer.relay_incarnation, message)
        self._digest.merge(answer.entries)
        if wants_entries:
            version = KnownVersion(answer.relay_incarnation, answer.entries.version)
            self._known_versions[relay.name] = version
        self._parts.lease.confirm(answer.configuration, asked_at)

    def _unsent_reports(self, relay: str) -> list[BackEndReport]:
        """Reports of this node that the relay has not acknowledged."""
        acknowledged = self._acknowledged.get(relay)
        newest = acknowledged.report_sequence if acknowledged is not None else 0
        return [report for report in self.observed_reports() if report.sequence > newest]

    def _unsent_sets(self, relay: str) -> list[ReplicaSet]:
        """Replica sets with this node as a member that the relay has not acknowledged."""
        acknowledged = self._acknowledged.get(relay)
        epochs = acknowledged.epochs if acknowledged is not None else {}
        return [
            slot.replica_set
            for slot in self._parts.replicas.slots.values()
            if slot.sealed_by is None
            and slot.replica_set.epoch > epochs.get(slot.replica_set.slot, 0)
        ]

    def _record_acknowledged(self, relay: str, incarnation: int, message: Heartbeat) -> None:
        known = self._acknowledged.setdefault(relay, AcknowledgedState(incarnation))
        if known.incarnation != incarnation:
            # The relay has restarted and holds nothing, so everything is sent again.
            self._acknowledged[relay] = AcknowledgedState(incarnation)
            return
        sequences = [report.sequence for report in message.back_ends]
        known.report_sequence = max([known.report_sequence, *sequences])
        known.epochs.update({sent.slot: sent.epoch for sent in message.replica_sets})

    def _is_seed_contact_due(self) -> bool:
        """Whether this heartbeat also contacts a seed.

        Seeds are contacted at each of the first heartbeats, rarely later, and always while this
        node knows no other alive member. Groups of nodes that started separately find each other
        through seeds.
        """
        self._heartbeat_count += 1
        if len(self._digest.alive()) <= 1 or self._heartbeat_count < INITIAL_SEED_HEARTBEATS:
            return True
        return self.order.is_relay() and self._random.random() < 1 / HEARTBEATS_PER_SEED_CONTACT

    async def _contact_seeds(self) -> None:
        if not self._seeds:
            return
        seed = self._random.choice(self._seeds)
        await self._relay.pull(seed, seed, from_zone=None)

    # --- answering heartbeats

    async def _on_heartbeat(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Heartbeat)
        self._relay.members.record_contact([message.member.name], time.monotonic())
        self._digest.merge_member(message.member)
        for report in message.back_ends:
            self._digest.merge_report(report)
        for replica_set in message.replica_sets:
            self._parts.merge_replica_set(replica_set)
        incarnation = self._parts.local.incarnation
        if message.known_version == NO_ENTRIES:
            entries = self._digest.changes_since(self._digest.version)
        else:
            is_same_run = message.relay_incarnation == incarnation
            entries = self._digest.changes_since(message.known_version if is_same_run else 0)
        return HeartbeatAnswer(incarnation, entries, self._parts.lease.current_reading())
