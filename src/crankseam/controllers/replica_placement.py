"""Decides when the replica set of a slot is moved, and which of its members moves it.

Inputs: the alive members of the region and their ranks (as old as the last heartbeat; `slots`
computes the desired set from them), the sets of which this node is a replica, and the time since
which each of them has differed from the desired one, in seconds of the monotonic clock.
Rule: a set that has differed from the desired one for `timing.replica_move_delay` is moved by its
live replica of lowest rank; each further live replica in rank order waits one more delay. A leaving
node at once moves the sets of which it is a replica. A node makes one move at a time, and it
completes interrupted moves.
Purpose: each slot keeps its replicas on live nodes in distinct zones, and moves cause no more
traffic than one slot per node at a time.
Logged as: `slot moved`, `slot not moved`, `slot overtaken`; `crankseam status` shows `slot_moves`.
Tested by: tests/controllers/test_replica_placement.py, tests/cluster/test_membership.py,
tests/test_node_machine.py.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time

from crankseam.cluster.agent import ClusterAgent
from crankseam.cluster.digest import MemberStatus
from crankseam.errors import RecordError, SlotMoved
from crankseam.peers.messages import ReplicaSet
from crankseam.records.reconfigurer import Reconfigurer
from crankseam.records.slots import desired_members, rank

log = logging.getLogger(__name__)

CHECKS_PER_MOVE_DELAY = 4
"""Number of checks of the slots during one `timing.replica_move_delay`."""
INTERRUPTED_MOVE_DELAY_FACTOR = 2.0
"""A set that has been sealed for this many delays counts as an interrupted move."""


def required_wait_s(delay: float, position: int, is_leaving: bool) -> float:
    """Return the seconds for which a set must differ from the desired one before it is moved.

    Parameters
    ==========

    delay : `timing.replica_move_delay` in seconds.
    position : number of live replicas of the set with a lower rank than this node.
    is_leaving : whether this node is leaving.
    """
    return 0.0 if is_leaving else delay * (1 + position)


class ReplicaPlacementController:
    """Moves slots of which this node is a replica to their desired replica sets."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._move_delay = agent.settings.timing.replica_move_delay
        self._reconfigurer = Reconfigurer(agent, agent.proposer, agent.digest.slots)
        self._misplaced_since: dict[int, float] = {}
        self._sealed_since: dict[int, float] = {}
        self._random = random.Random(agent.identity)
        self._desired_cache: dict[int, list[str]] = {}
        self._desired_cache_version = -1
        self.moves = 0

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            await asyncio.sleep(
                self._move_delay / CHECKS_PER_MOVE_DELAY * self._random.uniform(0.8, 1.2)
            )
            await self.reconcile()

    async def reconcile(self) -> None:
        """Complete interrupted moves, then move at most one slot that is due."""
        await self._finish_interrupted_moves()
        for slot in list(self._agent.replicas.slots.values()):
            if slot.sealed_by is None and self._is_move_due(slot.replica_set):
                await self._move(slot.replica_set)
                return

    def holds_unsealed_slots(self) -> bool:
        """Whether this node still has an unsealed slot while its region has alive members."""
        if len(self._agent.digest.alive_in_region(self._agent.settings.region)) == 0:
            return False
        identity = self._agent.identity
        return any(
            slot.sealed_by is None and identity in slot.replica_set.members
            for slot in self._agent.replicas.slots.values()
        )

    def _desired_members(self, slot: int) -> list[str]:
        """Return the identities of the desired replicas, cached until the alive members change."""
        version = self._agent.digest.alive_version
        if version != self._desired_cache_version:
            self._desired_cache_version = version
            self._desired_cache = {}
        if slot not in self._desired_cache:
            region = self._agent.settings.region
            candidates = self._agent.digest.alive_in_region(region)
            self._desired_cache[slot] = desired_members(region, slot, candidates)
        return self._desired_cache[slot]

    def _is_move_due(self, replica_set: ReplicaSet) -> bool:
        desired = self._desired_members(replica_set.slot)
        if not desired or desired == sorted(replica_set.members):
            self._misplaced_since.pop(replica_set.slot, None)
            return False
        since = self._misplaced_since.setdefault(replica_set.slot, time.monotonic())
        position = self._live_replicas_ahead(replica_set)
        wait_s = required_wait_s(self._move_delay, position, self._agent.is_leaving)
        return time.monotonic() - since >= wait_s

    def _live_replicas_ahead(self, replica_set: ReplicaSet) -> int:
        """Return the number of live replicas that have a lower rank than this node."""
        live_members = [name for name in replica_set.members if self._is_alive(name)]
        live_members.sort(key=lambda identity: rank(f"mover/{replica_set.slot}", identity))
        identity = self._agent.identity
        return live_members.index(identity) if identity in live_members else len(live_members)

    def _is_alive(self, identity: str) -> bool:
        member = self._agent.digest.member(identity.rpartition("@")[0])
        if member is None or member.identity != identity:
            return False
        return member.status != MemberStatus.DEAD

    async def _move(self, replica_set: ReplicaSet) -> None:
        try:
            moved = await self._reconfigurer.move(
                replica_set, self._desired_members(replica_set.slot)
            )
        except SlotMoved:
            self._end_superseded_epoch(replica_set)
            return
        except RecordError as error:
            # Restart the delay, after which the move is tried again.
            self._misplaced_since[replica_set.slot] = time.monotonic()
            log.info(
                "slot not moved", extra={"slot": replica_set.slot, "error": type(error).__name__}
            )
            return
        self.moves += 1
        self._misplaced_since.pop(replica_set.slot, None)
        self._agent.merge_replica_set(moved)
        self._drop_if_not_member(moved)
        self._agent.membership.nudge()

    def _end_superseded_epoch(self, replica_set: ReplicaSet) -> None:
        """Seal the epoch of a slot that another node moved without reaching this replica.

        The move is then completed like any interrupted one.
        """
        self._misplaced_since.pop(replica_set.slot, None)
        newest = self._agent.digest.slots.get(replica_set.slot)
        if newest is None:
            return
        self._agent.replicas.seal_for_newer_set(newest)
        log.info("slot overtaken", extra={"slot": newest.slot, "epoch": newest.epoch})

    def _drop_if_not_member(self, replica_set: ReplicaSet) -> None:
        if self._agent.identity not in replica_set.members:
            self._agent.replicas.drop_sealed_slot(replica_set.slot)

    async def _finish_interrupted_moves(self) -> None:
        """Complete moves whose initiator may have died; drop slots that moved to other nodes."""
        sealed = self._agent.replicas.sealed_slots()
        sealed_slots = {old.slot for old, _agreed in sealed}
        self._sealed_since = {s: at for s, at in self._sealed_since.items() if s in sealed_slots}
        for old, agreed in sealed:
            since = self._sealed_since.setdefault(old.slot, time.monotonic())
            if time.monotonic() - since < self._move_delay * INTERRUPTED_MOVE_DELAY_FACTOR:
                continue
            try:
                await self._reconfigurer.finish(old, agreed)
            except RecordError:  # retried after the delay
                self._sealed_since[old.slot] = time.monotonic()
                continue
            self._agent.merge_replica_set(agreed)
            self._drop_if_not_member(agreed)
