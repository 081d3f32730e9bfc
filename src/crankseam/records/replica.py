"""One node's replicas: registers in memory, each changed only by ballots of its slot's epoch.

Owns the registers of every slot of which this process is a replica; they die with it. Relies on
nobody: each message is answered from what stands here. A process that was started anew is another
replica and has no vote until a move brings it in with state.
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
"""Called with the peer's name and its message; always answers."""

PAGE_BYTES = 2 * 1024 * 1024
"""State is handed over in pages of about this size, far below the largest frame."""
RECORD_OVERHEAD_BYTES = 40
"""Of a record on the wire beside its key and value, about."""


@dataclass(slots=True)
class Register:
    """One record: the highest ballot promised, and what was last accepted."""

    dated: int
    promised: Ballot = FAST_BALLOT
    accepted: Ballot | None = None
    value: bytes | None = None


@dataclass
class Slot:
    """One slot's registers at one epoch."""

    replica_set: ReplicaSet
    registers: dict[str, Register] = field(default_factory=dict)
    forgotten: int = 0
    """Newest date (milliseconds) of a record that was dropped."""
    sealed_by: ReplicaSet | None = None


UNDATED = 0
"""Date of records that are never dropped, such as the configuration register."""


class ReplicaStore:
    """All slots of which this node is a replica.

    Args:
        identity: this process as `node@incarnation`; a restarted node is another replica.
        learn: called with each replica set that this store hears of.
    """

    def __init__(self, identity: str, learn: Callable[[ReplicaSet], None]) -> None:
        self.identity = identity
        self._learn = learn
        self.slots: dict[int, Slot] = {}
        self._highest_epochs: dict[int, int] = {}
        self._staged: dict[tuple[int, int], Slot] = {}
        self.operations = 0

    def handlers(self) -> dict[type[Message], StoreHandler]:
        """Which messages this store answers, and how."""
        return {
            Prepare: self.on_prepare,
            Accept: self.on_accept,
            ReadRecord: self.on_read,
            Seal: self.on_seal,
            Install: self.on_install,
        }

    def adopt(self, replica_set: ReplicaSet) -> None:
        """Start a founded epoch, which has no state to carry over."""
        if not replica_set.founded:
            return
        if replica_set.epoch <= self._highest_epochs.get(replica_set.slot, 0):
            return
        if self.identity in replica_set.members:
            self._start(Slot(replica_set, forgotten=replica_set.floor))
        elif replica_set.slot in self.slots:
            # The slot was founded anew without this replica: its epoch must not serve any more.
            del self.slots[replica_set.slot]
            self._highest_epochs[replica_set.slot] = replica_set.epoch

    def _start(self, slot: Slot) -> None:
        self.slots[slot.replica_set.slot] = slot
        # An epoch once held may not be started again, even after its slot was dropped here:
        # this replica would come back without its votes.
        self._highest_epochs[slot.replica_set.slot] = slot.replica_set.epoch
        for number, epoch in list(self._staged):
            if number == slot.replica_set.slot and epoch <= slot.replica_set.epoch:
                del self._staged[number, epoch]  # left behind by a mover that died

    def _find(self, slot_number: int, epoch: int) -> Slot | StaleEpoch:
        slot = self.slots.get(slot_number)
        if slot is None:
            return StaleEpoch(None)
        if slot.sealed_by is not None:
            return StaleEpoch(slot.sealed_by)
        if slot.replica_set.epoch != epoch:
            return StaleEpoch(slot.replica_set)
        return slot

    def _open(self, message: Prepare | Accept) -> Register | StaleEpoch | Expired:
        """The register a proposal is about, made if need be, or why it is not to be had."""
        self.operations += 1
        slot = self._find(message.slot, message.epoch)
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
        """Answer phase one."""
        assert isinstance(message, Prepare)
        register = self._open(message)
        if not isinstance(register, Register):
            return register
        if message.ballot <= register.promised:
            return Rejected(register.promised)
        register.promised = message.ballot
        return Promise(register.accepted, register.value)

    async def on_accept(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """Answer phase two, or the fast round."""
        assert isinstance(message, Accept)
        register = self._open(message)
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
        # Only an untouched register takes a value in the fast round. It promises round 1 to the
        # owner at once, so that the owner's next write needs no phase one.
        untouched = register.accepted is None and register.promised == FAST_BALLOT
        if not untouched:
            return Rejected(register.promised)
        register.accepted = FAST_BALLOT
        register.value = message.value
        register.promised = Ballot(1, message.owner)
        return Accepted()

    async def on_read(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """Answer a read that promises nothing."""
        assert isinstance(message, ReadRecord)
        self.operations += 1
        slot = self._find(message.slot, message.epoch)
        if isinstance(slot, StaleEpoch):
            return slot
        register = slot.registers.get(message.key)
        if register is None:
            return Promise(None, None)
        return Promise(register.accepted, register.value)

    async def on_seal(self, _peer: str, message: AnyMessage) -> AnyMessage:
        """End the epoch on this replica and hand over its registers."""
        assert isinstance(message, Seal)
        slot = self.slots.get(message.slot)
        if slot is None:
            return StaleEpoch(None)
        if slot.replica_set == message.next_set:
            # Installed here already. What this replica accepted since may be passed on: it is as
            # if the new member had received the same Accept.
            return self._page(slot, message.after)
        if slot.replica_set.epoch != message.epoch:
            return StaleEpoch(slot.replica_set)
        if slot.sealed_by not in (None, message.next_set):
            return StaleEpoch(slot.sealed_by)  # an epoch is ended by one set only
        slot.sealed_by = message.next_set
        self._learn(message.next_set)
        return self._page(slot, message.after)

    def end_epoch(self, newer: ReplicaSet) -> None:
        """Seal a slot that moved without reaching this replica: its newer set was agreed."""
        slot = self.slots.get(newer.slot)
        if slot is None or slot.sealed_by is not None:
            return
        if slot.replica_set.epoch < newer.epoch:
            slot.sealed_by = newer

    @staticmethod
    def _page(slot: Slot, after: str) -> SlotState:
        """Registers after a key, up to a page full. A sealed slot does not change meanwhile."""
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
        """Start an epoch with the state that a majority of the old one held."""
        assert isinstance(message, Install)
        target = message.replica_set
        if self.identity not in target.members:
            return StaleEpoch(None)
        if self._highest_epochs.get(target.slot, 0) >= target.epoch:
            return Done() if target.slot in self.slots else StaleEpoch(None)
        staged = self._staged.setdefault((target.slot, target.epoch), Slot(target))
        self._stage(staged, message.state)
        if not message.state.is_last:
            return Done()
        staged.forgotten = max(staged.forgotten, target.floor)
        self._start(staged)
        self._learn(target)
        log.info("replica installed", extra={"slot": target.slot, "epoch": target.epoch})
        return Done()

    @staticmethod
    def _stage(staged: Slot, state: SlotState) -> None:
        """Add a page. Pages of two movers may mix: each mover's pages hold every agreed value, and
        the higher ballot wins."""
        staged.forgotten = max(staged.forgotten, state.forgotten)
        for record in state.records:
            standing = staged.registers.get(record.key)
            if standing is not None and standing.promised >= record.accepted:
                continue
            # A promise no lower than what was accepted keeps ballots of the old epoch out.
            staged.registers[record.key] = Register(
                record.dated, record.accepted, record.accepted, record.value
            )

    def sealed(self) -> list[tuple[ReplicaSet, ReplicaSet]]:
        """Old and agreed set of each slot that was sealed here and not installed again."""
        return [
            (slot.replica_set, slot.sealed_by)
            for slot in self.slots.values()
            if slot.sealed_by is not None
        ]

    def drop(self, slot_number: int) -> None:
        """Drop a sealed slot whose new set is installed elsewhere."""
        slot = self.slots.get(slot_number)
        if slot is not None and slot.sealed_by is not None:
            del self.slots[slot_number]

    def forget_before(self, date: int) -> int:
        """Drop records dated before `date` (milliseconds); return how many."""
        dropped = 0
        for slot in self.slots.values():
            old = [k for k, r in slot.registers.items() if r.dated != UNDATED and r.dated < date]
            for key in old:
                slot.forgotten = max(slot.forgotten, slot.registers.pop(key).dated)
            dropped += len(old)
        return dropped

    def record_count(self) -> int:
        """Registers held, over all slots."""
        return sum(len(slot.registers) for slot in self.slots.values())
