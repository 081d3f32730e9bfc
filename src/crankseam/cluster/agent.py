"""Starts and stops what a node does together with others, and gives the rest of the node its parts.

Owns the order in which they are made: first contact, incarnation, records, listening, membership.
Relies on the peer transport and the key-value client it is given. The rules are elsewhere: who is
alive in `liveness`, who does shared work in `zone_order`, what may be served in
`configuration_lease`, whether the view is fresh in `stall_guard`.
"""

from __future__ import annotations

from crankseam import clocks
from crankseam.clients.key_value import KeyValueClient
from crankseam.clients.machine_list import MachineListClient
from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.cluster.configuration_register import ConfigurationRegister
from crankseam.cluster.digest import DigestTable
from crankseam.cluster.known_peers import KnownPeers
from crankseam.cluster.local_member import LocalMember
from crankseam.cluster.membership import MembershipController
from crankseam.cluster.parts import ClusterParts
from crankseam.cluster.snapshot_follower import SnapshotFollower
from crankseam.cluster.stall_guard import StallGuard
from crankseam.cluster.zone_order import ZoneOrder
from crankseam.errors import PeerError, PeerUnreachable
from crankseam.peers.messages import (
    AnyMessage,
    Exchange,
    ExchangeAnswer,
    Member,
    Message,
    ReplicaSet,
)
from crankseam.peers.transport import PeerTransport
from crankseam.records.proposer import Proposer, RecordKey
from crankseam.records.replica import UNDATED, ReplicaStore
from crankseam.records.slots import slot_of
from crankseam.settings import NodeSettings
from crankseam.tasks import TaskGroupOwner

FIRST_CONTACT_TIMEOUT_S = 1.0
"""How long one seed may take to answer at the start. Origin not recorded."""
MAX_FIRST_CONTACTS = 10
"""Seeds that are asked at the start, so that many dead ones delay it by 10 s at most."""


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
        self.stall_guard = StallGuard(timing.longest_stall)
        self.identity = ""
        """`node@incarnation` of this process, once it has started."""
        self.local: LocalMember
        self.transport: PeerTransport
        self.replicas: ReplicaStore
        self.proposer: Proposer
        self.register: ConfigurationRegister
        self.membership: MembershipController

    @property
    def own(self) -> Member:
        """What the others are told of this node."""
        return self.local.entry

    # --- start and stop

    async def start(self, transport: PeerTransport, caller_address: str) -> None:
        """Contact the seeds, choose an incarnation, listen and start the controllers."""
        self.transport = transport
        seeds = await self._seed_addresses()
        known = await self._first_contact(seeds)
        # Above every incarnation that peers remember, also where this machine's clock was set back.
        incarnation = max(clocks.wall_ms(), known + 1)
        self.identity = f"{self.settings.name}@{incarnation}"
        transport.incarnation = incarnation
        self._create_records()
        port = await transport.listen(self.settings.listen_host, self.settings.peer_port)
        entry = self._first_entry(incarnation, port, caller_address)
        self.local = LocalMember(entry, self.digest)
        self.lease.on_snapshot(lambda snapshot: self.local.update(revision=snapshot.revision))
        parts = self._build_parts()
        self.membership = MembershipController(parts, seeds)
        self._answer_record_messages()
        self.tasks.start(self.stall_guard.run(), "stall guard")
        self.tasks.start(self.membership.run(), "membership")
        self.tasks.start(parts.snapshots.run(), "snapshot")

    def _first_entry(self, incarnation: int, port: int, caller_address: str) -> Member:
        settings = self.settings
        return Member(
            name=settings.name,
            region=settings.region,
            zone=settings.zone,
            peer_address=settings.advertise_peer or f"{settings.listen_host}:{port}",
            caller_address=caller_address,
            incarnation=incarnation,
            sequence=1,
            caches_weights=settings.data_folder is not None,
        )

    def _build_parts(self) -> ClusterParts:
        order = ZoneOrder(self.settings, self.digest)
        snapshots = SnapshotFollower(
            self.settings, self.lease, self.register, order, self.transport
        )
        return ClusterParts(
            settings=self.settings,
            identity=self.identity,
            tasks=self.tasks,
            transport=self.transport,
            local=self.local,
            digest=self.digest,
            order=order,
            replicas=self.replicas,
            learn_replica_set=self.learn_replica_set,
            lease=self.lease,
            register=self.register,
            snapshots=snapshots,
            stall_guard=self.stall_guard,
        )

    def _create_records(self) -> None:
        self.replicas = ReplicaStore(self.identity, self.learn_replica_set)
        self.proposer = Proposer(
            self.identity, self, self.digest.slots, self.settings.timing.record_timeout
        )
        self.register = ConfigurationRegister(self.proposer)

    def _answer_record_messages(self) -> None:
        self._record_handlers = self.replicas.handlers()
        for message_type, handler in self._record_handlers.items():
            self.transport.handle(message_type, handler)

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
        probe = Exchange(self._entry_before_start(), 0, 0)
        for seed in seeds[:MAX_FIRST_CONTACTS]:
            try:
                answer = await self.transport.call_for(
                    seed, probe, ExchangeAnswer, FIRST_CONTACT_TIMEOUT_S
                )
            except PeerError:
                continue  # seeds may be old addresses; heartbeats go on asking them
            self.digest.learn(answer.entries)
        known = self.digest.member(self.settings.name)
        return known.incarnation if known else 0

    def _entry_before_start(self) -> Member:
        settings = self.settings
        return Member(settings.name, settings.region, settings.zone, "", "", 0, 0)

    # --- calls and news

    async def call_identity(self, identity: str, message: Message, timeout: float) -> AnyMessage:
        """Call one run of a node; raises PeerError, also when that run is known to have ended."""
        if identity == self.identity:
            return await self._record_handlers[type(message)](self.settings.name, message)  # type: ignore[arg-type]
        name, _, incarnation = identity.rpartition("@")
        member = self.digest.member(name)
        if member is None or str(member.incarnation) != incarnation:
            raise PeerUnreachable(identity)
        return await self.transport.call(member.peer_address, message, timeout)

    def learn_replica_set(self, replica_set: ReplicaSet) -> None:
        """Take a slot's newer replica set and start it here if it is a founded one."""
        self.digest.learn_replica_set(replica_set)
        self.replicas.adopt(replica_set)

    def may_send_work(self) -> bool:
        """Whether this node may send new work to a back end now. Ask directly before sending."""
        return self.stall_guard.is_fresh() and self.lease.is_held()

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.local.is_leaving

    # --- records

    def locate(self, key: str, dated: int = UNDATED) -> RecordKey:
        """Where the record `key` lives."""
        return RecordKey(slot_of(key, self.settings.record_slots), key, dated)
