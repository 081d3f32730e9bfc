"""One node's replicas: registers in memory, each changed only by ballots of its slot's epoch.

Owns the registers of every slot of which this process is a replica; they are lost when the process
ends. Depends on no other component: each message is answered from the registers alone. A restarted
process counts as a different replica and has no vote until a move of the slot installs state on it.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from crankseam.peers.messages import (
    FAST_BALLOT,
    Accept,
    Accepted,
    AnyMessage,
    Ballot,
    Done,
    Expired,
    Install,
    Message,
    Prepare,
    Promise,
    ReadRecord,
    Rejected,
    ReplicaSet,
    Seal,
    SlotState,
    StaleEpoch,
    StoredRecord,
)

log = logging.getLogger(__name__)

StoreHandler = Callable[[str, AnyMessage], Awaitable[AnyMessage]]
"""Called with the peer's name and its message; always returns an answer."""

PAGE_BYTES = 2 * 1024 * 1024
"""Approximate size of a page of a slot's state; far below the maximum frame size, so that a slot of
any size can be transferred."""
RECORD_OVERHEAD_BYTES = 40
"""Approximate encoded size of a record without its key and value."""


@dataclass(slots=True)
class Register:
    """One record: the highest promised ballot, and the last accepted ballot and value."""

    dated: int
    promised: Ballot = FAST_BALLOT
    accepted: Ballot | None = None
    value: bytes | None = None


@dataclass
class Slot:
    """The registers of one slot in one epoch."""

    replica_set: ReplicaSet
    registers: dict[str, Register] = field(default_factory=dict)
    forgotten: int = 0
    """Date (milliseconds) of the newest dropped record; ids of this date or older have expired."""
    sealed_by: ReplicaSet | None = None
    """Next replica set, whose agreement ended this epoch; None while the epoch is open."""


UNDATED = 0
"""Date of records that are never dropped, such as the configuration register."""


class ReplicaStore:
    """All slots of which this node is a replica.

    Args:
        identity: this process as `node@incarnation`; a restarted node is another replica.
        on_replica_set: called with each replica set that this store learns from a message.
    """

    def __init__(self, identity: str, on_replica_set: Callable[[ReplicaSet], None]) -> None:
        self.identity = identity
        self._on_replica_set = on_replica_set
        self.slots: dict[int, Slot] = {}
        self._highest_epochs: dict[int, int] = {}
        self._pending_installs: dict[tuple[int, int], Slot] = {}
        self.operations = 0

    def handlers(self) -> dict[type[Message], StoreHandler]:
        """Return the handler of each message type that this store answers."""
        return {
            Prepare: self.on_prepare,
            Accept: self.on_accept,
            ReadRecord: self.on_read,
            Seal: self.on_seal,
            Install: self.on_install,
        }

    def start_founded_epoch(self, replica_set: ReplicaSet) -> None:
        """Start the epoch of a founded replica set, which takes over no state from an earlier set.

        Does nothing for other sets and for epochs that are not newer than those seen here.
        """
        if not replica_set.founded:
            return
        if replica_set.epoch <= self._highest_epochs.get(replica_set.slot, 0):
            return
        if self.identity in replica_set.members:
            self._start_epoch(Slot(replica_set, forgotten=replica_set.floor))
        elif replica_set.slot in self.slots:
            # The slot was founded again without this replica, which must stop serving the old
            # epoch.
            del self.slots[replica_set.slot]
            self._highest_epochs[replica_set.slot] = replica_set.epoch

    def _start_epoch(self, slot: Slot) -> None:
        self.slots[slot.replica_set.slot] = slot
        # Remember the epoch even after the slot is dropped: if this replica started the same epoch
        # again, it would serve without the promises and values of its earlier votes.
        self._highest_epochs[slot.replica_set.slot] = slot.replica_set.epoch
        for number, epoch in list(self._pending_installs):
            if number == slot.replica_set.slot and epoch <= slot.replica_set.epoch:
                # Left by a node that failed during its move, or completed by this installation.
                del self._pending_installs[number, epoch]

    def _find_slot(self, slot_number: int, epoch: int) -> Slot | StaleEpoch:
        slot = self.slots.get(slot_number)
        if slot is None:
            return StaleEpoch(None)
        if slot.sealed_by is not None:
            return StaleEpoch(slot.sealed_by)
        if slot.replica_set.epoch != epoch:
            return StaleEpoch(slot.replica_set)
        return slot

    def _get_or_create_register(self, message: Prepare | Accept) -> Register | StaleEpoch | Expired:
        """Return the register that a proposal concerns, creating it if it does not exist.

        Returns the refusal to send instead if the epoch is over or the record's id has expired.
        """
        self.operations += 1
        slot = self._find_slot(message.slot, message.epoch)
        if isinstance(slot, StaleEpoch):
            return slot
        register = slot.registers.get(message.key)
        if register is not None:
            return register
        if message.dated != UNDATED and message.dated <= slot.forgotten:
            return Expired()
        register = Register(message.dated)
        slot.registers[message.key] = register
        return register

    async def on_prepare(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """Handle phase one: promise the ballot if it is higher than every promised one."""
        assert isinstance(message, Prepare)
        register = self._get_or_create_register(message)
        if not isinstance(register, Register):
            return register
        if message.ballot <= register.promised:
            return Rejected(register.promised)
        register.promised = message.ballot
        return Promise(register.accepted, register.value)

    async def on_accept(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """Handle phase two and the fast round: accept the value unless a promise forbids it."""
        assert isinstance(message, Accept)
        register = self._get_or_create_register(message)
        if not isinstance(register, Register):
            return register
        if message.ballot == FAST_BALLOT:
            return self._accept_fast(register, message)
        if message.ballot < register.promised:
            return Rejected(register.promised)
        register.promised = message.ballot
        register.accepted = message.ballot
        register.value = message.value
        return Accepted()

    @staticmethod
    def _accept_fast(register: Register, message: Accept) -> AnyMessage:
        # Only an unused register accepts a value in the fast round. It promises round 1 to the
        # owner at the same time, so that the owner's next write needs no phase one.
        unused = register.accepted is None and register.promised == FAST_BALLOT
        if not unused:
            return Rejected(register.promised)
        register.accepted = FAST_BALLOT
        register.value = message.value
        register.promised = Ballot(1, message.owner)
        return Accepted()

    async def on_read(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """Return the accepted ballot and value of a record without promising a ballot."""
        assert isinstance(message, ReadRecord)
        self.operations += 1
        slot = self._find_slot(message.slot, message.epoch)
        if isinstance(slot, StaleEpoch):
            return slot
        register = slot.registers.get(message.key)
        if register is None:
            return Promise(None, None)
        return Promise(register.accepted, register.value)

    async def on_seal(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """End the epoch on this replica and return a page of its registers."""
        assert isinstance(message, Seal)
        slot = self.slots.get(message.slot)
        if slot is None:
            return StaleEpoch(None)
        if slot.replica_set == message.next_set:
            # The next set is already installed here. Values accepted since then may be passed on:
            # for the new member this is the same as receiving the Accept messages itself.
            return self._state_page(slot, message.after)
        if slot.replica_set.epoch != message.epoch:
            return StaleEpoch(slot.replica_set)
        if slot.sealed_by not in (None, message.next_set):
            return StaleEpoch(slot.sealed_by)  # an epoch can be followed by only one set
        slot.sealed_by = message.next_set
        self._on_replica_set(message.next_set)
        return self._state_page(slot, message.after)

    def seal_for_newer_set(self, newer: ReplicaSet) -> None:
        """Seal a slot whose agreed move to `newer` did not reach this replica."""
        slot = self.slots.get(newer.slot)
        if slot is None or slot.sealed_by is not None:
            return
        if slot.replica_set.epoch < newer.epoch:
            slot.sealed_by = newer

    @staticmethod
    def _state_page(slot: Slot, after: str) -> SlotState:
        """Return the registers with keys above `after`, up to one page.

        A sealed slot does not change between two pages.
        """
        records = []
        size = 0
        for key in sorted(key for key in slot.registers if key > after):
            register = slot.registers[key]
            if register.accepted is None or register.value is None:
                continue
            records.append(StoredRecord(key, register.dated, register.accepted, register.value))
            size += len(key) + len(register.value) + RECORD_OVERHEAD_BYTES
            if size >= PAGE_BYTES:
                return SlotState(records, slot.forgotten, is_last=False)
        return SlotState(records, slot.forgotten)

    async def on_install(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """Add a page of the state merged from a majority of the old set.

        The last page starts the epoch on this replica.
        """
        assert isinstance(message, Install)
        target = message.replica_set
        if self.identity not in target.members:
            return StaleEpoch(None)
        if self._highest_epochs.get(target.slot, 0) >= target.epoch:
            return Done() if target.slot in self.slots else StaleEpoch(None)
        pending = self._pending_installs.setdefault((target.slot, target.epoch), Slot(target))
        self._add_page(pending, message.state)
        if not message.state.is_last:
            return Done()
        pending.forgotten = max(pending.forgotten, target.floor)
        self._start_epoch(pending)
        self._on_replica_set(target)
        log.info("replica installed", extra={"slot": target.slot, "epoch": target.epoch})
        return Done()

    @staticmethod
    def _add_page(pending: Slot, state: SlotState) -> None:
        """Add a page of state to a pending installation.

        Pages from two nodes that move the slot at the same time may be mixed: the pages of each
        contain every agreed value, and the value with the higher ballot is kept.
        """
        pending.forgotten = max(pending.forgotten, state.forgotten)
        for record in state.records:
            existing = pending.registers.get(record.key)
            if existing is not None and existing.promised >= record.accepted:
                continue
            # Promise the accepted ballot, so that lower ballots of the old epoch are rejected.
            pending.registers[record.key] = Register(
                record.dated, record.accepted, record.accepted, record.value
            )

    def sealed_slots(self) -> list[tuple[ReplicaSet, ReplicaSet]]:
        """Return the old and the next set of each slot sealed here and not yet installed again."""
        return [
            (slot.replica_set, slot.sealed_by)
            for slot in self.slots.values()
            if slot.sealed_by is not None
        ]

    def drop_sealed_slot(self, slot_number: int) -> None:
        """Drop a sealed slot; the caller has made sure that its next set serves."""
        slot = self.slots.get(slot_number)
        if slot is not None and slot.sealed_by is not None:
            del self.slots[slot_number]

    def drop_before(self, date: int) -> int:
        """Drop records dated before `date` (milliseconds); return the number dropped."""
        dropped = 0
        for slot in self.slots.values():
            old = [k for k, r in slot.registers.items() if r.dated != UNDATED and r.dated < date]
            for key in old:
                slot.forgotten = max(slot.forgotten, slot.registers.pop(key).dated)
            dropped += len(old)
        return dropped

    def record_count(self) -> int:
        """Return the number of registers in all slots."""
        return sum(len(slot.registers) for slot in self.slots.values())
