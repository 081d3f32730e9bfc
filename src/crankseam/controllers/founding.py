"""Creates the replica sets of a region's slots, and re-creates those that lost their majority.

Inputs: the replica sets and the incarnations of members that this node knows (as old as the last
heartbeat), the region's founding record in the key-value service, and, before a set is re-created,
the digest tables of all alive members of the region, which are requested for this purpose.
Rule: a region without a founding record gets one. A slot is re-created at a far higher epoch if so
many of its replicas have certainly ended that the others are no majority. A replica has certainly
ended if a newer incarnation of its node is known. A missing answer never counts as an end, since a
member that is paused or partitioned could still vote.
Purpose: a slot that lost its majority has lost its records. Its new set refuses ids that are dated
before the loss (the floor), so that no request that may have run is run again.
Logged as: `replica sets founded`, `founding with few nodes`.
Tested by: tests/controllers/test_founding.py, tests/cluster/test_membership.py.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.clients.key_value import Put, Unchanged
from crankseam.cluster.agent import ClusterAgent
from crankseam.constants import FOUNDING_PREFIX, REPLICAS_PER_SLOT
from crankseam.errors import KeyValueError
from crankseam.peers.messages import Exchange, ExchangeAnswer, Member, ReplicaSet
from crankseam.records.slots import desired_members, majority

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 1.0
"""Time between two checks of the slots: one heartbeat."""
INITIAL_DELAY_HEARTBEATS = 3.0
"""Heartbeat intervals before a new node checks the slots for the first time; by then it knows the
other members."""
RECREATED_EPOCH_STEP = 1000
"""Added to the last known epoch of a lost set; far more than the number of epochs by which the set
may have advanced without this node's knowledge."""
FLOOR_MARGIN_MS = 5_000
"""Ids may be dated by clocks that are ahead by up to this much."""
RETRY_BASE_S = 0.5
"""Upper bound of the first backoff after a failed call, which is added to `POLL_INTERVAL_S`."""
RETRY_CAP_S = 10.0
"""Upper bound of any backoff after a failed call."""


class FoundingRecord(msgspec.Struct):
    """The replica sets that were created for one region, as stored in the key-value service."""

    generation: int
    sets: list[ReplicaSet]


def has_lost_majority(
    replica_set: ReplicaSet, newest_incarnation: Callable[[str], int | None]
) -> bool:
    """Whether so many replicas have certainly ended that the others are no majority.

    Explanation
    ===========

    A replica has certainly ended if a newer incarnation of its node is known.

    Parameters
    ==========

    newest_incarnation : returns the newest known incarnation of a node by the node's name, or None
        if the node is not known.
    """

    def has_ended(identity: str) -> bool:
        name, _, incarnation = identity.rpartition("@")
        newest = newest_incarnation(name)
        return newest is not None and newest > int(incarnation)

    ended = sum(has_ended(identity) for identity in replica_set.members)
    return ended > len(replica_set.members) - majority(replica_set)


class FoundingController:
    """Ensures that every slot of the region has a replica set that has not lost its majority."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._key = f"{FOUNDING_PREFIX}{agent.settings.region}"
        self._initial_delay_s = agent.settings.timing.heartbeat_interval * INITIAL_DELAY_HEARTBEATS
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    async def run(self) -> None:
        """Reconcile until cancelled."""
        await asyncio.sleep(self._initial_delay_s)
        while True:
            try:
                await self._reconcile()
                self._backoff.reset()
                await asyncio.sleep(POLL_INTERVAL_S)
            except KeyValueError:
                await asyncio.sleep(POLL_INTERVAL_S + self._backoff.next_delay())

    async def _reconcile(self) -> None:
        unassigned = self._unassigned_slots()
        lost = self._lost_sets()
        if not unassigned and not lost:
            return
        held = await self._agent.key_value.get(self._key)
        if held is not None:
            record = msgspec.msgpack.decode(held.value, type=FoundingRecord)
            for replica_set in record.sets:
                self._agent.merge_replica_set(replica_set)
            lost = self._lost_sets()
            if not lost:
                return
        else:
            record = FoundingRecord(0, [])
        if not self._agent.membership.order.is_first_of_region():
            return
        if lost and not await self._is_confirmed_lost():
            return
        await self._write_replica_sets(record, held.mod_revision if held else 0, self._lost_sets())

    async def _is_confirmed_lost(self) -> bool:
        """Request the table of every alive member of the region and check the lost sets again.

        A slot that appears lost may have moved to a newer set that this node does not know yet. An
        unanswered request confirms nothing.
        """
        agent = self._agent
        members = agent.digest.alive_in_region(agent.settings.region)
        peers = [member for member in members if member.name != agent.settings.name]
        request = Exchange(agent.own, 0, 0)
        timeout = agent.settings.timing.peer_timeout

        async def fetch_table(member: Member) -> None:
            answer = await agent.transport.call_for(
                member.peer_address, request, ExchangeAnswer, timeout
            )
            agent.digest.merge(answer.entries)

        answers = await asyncio.gather(*(fetch_table(m) for m in peers), return_exceptions=True)
        all_answered = not any(isinstance(answer, BaseException) for answer in answers)
        return all_answered and bool(self._lost_sets())

    def _unassigned_slots(self) -> list[int]:
        known = self._agent.digest.slots
        return [s for s in range(self._agent.settings.record_slots) if known.get(s) is None]

    def _lost_sets(self) -> list[ReplicaSet]:
        sets = self._agent.digest.slots.all()
        return [
            replica_set
            for replica_set in sets
            if has_lost_majority(replica_set, self._newest_incarnation)
        ]

    def _newest_incarnation(self, name: str) -> int | None:
        member = self._agent.digest.member(name)
        return member.incarnation if member is not None else None

    async def _write_replica_sets(
        self, record: FoundingRecord, revision: int, lost: list[ReplicaSet]
    ) -> None:
        candidates = self._agent.digest.alive_in_region(self._agent.settings.region)
        if not record.sets and len(candidates) < REPLICAS_PER_SLOT:
            log.info("founding with few nodes", extra={"nodes": len(candidates)})
        sets = {replica_set.slot: replica_set for replica_set in record.sets}
        floor = clocks.wall_ms() + FLOOR_MARGIN_MS if record.sets else 0
        lost_epochs = {replica_set.slot: replica_set.epoch for replica_set in lost}
        for slot in range(self._agent.settings.record_slots):
            if slot in sets and slot not in lost_epochs:
                continue
            epoch = lost_epochs[slot] + RECREATED_EPOCH_STEP if slot in lost_epochs else 1
            members = desired_members(self._agent.settings.region, slot, candidates)
            sets[slot] = ReplicaSet(slot, epoch, members, floor, founded=True)
        new_record = FoundingRecord(record.generation + 1, list(sets.values()))
        written = await self._agent.key_value.transact(
            [Unchanged(self._key, revision)], [Put(self._key, msgspec.msgpack.encode(new_record))]
        )
        if written:
            log.warning(
                "replica sets founded",
                extra={"generation": new_record.generation, "lost": len(lost)},
            )
            for replica_set in new_record.sets:
                self._agent.merge_replica_set(replica_set)
            self._agent.membership.nudge()
