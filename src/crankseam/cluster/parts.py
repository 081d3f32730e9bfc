"""What the tasks of one node's membership work on.

The agent makes these parts in order when it starts, and hands them to heartbeats, urgent news and
relay duties; none of those needs the agent itself.
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
from crankseam.tasks import TaskGroupOwner


@dataclass(frozen=True)
class ClusterParts:
    """Shared by the tasks of one node.

    Attributes
    ==========

    identity : `node@incarnation` of this process.
    learn_replica_set : takes a slot's newer replica set into the digest and starts it here.
    """

    settings: NodeSettings
    identity: str
    tasks: TaskGroupOwner
    transport: PeerTransport
    local: LocalMember
    digest: DigestTable
    order: ZoneOrder
    replicas: ReplicaStore
    learn_replica_set: Callable[[ReplicaSet], None]
    lease: ConfigurationLease
    register: ConfigurationRegister
    snapshots: SnapshotFollower
    stall_guard: StallGuard
