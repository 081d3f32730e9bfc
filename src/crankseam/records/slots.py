"""Determines which slot a record belongs to and which nodes should be the replicas of a slot.

Inputs: the record's key, the number of slots (a setting, equal on all nodes), and the members of
the region that are alive according to the last heartbeat.
Rule: the slot of a key is the hash of the key modulo the number of slots. The replicas of a slot
are the first `REPLICAS_PER_SLOT` members by rendezvous rank, each in a different zone as long as
there are unused zones.
Purpose: the loss of a zone takes at most one replica of a slot (given enough zones), and a node
that joins or leaves moves only the slots for which it ranks among the first.
Logged as: no log event; `slots` in `crankseam status` shows the replica sets.
Tested by: tests/records/test_slots.py, tests/cluster/test_membership.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from crankseam.constants import REPLICAS_PER_SLOT
from crankseam.peers.messages import Member, ReplicaSet

RANK_CACHE_SIZE = 100_000
"""Number of ranks that are cached, to avoid hashing the same pair again."""
CONFIGURATION_SLOT = 0
"""Slot of the configuration records, independent of the hash of their keys."""
CONFIGURATION_KEY = "configuration"


def slot_of(key: str, slot_count: int) -> int:
    """Return the slot that stores the record with this key."""
    return xxhash.xxh64_intdigest(key.encode()) % slot_count


@lru_cache(maxsize=RANK_CACHE_SIZE)
def rank(purpose: str, name: str) -> int:
    """Return the rendezvous rank of a node for a purpose, such as a slot or a duty.

    The nodes with the lowest ranks are chosen.
    """
    return xxhash.xxh64_intdigest(f"{purpose}/{name}".encode())


def sort_by_rank(purpose: str, members: Iterable[Member]) -> list[Member]:
    """Return the members by rendezvous rank for `purpose`, the preferred one first."""
    return sorted(members, key=lambda member: rank(purpose, member.name))


def desired_members(region: str, slot: int, members: Iterable[Member]) -> list[str]:
    """Return the identities of the members that should be the replicas of a slot, sorted.

    Members are chosen by rendezvous rank, in distinct zones as long as there are unused zones.
    """
    candidates = sort_by_rank(f"{region}/{slot}", members)
    chosen: list[Member] = []
    zones: set[str] = set()
    for member in candidates:
        if member.zone not in zones:
            chosen.append(member)
            zones.add(member.zone)
    # With fewer zones than replicas, the next members by rank fill the remaining places.
    chosen += [member for member in candidates if member not in chosen]
    return sorted(member.identity for member in chosen[:REPLICAS_PER_SLOT])


def majority(replica_set: ReplicaSet) -> int:
    """Return the number of replicas that form a majority of the set."""
    return len(replica_set.members) // 2 + 1


class SlotTable:
    """The newest known replica set of each slot."""

    def __init__(self) -> None:
        self._sets: dict[int, ReplicaSet] = {}

    def update(self, replica_set: ReplicaSet) -> bool:
        """Store the set if its epoch is newer than the known one; return whether it was stored."""
        current = self._sets.get(replica_set.slot)
        if current is not None and current.epoch >= replica_set.epoch:
            return False
        self._sets[replica_set.slot] = replica_set
        return True

    def get(self, slot: int) -> ReplicaSet | None:
        """Return the newest known set of a slot, or None if none is known."""
        return self._sets.get(slot)

    def all(self) -> list[ReplicaSet]:
        """Return the newest known set of every slot."""
        return list(self._sets.values())
