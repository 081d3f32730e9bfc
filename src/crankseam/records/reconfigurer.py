"""Moves a slot to a new replica set, with its state, without the key-value service.

Owns no state: a move that its maker left half done is completed by whoever calls `finish`.
The next set is itself agreed by a majority of the old one, in a register of the slot. Then a
majority of the old set is sealed (it refuses all further operations of the epoch) and hands over
its registers; the merged state is installed on a majority of the new set before it serves.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from crankseam.errors import NoQuorum, PeerError
from crankseam.peers.messages import (
    AnyMessage,
    Done,
    Install,
    Message,
    Promise,
    ReadRecord,
    ReplicaSet,
    Seal,
    SlotState,
    StoredRecord,
)
from crankseam.records import replica
from crankseam.records.proposer import Proposer, RecordKey, ReplicaTransport
from crankseam.records.replica import UNDATED
from crankseam.records.slots import SlotTable, majority

log = logging.getLogger(__name__)

NEXT_SET_KEY = "next-replica-set"
HANDOVER_TIMEOUT_S = 5.0
"""For one page of a slot's state, about 2 MB. Origin not recorded."""


class Reconfigurer:
    """Carries out epoch changes."""

    def __init__(self, caller: ReplicaTransport, proposer: Proposer, slots: SlotTable) -> None:
        self._caller = caller
        self._proposer = proposer
        self._slots = slots

    async def move(self, current: ReplicaSet, members: list[str]) -> ReplicaSet:
        """Move a slot from `current` to `members`; return the set that was agreed.

        Raises:
            NoQuorum: too few replicas of the old or new set answered; it can be tried again.
            SlotMoved: the slot has a newer set than `current`.
        """
        agreed = await self._agree(current, members)
        state = await self._seal(current, agreed)
        await self._install(agreed, state)
        self._slots.learn(agreed)
        log.info("slot moved", extra={"slot": agreed.slot, "epoch": agreed.epoch})
        return agreed

    async def finish(self, old: ReplicaSet, agreed: ReplicaSet) -> None:
        """Complete a move that its maker may have left half done; harmless if it is complete."""
        serving = await self._serving(agreed)
        if len(serving) < majority(agreed):
            state = await self._seal(old, agreed)
            await self._install(agreed, state)
        elif len(serving) < len(agreed.members):
            await self._bring_in(old, agreed, serving)

    async def _serving(self, replica_set: ReplicaSet) -> list[str]:
        """Members that serve the set's epoch."""
        probe = ReadRecord(replica_set.slot, replica_set.epoch, NEXT_SET_KEY)
        answers = await asyncio.gather(*(self._ask(m, probe) for m in replica_set.members))
        pairs = zip(replica_set.members, answers, strict=True)
        return [member for member, answer in pairs if isinstance(answer, Promise)]

    async def _bring_in(self, old: ReplicaSet, agreed: ReplicaSet, serving: list[str]) -> None:
        """Install on the members that lag what one serving member holds.

        It is as if they had received the same installation and the same Accepts as that member.
        Until then they had no vote, so that no majority hangs on what they lack.
        """
        state = await self._read_state(serving[0], old, agreed)
        if state is None:
            return  # the caller finishes again later
        pages = split_pages(without_moves(state))
        lagging = [member for member in agreed.members if member not in serving]
        await asyncio.gather(*(self._send_pages(m, agreed, pages) for m in lagging))

    async def _agree(self, current: ReplicaSet, members: list[str]) -> ReplicaSet:
        proposed = ReplicaSet(current.slot, current.epoch + 1, members, current.floor)
        where = RecordKey(current.slot, f"{NEXT_SET_KEY}/{current.epoch}", UNDATED)
        encoded = msgspec.msgpack.encode(proposed)
        # By the old set alone: a majority of a newer set would agree on a second set of this epoch.
        value = await self._proposer.change_in_set(
            current, where, lambda standing: standing or encoded
        )
        assert value is not None
        return msgspec.msgpack.decode(value, type=ReplicaSet)

    async def _seal(self, current: ReplicaSet, agreed: ReplicaSet) -> SlotState:
        """Seal a majority of the old set and merge what its members hold."""
        reads = [self._read_state(member, current, agreed) for member in current.members]
        answers = await asyncio.gather(*reads)
        states = [answer for answer in answers if answer is not None]
        if len(states) < majority(current):
            raise NoQuorum(f"sealed {len(states)} replicas of slot {current.slot}")
        return merge_states(states)

    async def _read_state(
        self, member: str, current: ReplicaSet, agreed: ReplicaSet
    ) -> SlotState | None:
        """All pages of one member's state; None if it could not be read whole."""
        records: list[StoredRecord] = []
        after = ""
        while True:
            message = Seal(current.slot, current.epoch, agreed, after)
            page = await self._ask(member, message)
            if not isinstance(page, SlotState):
                return None
            records += page.records
            if page.is_last:
                return SlotState(records, page.forgotten)
            after = page.records[-1].key

    async def _install(self, agreed: ReplicaSet, state: SlotState) -> None:
        pages = split_pages(state)
        answers = await asyncio.gather(
            *(self._send_pages(m, agreed, pages) for m in agreed.members)
        )
        if sum(answers) < majority(agreed):
            raise NoQuorum(f"installed {sum(answers)} replicas of slot {agreed.slot}")

    async def _send_pages(self, member: str, agreed: ReplicaSet, pages: list[SlotState]) -> bool:
        for page in pages:
            answer = await self._ask(member, Install(agreed, page))
            if not isinstance(answer, Done):
                return False
        return True

    async def _ask(self, member: str, message: Message) -> AnyMessage | None:
        """A member's answer, or None if it gave none."""
        try:
            return await self._caller.call_identity(member, message, HANDOVER_TIMEOUT_S)
        except PeerError:
            return None  # a member that gives no answer is one that does not count


def split_pages(state: SlotState) -> list[SlotState]:
    """The state in pages; the last one is marked so."""
    pages = [SlotState([], state.forgotten, is_last=False)]
    size = 0
    for record in state.records:
        if size >= replica.PAGE_BYTES:
            pages.append(SlotState([], state.forgotten, is_last=False))
            size = 0
        pages[-1].records.append(record)
        size += len(record.key) + len(record.value) + replica.RECORD_OVERHEAD_BYTES
    pages[-1].is_last = True
    return pages


def merge_states(states: list[SlotState]) -> SlotState:
    """For each register the value accepted at the highest ballot, so every agreed value."""
    merged: dict[str, StoredRecord] = {}
    for state in states:
        for record in state.records:
            standing = merged.get(record.key)
            if standing is None or standing.accepted < record.accepted:
                merged[record.key] = record
    forgotten = max(state.forgotten for state in states)
    return without_moves(SlotState(list(merged.values()), forgotten))


def without_moves(state: SlotState) -> SlotState:
    """The state without the registers of its epoch's own move."""
    kept = [record for record in state.records if not record.key.startswith(NEXT_SET_KEY)]
    return SlotState(kept, state.forgotten)
