"""Creates, starts and stops the cluster components of a node and gives access to them.

The agent determines the order of the start: it contacts the seeds, chooses the incarnation, creates
the records, listens for peers and starts the membership tasks. The peer transport and the key-value
client are passed in. The rules are in other modules: `liveness` decides which members are alive,
`zone_order` which node performs shared work, `configuration_lease` whether the node may serve, and
`stall_guard` whether its view of the cluster is fresh.
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
from crankseam.tasks import BackgroundTasks

SEED_TIMEOUT_S = 1.0
"""How long one seed may take to answer at the start."""
MAX_SEEDS_TRIED = 10
"""Number of seeds tried at the start, so that unreachable seeds delay it by at most 10 s."""


class ClusterAgent:
    """The membership, digest table, replicated records and configuration lease of one node."""

    def __init__(self, settings: NodeSettings, key_value: KeyValueClient) -> None:
        self.settings = settings
        self.key_value = key_value
        self.tasks = BackgroundTasks()
        self.digest = DigestTable(settings.region)
        timing = settings.timing
        self.lease = ConfigurationLease(timing.configuration_term, timing.clock_margin)
        self.machine_list = (
            MachineListClient(settings.machine_list) if settings.machine_list else None
        )
        self.known_peers = KnownPeers(settings.data_folder)
        self.stall_guard = StallGuard(timing.longest_stall)
        self.identity = ""
        """`node@incarnation` of this process; empty until it has started."""
        self.local: LocalMember
        self.transport: PeerTransport
        self.replicas: ReplicaStore
        self.proposer: Proposer
        self.register: ConfigurationRegister
        self.membership: MembershipController

    @property
    def own(self) -> Member:
        """The membership entry of this node, as sent to other nodes."""
        return self.local.entry

    # --- start and stop

    async def start(self, transport: PeerTransport, caller_address: str) -> None:
        """Contact the seeds, choose an incarnation, listen and start the controllers."""
        self.transport = transport
        seeds = await self._seed_addresses()
        last_incarnation = await self._learn_from_seeds(seeds)
        # Higher than any incarnation that peers know, even if this machine's clock was set back.
        incarnation = max(clocks.wall_ms(), last_incarnation + 1)
        self.identity = f"{self.settings.name}@{incarnation}"
        transport.incarnation = incarnation
        self._create_records()
        port = await transport.listen(self.settings.listen_host, self.settings.peer_port)
        entry = self._initial_entry(incarnation, port, caller_address)
        self.local = LocalMember(entry, self.digest)
        self.lease.on_snapshot(lambda snapshot: self.local.update(revision=snapshot.revision))
        parts = self._build_parts()
        self.membership = MembershipController(parts, seeds)
        self._register_record_handlers()
        self.tasks.start(self.stall_guard.run(), "stall guard")
        self.tasks.start(self.membership.run(), "membership")
        self.tasks.start(parts.snapshots.run(), "snapshot")

    def _initial_entry(self, incarnation: int, port: int, caller_address: str) -> Member:
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
            merge_replica_set=self.merge_replica_set,
            lease=self.lease,
            register=self.register,
            snapshots=snapshots,
            stall_guard=self.stall_guard,
        )

    def _create_records(self) -> None:
        self.replicas = ReplicaStore(self.identity, self.merge_replica_set)
        self.proposer = Proposer(
            self.identity, self, self.digest.slots, self.settings.timing.record_timeout
        )
        self.register = ConfigurationRegister(self.proposer)

    def _register_record_handlers(self) -> None:
        self._record_handlers = self.replicas.handlers()
        for message_type, handler in self._record_handlers.items():
            self.transport.handle(message_type, handler)

    async def close(self) -> None:
        """Stop all tasks and connections immediately; as after a crash, peers are not notified."""
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

    async def _learn_from_seeds(self, seeds: list[str]) -> int:
        """Merge the tables of some seeds; return this node's newest known incarnation, or 0."""
        probe = Exchange(self._provisional_entry(), 0, 0)
        for seed in seeds[:MAX_SEEDS_TRIED]:
            try:
                answer = await self.transport.call_for(seed, probe, ExchangeAnswer, SEED_TIMEOUT_S)
            except PeerError:
                continue  # the address may be outdated; the heartbeat loop contacts seeds again
            self.digest.merge(answer.entries)
        own_entry = self.digest.member(self.settings.name)
        return own_entry.incarnation if own_entry else 0

    def _provisional_entry(self) -> Member:
        settings = self.settings
        return Member(settings.name, settings.region, settings.zone, "", "", 0, 0)

    # --- calls, replica sets and permission to send work

    async def call_identity(self, identity: str, message: Message, timeout: float) -> AnyMessage:
        """Call the process with this identity (`node@incarnation`).

        Raises:
            PeerError: the call failed, or the digest table holds no such incarnation of the node.
        """
        if identity == self.identity:
            return await self._record_handlers[type(message)](self.settings.name, message)  # type: ignore[arg-type]
        name, _, incarnation = identity.rpartition("@")
        member = self.digest.member(name)
        if member is None or str(member.incarnation) != incarnation:
            raise PeerUnreachable(identity)
        return await self.transport.call(member.peer_address, message, timeout)

    def merge_replica_set(self, replica_set: ReplicaSet) -> None:
        """Store a slot's newer replica set in the digest table and pass it to the replica store.

        The replica store acts only on a founded set, which has no state to carry over.
        """
        self.digest.merge_replica_set(replica_set)
        self.replicas.start_founded_epoch(replica_set)

    def may_send_work(self) -> bool:
        """Whether this node may send new work to a back end now.

        Must be checked directly before each send, since the answer may change at any time.
        """
        return self.stall_guard.is_fresh() and self.lease.is_held()

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop of this node has begun."""
        return self.local.is_leaving

    # --- records

    def locate(self, key: str, dated: int = UNDATED) -> RecordKey:
        """The slot and key of a record.

        Args:
            dated: date of the record's identifier in milliseconds; `UNDATED` for records that are
                never dropped.
        """
        return RecordKey(slot_of(key, self.settings.record_slots), key, dated)
