"""When are a slot's first replicas chosen, and when is a slot given up and founded anew?

Inputs: the replica sets and the members' incarnations known here (as old as the last heartbeat),
the founding record of the region in the key-value service, and the tables of all living members,
asked for before anything is founded anew.
Rule: a region without a founding record gets one; a slot of which a majority has certainly ended,
each member followed by a later run, is founded anew at a far higher epoch. Silence never counts,
since a member that is paused or cut off could still vote.
Protects: a slot whose majority is gone has lost its records; its new set refuses ids dated before
the loss (the floor), so that no request that may have run is run again.
Shown by: `replica sets founded`, `founding with few nodes`. Held by:
tests/controllers/test_founding.py, tests/cluster/test_membership.py.
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

POLL_S = 1.0
"""Between two looks at the slots; one heartbeat. Origin not recorded."""
FIRST_LOOK_HEARTBEATS = 3.0
"""Heartbeats after which a new node looks for the first time: it has heard of the others by then.
Origin not recorded."""
REFOUNDED_EPOCH_STEP = 1000
"""Far above any epoch that the lost set may have reached unseen."""
FLOOR_MARGIN_MS = 5_000
"""Ids may be dated by clocks that run ahead by this much. Origin not recorded."""
RETRY_BASE_S = 0.5
"""Upper bound of the first pause, beside `POLL_S`, after a failed call. Origin not recorded."""
RETRY_CAP_S = 10.0
"""Upper bound of any such pause. Origin not recorded."""


class FoundingRecord(msgspec.Struct):
    """What the key-value service holds: the founded sets of one region."""

    generation: int
    sets: list[ReplicaSet]


def is_lost(replica_set: ReplicaSet, newest_incarnation: Callable[[str], int | None]) -> bool:
    """Whether a majority of the set has certainly ended: each was followed by a later run.

    Parameters
    ==========

    newest_incarnation : of a node by its name; None of one that is not known.
    """

    def has_ended(identity: str) -> bool:
        name, _, incarnation = identity.rpartition("@")
        newest = newest_incarnation(name)
        return newest is not None and newest > int(incarnation)

    ended = sum(has_ended(identity) for identity in replica_set.members)
    return ended > len(replica_set.members) - majority(replica_set)


class FoundingController:
    """Sees to it that every slot of the region has a replica set with a living majority."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._key = f"{FOUNDING_PREFIX}{agent.settings.region}"
        self._first_look_s = agent.settings.timing.heartbeat_interval * FIRST_LOOK_HEARTBEATS
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    async def run(self) -> None:
        """Reconcile until cancelled."""
        await asyncio.sleep(self._first_look_s)
        while True:
            try:
                await self._reconcile()
                self._backoff.reset()
                await asyncio.sleep(POLL_S)
            except KeyValueError:
                await asyncio.sleep(POLL_S + self._backoff.next_delay())

    async def _reconcile(self) -> None:
        unfounded = self._unfounded_slots()
        lost = self._lost_slots()
        if not unfounded and not lost:
            return
        held = await self._agent.key_value.get(self._key)
        if held is not None:
            record = msgspec.msgpack.decode(held.value, type=FoundingRecord)
            for replica_set in record.sets:
                self._agent.learn_replica_set(replica_set)
            lost = self._lost_slots()
            if not lost:
                return
        else:
            record = FoundingRecord(0, [])
        if not self._agent.membership.order.is_first_of_region():
            return
        if lost and not await self._is_confirmed_lost():
            return
        await self._found(record, held.mod_revision if held else 0, self._lost_slots())

    async def _is_confirmed_lost(self) -> bool:
        """Ask every living member of the region for its table: a slot that looks lost may have
        moved to a newer set that this node has not heard of."""
        agent = self._agent
        members = agent.digest.alive_in_region(agent.settings.region)
        others = [member for member in members if member.name != agent.settings.name]
        question = Exchange(agent.own, 0, 0)
        timeout = agent.settings.timing.peer_timeout

        async def ask(member: Member) -> None:
            answer = await agent.transport.call_for(
                member.peer_address, question, ExchangeAnswer, timeout
            )
            agent.digest.learn(answer.entries)

        answers = await asyncio.gather(*(ask(m) for m in others), return_exceptions=True)
        all_answered = not any(isinstance(answer, BaseException) for answer in answers)
        return all_answered and bool(self._lost_slots())

    def _unfounded_slots(self) -> list[int]:
        known = self._agent.digest.slots
        return [s for s in range(self._agent.settings.record_slots) if known.get(s) is None]

    def _lost_slots(self) -> list[ReplicaSet]:
        sets = self._agent.digest.slots.all()
        return [each for each in sets if is_lost(each, self._newest_incarnation)]

    def _newest_incarnation(self, name: str) -> int | None:
        member = self._agent.digest.member(name)
        return member.incarnation if member is not None else None

    async def _found(self, record: FoundingRecord, revision: int, lost: list[ReplicaSet]) -> None:
        candidates = self._agent.digest.alive_in_region(self._agent.settings.region)
        if not record.sets and len(candidates) < REPLICAS_PER_SLOT:
            log.info("founding with few nodes", extra={"nodes": len(candidates)})
        sets = {replica_set.slot: replica_set for replica_set in record.sets}
        floor = clocks.wall_ms() + FLOOR_MARGIN_MS if record.sets else 0
        lost_epochs = {replica_set.slot: replica_set.epoch for replica_set in lost}
        for slot in range(self._agent.settings.record_slots):
            if slot in sets and slot not in lost_epochs:
                continue
            epoch = lost_epochs[slot] + REFOUNDED_EPOCH_STEP if slot in lost_epochs else 1
            members = desired_members(self._agent.settings.region, slot, candidates)
            sets[slot] = ReplicaSet(slot, epoch, members, floor, founded=True)
        new = FoundingRecord(record.generation + 1, list(sets.values()))
        written = await self._agent.key_value.transact(
            [Unchanged(self._key, revision)], [Put(self._key, msgspec.msgpack.encode(new))]
        )
        if written:
            log.warning(
                "replica sets founded", extra={"generation": new.generation, "lost": len(lost)}
            )
            for replica_set in new.sets:
                self._agent.learn_replica_set(replica_set)
            self._agent.membership.nudge()
