"""Moves a slot with its state to a new replica set, without the key-value service.

Owns no state: any node can complete a move that another node left incomplete, by calling `finish`.
The next set is agreed by a majority of the old set in a register of the slot. Then a majority of
the old set is sealed, which means that its members refuse all further operations of the epoch, and
returns its registers. The merged state is installed on a majority of the new set before that set
serves.
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
STATE_TRANSFER_TIMEOUT_S = 5.0
"""Time-out of one call that transfers a page of a slot's state, about 2 MB."""


class Reconfigurer:
    """Moves slots to new replica sets, each in a new epoch."""

    def __init__(self, transport: ReplicaTransport, proposer: Proposer, slots: SlotTable) -> None:
        self._transport = transport
        self._proposer = proposer
        self._slots = slots

    async def move(self, current: ReplicaSet, members: list[str]) -> ReplicaSet:
        """Move a slot from `current` to `members`; return the agreed next set.

        The agreed set may have other members if another node proposed a move first.

        Raises:
            NoQuorum: too few replicas of the old or new set answered; the move can be repeated.
            SlotMoved: the slot has a newer set than `current`.
        """
        agreed = await self._agree_next_set(current, members)
        state = await self._seal(current, agreed)
        await self._install(agreed, state)
        self._slots.update(agreed)
        log.info("slot moved", extra={"slot": agreed.slot, "epoch": agreed.epoch})
        return agreed

    async def finish(self, old: ReplicaSet, agreed: ReplicaSet) -> None:
        """Complete a move that another node may have left incomplete.

        Changes nothing if the move is complete.
        """
        serving = await self._find_serving_members(agreed)
        if len(serving) < majority(agreed):
            state = await self._seal(old, agreed)
            await self._install(agreed, state)
        elif len(serving) < len(agreed.members):
            await self._install_lagging_members(old, agreed, serving)

    async def _find_serving_members(self, replica_set: ReplicaSet) -> list[str]:
        """Return the members that serve the set's epoch."""
        probe = ReadRecord(replica_set.slot, replica_set.epoch, NEXT_SET_KEY)
        answers = await asyncio.gather(*(self._call(m, probe) for m in replica_set.members))
        pairs = zip(replica_set.members, answers, strict=True)
        return [member for member, answer in pairs if isinstance(answer, Promise)]

    async def _install_lagging_members(
        self, old: ReplicaSet, agreed: ReplicaSet, serving: list[str]
    ) -> None:
        """Install the state of one serving member on the members that do not serve yet.

        The effect is the same as if they had received the same Install and Accept messages as that
        member. They had no vote before, so no majority depends on values that they lack.
        """
        state = await self._read_state(serving[0], old, agreed)
        if state is None:
            return  # the caller calls `finish` again later
        pages = split_pages(without_next_set_registers(state))
        lagging = [member for member in agreed.members if member not in serving]
        await asyncio.gather(*(self._send_pages(m, agreed, pages) for m in lagging))

    async def _agree_next_set(self, current: ReplicaSet, members: list[str]) -> ReplicaSet:
        proposed = ReplicaSet(current.slot, current.epoch + 1, members, current.floor)
        record = RecordKey(current.slot, f"{NEXT_SET_KEY}/{current.epoch}", UNDATED)
        encoded = msgspec.msgpack.encode(proposed)
        # Only the old set may agree on the next one: a majority of a newer set could agree on a
        # second set for the same epoch.
        value = await self._proposer.change_in_set(
            current, record, lambda existing: existing or encoded
        )
        assert value is not None
        return msgspec.msgpack.decode(value, type=ReplicaSet)

    async def _seal(self, current: ReplicaSet, agreed: ReplicaSet) -> SlotState:
        """Seal a majority of the old set and return the merged state of the sealed members."""
        reads = [self._read_state(member, current, agreed) for member in current.members]
        answers = await asyncio.gather(*reads)
        states = [answer for answer in answers if answer is not None]
        if len(states) < majority(current):
            raise NoQuorum(f"sealed {len(states)} replicas of slot {current.slot}")
        return merge_states(states)

    async def _read_state(
        self, member: str, current: ReplicaSet, agreed: ReplicaSet
    ) -> SlotState | None:
        """Seal one member and return its whole state, or None if a page could not be read."""
        records: list[StoredRecord] = []
        after = ""
        while True:
            message = Seal(current.slot, current.epoch, agreed, after)
            page = await self._call(member, message)
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
            answer = await self._call(member, Install(agreed, page))
            if not isinstance(answer, Done):
                return False
        return True

    async def _call(self, member: str, message: Message) -> AnyMessage | None:
        """Return a member's answer, or None if the call failed."""
        try:
            return await self._transport.call_identity(member, message, STATE_TRANSFER_TIMEOUT_S)
        except PeerError:
            return None  # a member without an answer does not count towards a majority


def split_pages(state: SlotState) -> list[SlotState]:
    """Split a state into pages of about `replica.PAGE_BYTES`; the last one has `is_last` set."""
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
    """Merge the states of a majority, keeping for each register the value of the highest ballot.

    The result contains every agreed value, since each majority holds it.
    """
    merged: dict[str, StoredRecord] = {}
    for state in states:
        for record in state.records:
            existing = merged.get(record.key)
            if existing is None or existing.accepted < record.accepted:
                merged[record.key] = record
    forgotten = max(state.forgotten for state in states)
    return without_next_set_registers(SlotState(list(merged.values()), forgotten))


def without_next_set_registers(state: SlotState) -> SlotState:
    """Return the state without the registers in which the next replica set was agreed."""
    kept = [record for record in state.records if not record.key.startswith(NEXT_SET_KEY)]
    return SlotState(kept, state.forgotten)
