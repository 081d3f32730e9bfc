"""The components that the membership tasks of one node share.

The agent creates them when it starts and passes them to the modules for heartbeats, urgent updates
and relay duties, so that none of these depends on the agent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.cluster.configuration_register import ConfigurationRegister
from crankseam.cluster.digest import DigestTable
from crankseam.cluster.local_member import LocalMember
from crankseam.cluster.snapshot_follower import SnapshotFollower
from crankseam.cluster.stall_guard import StallGuard
from crankseam.cluster.zone_order import ZoneOrder
from crankseam.peers.messages import ReplicaSet
from crankseam.peers.transport import PeerTransport
from crankseam.records.replica import ReplicaStore
from crankseam.settings import NodeSettings
from crankseam.tasks import BackgroundTasks


@dataclass(frozen=True)
class ClusterParts:
    """The components that the membership tasks of one node share.

    Attributes
    ==========

    identity : `node@incarnation` of this process.
    merge_replica_set : stores a slot's newer replica set in the digest table. If the set was
        founded (created without state to carry over), it also takes effect in the replica store.
    """

    settings: NodeSettings
    identity: str
    tasks: BackgroundTasks
    transport: PeerTransport
    local: LocalMember
    digest: DigestTable
    order: ZoneOrder
    replicas: ReplicaStore
    merge_replica_set: Callable[[ReplicaSet], None]
    lease: ConfigurationLease
    register: ConfigurationRegister
    snapshots: SnapshotFollower
    stall_guard: StallGuard
