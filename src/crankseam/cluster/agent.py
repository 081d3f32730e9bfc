"""What a node does together with others: membership, digest, configuration, replicas."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time

import msgspec

from crankseam.clients.key_value import KeyValueClient
from crankseam.clients.machine_list import MachineListClient
from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.cluster.digest import DigestTable, MemberStatus
from crankseam.cluster.known_peers import KnownPeers
from crankseam.cluster.membership import MembershipController
from crankseam.cluster.stall_guard import StallGuard
from crankseam.config.snapshot import StoredSnapshot
from crankseam.errors import PeerError, PeerUnreachable, RecordError
from crankseam.peers.messages import (
    AnyMessage,
    BackEndReport,
    Exchange,
    ExchangeAnswer,
    FetchSnapshot,
    Member,
    Message,
    ReplicaSet,
    SnapshotAnswer,
)
from crankseam.peers.transport import PeerTransport
from crankseam.records.proposer import Proposer, RecordKey
from crankseam.records.replica import UNDATED, ReplicaStore
from crankseam.records.slots import CONFIGURATION_KEY, CONFIGURATION_SLOT, slot_of
from crankseam.settings import NodeSettings
from crankseam.tasks import TaskGroupOwner

log = logging.getLogger(__name__)

CONFIGURATION_CONTENT_KEY = "configuration-content"
FIRST_CONTACT_TIMEOUT = 1.0


def wall_milliseconds() -> int:
    """Wall time; used only to date ids and incarnations, never to judge a lease."""
    return time.time_ns() // 1_000_000


class ClusterAgent:
    """Membership, digests, replicated records and the configuration lease of one node."""

    def __init__(self, settings: NodeSettings, key_value: KeyValueClient) -> None:
        self.settings = settings
        self.key_value = key_value
        self.tasks = TaskGroupOwner()
        self.digest = DigestTable(settings.region)
        timing = settings.timing
        self.lease = ConfigurationLease(timing.configuration_term, timing.clock_margin)
        self.machine_list = (
            MachineListClient(settings.machine_list) if settings.machine_list else None
        )
        self.known_peers = KnownPeers(settings.data_folder)
        self._announced = asyncio.Event()
        self._announced_revision = 0
        self.stall_guard = StallGuard(timing.longest_stall)
        self.incarnation = 0
        self.own: Member
        self.transport: PeerTransport
        self.replicas: ReplicaStore
        self.proposer: Proposer
        self.membership: MembershipController

    @property
    def identity(self) -> str:
        """`name@incarnation` of this process."""
        return f"{self.settings.name}@{self.incarnation}"

    # --- start and stop

    async def start(self, transport: PeerTransport, caller_address: str) -> None:
        """Contact the seeds, choose an incarnation, listen and start the controllers."""
        self.transport = transport
        seeds = await self._seed_addresses()
        known = await self._first_contact(seeds)
        self.incarnation = max(wall_milliseconds(), known + 1)
        transport.incarnation = self.incarnation
        self._create_records()
        port = await transport.listen(self.settings.listen_host, self.settings.peer_port)
        default_address = f"{self.settings.listen_host}:{port}"
        self.own = Member(
            name=self.settings.name,
            region=self.settings.region,
            zone=self.settings.zone,
            peer_address=self.settings.advertise_peer or default_address,
            caller_address=caller_address,
            incarnation=self.incarnation,
            sequence=1,
            caches_weights=self.settings.data_folder is not None,
        )
        self.digest.learn_member(self.own)
        self.digest.on_change(self._refute_death)
        self.lease.on_snapshot(lambda snapshot: self.update_own(revision=snapshot.revision))
        self.membership = MembershipController(self, seeds)
        self._register_handlers()
        self.tasks.start(self.stall_guard.run(), "stall guard")
        self.tasks.start(self.membership.run(), "membership")
        self.tasks.start(self._follow_snapshot(), "snapshot")

    def _create_records(self) -> None:
        self.replicas = ReplicaStore(self.identity, self.learn_replica_set)
        self.proposer = Proposer(
            self.identity, self, self.digest.slots, self.settings.timing.record_timeout
        )

    async def close(self) -> None:
        """Stop everything at once, as a crash would."""
        await self.tasks.stop()
        await self.transport.close()
        if self.machine_list is not None:
            await self.machine_list.close()

    async def _seed_addresses(self) -> list[str]:
        seeds = list(self.settings.seeds)
        if self.machine_list is not None:
            machines = await self.machine_list.fetch_or_empty()
            seeds += [m.peer_address for m in machines if m.peer_address not in seeds]
        seeds += [address for address in self.known_peers.load() if address not in seeds]
        own = self.settings.advertise_peer
        return [seed for seed in seeds if seed != own]

    async def _first_contact(self, seeds: list[str]) -> int:
        """Take the tables of some seeds; return the newest incarnation known of this node."""
        probe = Exchange(self._unborn_member(), 0, 0)
        for seed in seeds[:10]:
            try:
                answer = await self.transport.call_for(
                    seed, probe, ExchangeAnswer, FIRST_CONTACT_TIMEOUT
                )
            except PeerError:
                continue
            self.digest.learn(answer.entries)
        known = self.digest.member(self.settings.name)
        return known.incarnation if known else 0

    def _unborn_member(self) -> Member:
        settings = self.settings
        return Member(settings.name, settings.region, settings.zone, "", "", 0, 0)

    def _register_handlers(self) -> None:
        self._local_handlers = self.replicas.handlers()
        for message_type, handler in self._local_handlers.items():
            self.transport.handle(message_type, handler)
        self.transport.handle(FetchSnapshot, self._on_fetch_snapshot)

    # --- calls and news

    async def call_identity(self, identity: str, message: Message, timeout: float) -> AnyMessage:
        """Call one run of a node; raises PeerError, also when that run is known to have ended."""
        if identity == self.identity:
            return await self._local_handlers[type(message)](self.settings.name, message)  # type: ignore[arg-type]
        name, _, incarnation = identity.rpartition("@")
        member = self.digest.member(name)
        if member is None or str(member.incarnation) != incarnation:
            raise PeerUnreachable(identity)
        return await self.transport.call(member.peer_address, message, timeout)

    def learn_replica_set(self, replica_set: ReplicaSet) -> None:
        """Take a slot's newer replica set and start it here if it is a founded one."""
        self.digest.learn_replica_set(replica_set)
        self.replicas.adopt(replica_set)

    def adopt_known_sets(self) -> None:
        """Start founded sets that arrived by digest."""
        for replica_set in self.digest.slots.all():
            self.replicas.adopt(replica_set)

    def update_own(self, status: int | None = None, revision: int | None = None) -> None:
        """Change what the others are told of this node."""
        self.own = msgspec.structs.replace(
            self.own,
            sequence=self.own.sequence + 1,
            status=self.own.status if status is None else status,
            revision=self.own.revision if revision is None else revision,
        )
        self.digest.learn_member(self.own)

    def _refute_death(self, _change: Member | BackEndReport) -> None:
        """Answer news of this process's own death with a higher sequence."""
        known = self.digest.member(self.settings.name)
        if known is None or known == self.own:
            return
        if known.incarnation == self.incarnation and known.sequence >= self.own.sequence:
            self.own = msgspec.structs.replace(self.own, sequence=known.sequence)
            self.update_own()

    def may_send_work(self) -> bool:
        """Whether this node may send new work to a back end now. Ask directly before sending."""
        return self.stall_guard.is_fresh() and self.lease.is_held()

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.own.status == MemberStatus.LEAVING

    # --- records

    def locate(self, key: str, dated: int = UNDATED) -> RecordKey:
        """Where the record `key` lives."""
        return RecordKey(slot_of(key, self.settings.record_slots), key, dated)

    @staticmethod
    def configuration_key(key: str) -> RecordKey:
        """Where the region's configuration records live."""
        return RecordKey(CONFIGURATION_SLOT, key, UNDATED)

    # --- configuration

    async def publish_snapshot(self, stored: StoredSnapshot) -> None:
        """Make a revision the region's newest: its content first, then the register.

        Raises:
            RecordError: no majority; try again.
        """
        encoded = msgspec.msgpack.encode(stored)
        content_key = self.configuration_key(CONFIGURATION_CONTENT_KEY)
        await self.proposer.change(content_key, lambda standing: _newer_snapshot(standing, encoded))
        revision = stored.pointer.revision
        register = self.configuration_key(CONFIGURATION_KEY)
        await self.proposer.change(register, lambda standing: _newer_revision(standing, revision))

    async def read_register(self) -> int:
        """The newest revision of the region, as a majority holds it; 0 before the first."""
        value = await self.proposer.read(self.configuration_key(CONFIGURATION_KEY))
        return msgspec.msgpack.decode(value, type=int) if value else 0

    async def _on_fetch_snapshot(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, FetchSnapshot)
        stored = self.lease.stored
        if stored is None or stored.pointer.revision < message.revision:
            return SnapshotAnswer(None)
        return SnapshotAnswer(msgspec.msgpack.encode(stored))

    async def _follow_snapshot(self) -> None:
        """Fetch the snapshot that the register names whenever this node lacks it."""
        pause = self.settings.timing.heartbeat_interval / 4
        while True:
            missing = max(self.lease.missing_revision() or 0, self._announced_revision)
            if missing > self.lease.snapshot.revision:
                await self._fetch_snapshot(missing)
            self._announced.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await self._announced.wait()

    def announce_revision(self, revision: int) -> None:
        """A peer says that the register names this revision: fetch it without waiting."""
        if revision > self._announced_revision:
            self._announced_revision = revision
            self._announced.set()

    async def _fetch_snapshot(self, revision: int) -> None:
        relays = [m for m in self.membership.order.relays() if m.name != self.settings.name]
        for relay in relays:
            try:
                answer = await self.transport.call_for(
                    relay.peer_address,
                    FetchSnapshot(revision),
                    SnapshotAnswer,
                    self.settings.timing.peer_timeout,
                )
            except PeerError:
                continue
            if answer.content is not None:
                self.lease.install(msgspec.msgpack.decode(answer.content, type=StoredSnapshot))
                return
        await self._read_snapshot_record()

    async def _read_snapshot_record(self) -> None:
        try:
            value = await self.proposer.read(self.configuration_key(CONFIGURATION_CONTENT_KEY))
        except RecordError:
            return
        if value is not None:
            self.lease.install(msgspec.msgpack.decode(value, type=StoredSnapshot))


def _newer_snapshot(standing: bytes | None, encoded: bytes) -> bytes | None:
    if standing is None:
        return encoded
    old = msgspec.msgpack.decode(standing, type=StoredSnapshot)
    new = msgspec.msgpack.decode(encoded, type=StoredSnapshot)
    return encoded if new.pointer.revision > old.pointer.revision else None


def _newer_revision(standing: bytes | None, revision: int) -> bytes | None:
    held = msgspec.msgpack.decode(standing, type=int) if standing else 0
    return msgspec.msgpack.encode(revision) if revision > held else None
