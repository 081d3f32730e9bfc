"""Keeps each slot's replicas on living nodes in distinct zones, moving few at a time."""

from __future__ import annotations

import asyncio
import logging
import random
import time

from crankseam.cluster.agent import ClusterAgent
from crankseam.cluster.digest import MemberStatus
from crankseam.errors import RecordError
from crankseam.peers.messages import ReplicaSet
from crankseam.records.reconfigurer import Reconfigurer
from crankseam.records.slots import desired_members, rank

log = logging.getLogger(__name__)

POLL_FRACTION = 0.25
FINISH_DELAY_FACTOR = 2.0


class ReplicaPlacementController:
    """Moves slots of which this node is a replica.

    Only the living replica of lowest rank starts a move; if it does not, the next one does after
    a further delay. One move runs at a time on a node, which throttles the traffic of moving.
    """

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._delay = agent.settings.timing.replica_move_delay
        self._reconfigurer = Reconfigurer(agent, agent.proposer, agent.digest.slots)
        self._unfit_since: dict[int, float] = {}
        self._sealed_since: dict[int, float] = {}
        self._random = random.Random(agent.identity)
        self._wishes: dict[int, list[str]] = {}
        self._wishes_for = -1
        self.moves = 0

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            await asyncio.sleep(self._delay * POLL_FRACTION * self._random.uniform(0.8, 1.2))
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

    def _wish(self, replica_set: ReplicaSet) -> list[str]:
        version = self._agent.digest.alive_version
        if version != self._wishes_for:
            self._wishes_for = version
            self._wishes = {}
        if replica_set.slot not in self._wishes:
            region = self._agent.settings.region
            candidates = self._agent.digest.alive_in_region(region)
            self._wishes[replica_set.slot] = desired_members(region, replica_set.slot, candidates)
        return self._wishes[replica_set.slot]

    def _is_due(self, replica_set: ReplicaSet) -> bool:
        wish = self._wish(replica_set)
        if not wish or wish == sorted(replica_set.members):
            self._unfit_since.pop(replica_set.slot, None)
            return False
        since = self._unfit_since.setdefault(replica_set.slot, time.monotonic())
        patience = self._delay * (1 + self._position(replica_set))
        if self._agent.is_leaving:
            patience = 0.0
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
            moved = await self._reconfigurer.move(replica_set, self._wish(replica_set))
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
            except RecordError:
                self._sealed_since[old.slot] = time.monotonic()
                continue
            self._agent.learn_replica_set(agreed)
            self._drop_if_not_member(agreed)
