"""Replica stores in one process, with injected message loss and delay."""

import asyncio

from crankseam.errors import PeerTimeout, PeerUnreachable
from crankseam.peers.messages import (
    AnyMessage,
    Message,
    ReplicaSet,
)
from crankseam.records.proposer import Proposer
from crankseam.records.reconfigurer import Reconfigurer
from crankseam.records.replica import ReplicaStore
from crankseam.records.slots import SlotTable

SLOT = 0


class MemoryCluster:
    """Replica stores by identity, and the simulated network between them.

    Tests replace three functions of (caller, target, message): `lose_request` and `lose_answer`
    return whether the request or the answer of a call is dropped, and `delay_s` returns how many
    seconds the request takes to arrive.
    """

    def __init__(self, identities: list[str]) -> None:
        self.stores: dict[str, ReplicaStore] = {}
        self.lose_request = lambda caller, target, message: False
        self.lose_answer = lambda caller, target, message: False
        self.delay_s = lambda caller, target, message: 0.0
        for identity in identities:
            self.add(identity)

    def add(self, identity: str) -> ReplicaStore:
        store = ReplicaStore(identity, lambda replica_set: None)
        self.stores[identity] = store
        return store

    def found(self, members: list[str], floor: int = 0) -> ReplicaSet:
        """Create the first replica set of the slot, and have every store adopt it."""
        replica_set = ReplicaSet(SLOT, 1, sorted(members), floor, founded=True)
        for store in self.stores.values():
            store.start_founded_epoch(replica_set)
        return replica_set

    async def deliver(self, caller: str, target: str, message: Message) -> AnyMessage:
        if target not in self.stores:
            raise PeerUnreachable(target)
        if self.lose_request(caller, target, message):
            raise PeerTimeout(target)
        store = self.stores[target]
        await asyncio.sleep(self.delay_s(caller, target, message))
        answer = await store.handlers()[type(message)](caller, message)  # type: ignore[arg-type]
        if self.lose_answer(caller, target, message):
            raise PeerTimeout(target)
        return answer

    def client(self, name: str, replica_set: ReplicaSet) -> "MemoryClient":
        return MemoryClient(self, name, replica_set)


class MemoryClient:
    """A proposer and a reconfigurer that share one slot table and call a `MemoryCluster`."""

    def __init__(self, cluster: MemoryCluster, name: str, replica_set: ReplicaSet) -> None:
        self._cluster = cluster
        self.name = name
        self.slots = SlotTable()
        self.slots.update(replica_set)
        self.proposer = Proposer(name, self, self.slots, timeout=1.0)
        self.reconfigurer = Reconfigurer(self, self.proposer, self.slots)

    async def call_identity(self, identity: str, message: Message, timeout: float) -> AnyMessage:
        return await self._cluster.deliver(self.name, identity, message)
