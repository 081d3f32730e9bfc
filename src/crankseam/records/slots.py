"""Which slot does a record belong to, and which nodes should be a slot's replicas?

Inputs: the record's key, the number of slots (a setting, the same on all nodes), and the living
members of the region (as old as the last heartbeat).
Rule: a key's slot is its hash; a slot's replicas are the first members by rendezvous rank, each
from another zone while there are zones left, `REPLICAS_PER_SLOT` in all.
Protects: a zone's loss takes at most one replica of a slot, and a node's coming or going moves only
the slots that it is best for.
Shown by: `slots` in `crankseam status`. Held by: tests/records/test_slots.py,
tests/cluster/test_membership.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from crankseam.constants import REPLICAS_PER_SLOT
from crankseam.peers.messages import Member, ReplicaSet

RANKS_KEPT = 100_000
"""Ranks remembered, so that each is hashed once. Origin not recorded."""
CONFIGURATION_SLOT = 0
"""Slot of the configuration records, whatever their keys."""
CONFIGURATION_KEY = "configuration"


def slot_of(key: str, slot_count: int) -> int:
    """The slot of a record key."""
    return xxhash.xxh64_intdigest(key.encode()) % slot_count


@lru_cache(maxsize=RANKS_KEPT)
def rank(slot_or_duty: str, name: str) -> int:
    """Rendezvous rank of a node for something: the lowest ranks are chosen."""
    return xxhash.xxh64_intdigest(f"{slot_or_duty}/{name}".encode())


def ranked(purpose: str, members: Iterable[Member]) -> list[Member]:
    """Members in the order in which they are chosen for `purpose`."""
    return sorted(members, key=lambda member: rank(purpose, member.name))


def desired_members(region: str, slot: int, members: Iterable[Member]) -> list[str]:
    """Identities of the best replicas: by rendezvous rank, zones distinct while they last."""
    order = ranked(f"{region}/{slot}", members)
    chosen: list[Member] = []
    zones: set[str] = set()
    for member in order:
        if member.zone not in zones:
            chosen.append(member)
            zones.add(member.zone)
    # With fewer zones than replicas, fill up with the next in rank.
    chosen += [member for member in order if member not in chosen]
    return sorted(member.identity for member in chosen[:REPLICAS_PER_SLOT])


def majority(replica_set: ReplicaSet) -> int:
    """How many replicas make a majority."""
    return len(replica_set.members) // 2 + 1


class SlotTable:
    """The newest replica set known for each slot of each region, keyed by slot."""

    def __init__(self) -> None:
        self._sets: dict[int, ReplicaSet] = {}

    def learn(self, replica_set: ReplicaSet) -> bool:
        """Keep the set if its epoch is newer; return whether it was."""
        current = self._sets.get(replica_set.slot)
        if current is not None and current.epoch >= replica_set.epoch:
            return False
        self._sets[replica_set.slot] = replica_set
        return True

    def get(self, slot: int) -> ReplicaSet | None:
        """The newest set known for a slot."""
        return self._sets.get(slot)

    def all(self) -> list[ReplicaSet]:
        """All newest sets."""
        return list(self._sets.values())
