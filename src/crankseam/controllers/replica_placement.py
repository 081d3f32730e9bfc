"""When is a slot's replica set moved, and by which of its members?

Inputs: the living members of the region and their ranks (as old as the last heartbeat; `slots`
names the best set), the sets of which this node is a replica, and since when each was not the best;
seconds of the steady clock.
Rule: a set that has not been the best one for `timing.replica_move_delay` is moved by its living
replica of lowest rank, after each further delay by the next one; a leaving node moves its own at
once. A node makes one move at a time, and completes moves that were left half done.
Protects: each slot keeps replicas on living nodes in distinct zones, with no more traffic of moving
than one slot a node.
Shown by: `slot moved`, `slot not moved`, `slot overtaken`, `slot_moves`. Held by:
tests/controllers/test_replica_placement.py, tests/cluster/test_membership.py,
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

LOOKS_PER_DELAY = 4
"""Looks at the slots in one `timing.replica_move_delay`. Origin not recorded."""
FINISH_DELAY_FACTOR = 2.0
"""Delays after which a sealed set is taken for a move that its maker left half done. Origin not
recorded."""


def move_patience(delay: float, position: int, is_leaving: bool) -> float:
    """Seconds for which a set must not have been the best one before this node moves it.

    Parameters
    ==========

    delay : `timing.replica_move_delay` in seconds.
    position : how many living replicas of the set come before this node by rank.
    """
    return 0.0 if is_leaving else delay * (1 + position)


class ReplicaPlacementController:
    """Moves slots of which this node is a replica."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._delay = agent.settings.timing.replica_move_delay
        self._reconfigurer = Reconfigurer(agent, agent.proposer, agent.digest.slots)
        self._unfit_since: dict[int, float] = {}
        self._sealed_since: dict[int, float] = {}
        self._random = random.Random(agent.identity)
        self._best: dict[int, list[str]] = {}
        self._best_as_of = -1
        self.moves = 0

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            await asyncio.sleep(self._delay / LOOKS_PER_DELAY * self._random.uniform(0.8, 1.2))
            await self.reconcile()

    async def reconcile(self) -> None:
        """Finish moves left half done, then move one slot whose set is not the best."""
        await self._finish_sealed()
        for slot in list(self._agent.replicas.slots.values()):
            if slot.sealed_by is None and self._is_due(slot.replica_set):
                await self._move(slot.replica_set)
                return

    def is_needed(self) -> bool:
        """Whether this node is still in a set that could do without it."""
        if len(self._agent.digest.alive_in_region(self._agent.settings.region)) == 0:
            return False
        identity = self._agent.identity
        return any(
            slot.sealed_by is None and identity in slot.replica_set.members
            for slot in self._agent.replicas.slots.values()
        )

    def _best_members(self, slot: int) -> list[str]:
        """Identities of the best replicas; kept until the living members change."""
        version = self._agent.digest.alive_version
        if version != self._best_as_of:
            self._best_as_of = version
            self._best = {}
        if slot not in self._best:
            region = self._agent.settings.region
            candidates = self._agent.digest.alive_in_region(region)
            self._best[slot] = desired_members(region, slot, candidates)
        return self._best[slot]

    def _is_due(self, replica_set: ReplicaSet) -> bool:
        best = self._best_members(replica_set.slot)
        if not best or best == sorted(replica_set.members):
            self._unfit_since.pop(replica_set.slot, None)
            return False
        since = self._unfit_since.setdefault(replica_set.slot, time.monotonic())
        position = self._position(replica_set)
        patience = move_patience(self._delay, position, self._agent.is_leaving)
        return time.monotonic() - since >= patience

    def _position(self, replica_set: ReplicaSet) -> int:
        """How many living replicas come before this node."""
        living = [name for name in replica_set.members if self._is_alive(name)]
        living.sort(key=lambda identity: rank(f"mover/{replica_set.slot}", identity))
        identity = self._agent.identity
        return living.index(identity) if identity in living else len(living)

    def _is_alive(self, identity: str) -> bool:
        member = self._agent.digest.member(identity.rpartition("@")[0])
        if member is None or member.identity != identity:
            return False
        return member.status != MemberStatus.DEAD

    async def _move(self, replica_set: ReplicaSet) -> None:
        try:
            moved = await self._reconfigurer.move(replica_set, self._best_members(replica_set.slot))
        except SlotMoved:
            self._end_overtaken(replica_set)
            return
        except RecordError as error:
            # Tried again at the next tick; the delay counts from now.
            self._unfit_since[replica_set.slot] = time.monotonic()
            log.info(
                "slot not moved", extra={"slot": replica_set.slot, "error": type(error).__name__}
            )
            return
        self.moves += 1
        self._unfit_since.pop(replica_set.slot, None)
        self._agent.learn_replica_set(moved)
        self._drop_if_not_member(moved)
        self._agent.membership.nudge()

    def _end_overtaken(self, replica_set: ReplicaSet) -> None:
        """Another moved the slot without reaching this replica; what is left to do comes later."""
        self._unfit_since.pop(replica_set.slot, None)
        newest = self._agent.digest.slots.get(replica_set.slot)
        if newest is None:
            return
        self._agent.replicas.end_epoch(newest)
        log.info("slot overtaken", extra={"slot": newest.slot, "epoch": newest.epoch})

    def _drop_if_not_member(self, replica_set: ReplicaSet) -> None:
        if self._agent.identity not in replica_set.members:
            self._agent.replicas.drop(replica_set.slot)

    async def _finish_sealed(self) -> None:
        """Complete moves whose maker may have died, and drop what was moved away."""
        sealed = self._agent.replicas.sealed()
        numbers = {old.slot for old, _agreed in sealed}
        self._sealed_since = {s: at for s, at in self._sealed_since.items() if s in numbers}
        for old, agreed in sealed:
            since = self._sealed_since.setdefault(old.slot, time.monotonic())
            if time.monotonic() - since < self._delay * FINISH_DELAY_FACTOR:
                continue
            try:
                await self._reconfigurer.finish(old, agreed)
            except RecordError:  # tried again after the delay
                self._sealed_since[old.slot] = time.monotonic()
                continue
            self._agent.learn_replica_set(agreed)
            self._drop_if_not_member(agreed)
