"""Reads and changes replicated records by agreement of a majority of their replicas.

Owns this process's ballots. Each record is a register with its own ballots, as in CASPaxos: there
is no leader and no log. A new record is first proposed in a fast round, which takes one round trip
and succeeds only if all replicas accept. Relies on `agreement` to interpret the answers and on a
`ReplicaTransport` to reach the replicas.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from crankseam.errors import Contention, NoQuorum, PeerError, RecordExpired, SlotMoved
from crankseam.peers.messages import (
    FAST_BALLOT,
    Accept,
    Accepted,
    AnyMessage,
    Ballot,
    Expired,
    Message,
    Prepare,
    Promise,
    ReadRecord,
    Rejected,
    ReplicaSet,
    StaleEpoch,
)
from crankseam.records.agreement import (
    agreed_by_majority,
    epoch_round_of,
    highest_accepted_value,
    make_ballot,
)
from crankseam.records.slots import SlotTable, majority

MAX_CHANGE_ATTEMPTS = 8
"""Number of rounds a change may lose to other proposers before it fails with `Contention`."""
FAST_ROUND_GRACE_S = 0.02
"""Time that the fast round waits for the remaining replicas after a majority has accepted. It
covers several round trips between zones (docs/design/04-records.md)."""
RETRY_BASE_S = 0.005
"""Upper bound of the random pause after the first lost round; doubles with each further one."""

Change = Callable[[bytes | None], bytes | None]
"""Maps the current value of a record to the next one, or to None to keep the current value."""


class ReplicaTransport(Protocol):
    """Sends messages to replicas."""

    async def call_identity(self, identity: str, message: Message, timeout: float) -> AnyMessage:
        """Call the process `node@incarnation` and return its answer; raises PeerError."""
        ...


@dataclass(frozen=True)
class RecordKey:
    """Identifies a record and the slot that stores it.

    Attributes:
        slot: slot number, the same on all nodes of the region.
        key: name of the record.
        dated: creation time contained in the record's id, in milliseconds; 0 for records that are
            never dropped.
    """

    slot: int
    key: str
    dated: int


@dataclass
class ReservedBallot:
    """A ballot that all replicas promised to this proposer in a fast round, valid for one write.

    A second write would put two values at one ballot, and a reader could not tell which of them a
    majority accepted.
    """

    epoch: int
    ballot: Ballot
    value: bytes
    is_used: bool = False


class _EpochChanged(Exception):
    """The slot moved to a newer replica set; the operation must start again with that set."""


class Proposer:
    """Changes and reads the agreed values of records.

    Args:
        identity: `node@incarnation`, unique among proposers.
        transport: sends messages to replicas.
        slots: newest known replica set of each slot.
        timeout: seconds allowed for one round trip.
    """

    def __init__(
        self, identity: str, transport: ReplicaTransport, slots: SlotTable, timeout: float
    ) -> None:
        self._identity = identity
        self._transport = transport
        self._slots = slots
        self._timeout = timeout
        self._epoch_round = 1
        """Highest round that this proposer has used or been told of, counted within an epoch."""
        self._random = random.Random(identity)
        self._background_calls: set[asyncio.Task] = set()

    # --- operations on records

    async def create(self, record: RecordKey, value: bytes) -> ReservedBallot | None:
        """Try to create a record in one round trip.

        Returns:
            The ballot for the next write, or None if the fast round failed. After a failure the
            record may exist and may even hold this value; the caller continues with `change`.
        """
        replica_set = self._require_set(record)
        message = Accept(
            record.slot,
            replica_set.epoch,
            record.key,
            record.dated,
            FAST_BALLOT,
            value,
            self._identity,
        )
        members = len(replica_set.members)
        answers = await self._call_replicas(replica_set, message, members, FAST_ROUND_GRACE_S)
        accepted = sum(isinstance(answer, Accepted) for answer in answers.values())
        if accepted < members:
            self._raise_if_expired(answers)
            with contextlib.suppress(_EpochChanged):
                self._raise_if_epoch_changed(replica_set, answers)
            return None
        return ReservedBallot(replica_set.epoch, Ballot(1, self._identity), value)

    async def overwrite(self, record: RecordKey, reserved: ReservedBallot, value: bytes) -> bool:
        """Write with a ballot that is already promised, in one round trip.

        Returns False if another proposer has a higher ballot, the slot moved, the ballot was used
        before or no majority answered; the caller continues with `change`.
        """
        replica_set = self._require_set(record)
        if reserved.is_used or replica_set.epoch != reserved.epoch:
            return False  # a promise is valid only in the epoch in which it was given
        reserved.is_used = True
        try:
            return await self._accept(record, replica_set, reserved.ballot, value)
        except (_EpochChanged, NoQuorum):
            return False  # the caller falls back to `change`, which returns the agreed value

    async def change(self, record: RecordKey, change: Change) -> bytes | None:
        """Apply `change` to the record's agreed value and return the value agreed afterwards.

        Raises:
            NoQuorum: no majority answered; the change may have taken effect.
            Contention: the change lost `MAX_CHANGE_ATTEMPTS` rounds to other proposers.
            RecordExpired: the record's id is older than the records that the replicas keep.
        """
        for attempt in range(MAX_CHANGE_ATTEMPTS):
            try:
                return await self._change_once(record, self._require_set(record), change)
            except (_EpochChanged, Contention):
                await self._pause(attempt)
        raise Contention(record.key)

    async def change_in_set(
        self, replica_set: ReplicaSet, record: RecordKey, change: Change
    ) -> bytes | None:
        """Like `change`, but asks only the replicas of this set and follows no move of the slot.

        Raises:
            SlotMoved: the slot has a newer set.
            NoQuorum, Contention, RecordExpired: as with `change`.
        """
        for attempt in range(MAX_CHANGE_ATTEMPTS):
            if self._require_set(record).epoch > replica_set.epoch:
                raise SlotMoved(record.slot)
            try:
                return await self._change_once(record, replica_set, change)
            except _EpochChanged as changed:
                raise SlotMoved(record.slot) from changed
            except Contention:
                await self._pause(attempt)
        raise Contention(record.key)

    async def read(self, record: RecordKey) -> bytes | None:
        """Return the record's agreed value, or None if it has none; raises as `change` does."""
        replica_set = self._require_set(record)
        message = ReadRecord(record.slot, replica_set.epoch, record.key)
        answers = await self._call_replicas(replica_set, message, needed=majority(replica_set))
        agreed = agreed_by_majority(replica_set, answers)
        if agreed is not None:
            return agreed.value
        return await self.change(record, lambda current: current)

    # --- rounds

    async def _pause(self, attempt: int) -> None:
        await asyncio.sleep(self._random.uniform(0, RETRY_BASE_S * 2**attempt))

    async def _change_once(
        self, record: RecordKey, replica_set: ReplicaSet, change: Change
    ) -> bytes | None:
        ballot = self._next_ballot(replica_set)
        current = await self._prepare(record, replica_set, ballot)
        value = change(current)
        if value is None:
            if current is None:
                return None
            value = current  # write the value again, so that a majority is known to hold it
        if not await self._accept(record, replica_set, ballot, value):
            raise Contention(record.key)
        return value

    def _next_ballot(self, replica_set: ReplicaSet) -> Ballot:
        self._epoch_round += 1
        return make_ballot(replica_set, self._epoch_round, self._identity)

    def _advance_epoch_round(self, replica_set: ReplicaSet, promised: Ballot) -> None:
        """Continue above the ballot that caused a rejection.

        A ballot of an earlier epoch, or of a build without rounds per epoch, changes nothing.
        """
        self._epoch_round = max(self._epoch_round, epoch_round_of(replica_set, promised))

    async def _prepare(
        self, record: RecordKey, replica_set: ReplicaSet, ballot: Ballot
    ) -> bytes | None:
        message = Prepare(record.slot, replica_set.epoch, record.key, record.dated, ballot)
        answers = await self._call_replicas(replica_set, message, needed=majority(replica_set))
        return highest_accepted_value(self._require_majority(Promise, record, replica_set, answers))

    async def _accept(
        self, record: RecordKey, replica_set: ReplicaSet, ballot: Ballot, value: bytes
    ) -> bool:
        message = Accept(record.slot, replica_set.epoch, record.key, record.dated, ballot, value)
        answers = await self._call_replicas(replica_set, message, needed=majority(replica_set))
        try:
            self._require_majority(Accepted, record, replica_set, answers)
        except Contention:
            return False
        return True

    def _require_majority(
        self,
        wanted: type,
        record: RecordKey,
        replica_set: ReplicaSet,
        answers: Mapping[str, AnyMessage],
    ) -> list:
        matching = [answer for answer in answers.values() if isinstance(answer, wanted)]
        if len(matching) >= majority(replica_set):
            return matching
        self._raise_if_expired(answers)
        rejected = [answer for answer in answers.values() if isinstance(answer, Rejected)]
        for answer in rejected:
            self._advance_epoch_round(replica_set, answer.promised)
        self._raise_if_epoch_changed(replica_set, answers)
        if rejected:
            raise Contention(record.key)
        raise NoQuorum(f"{len(matching)} of {len(replica_set.members)} for {record.key}")

    # --- calls to replicas

    def _require_set(self, record: RecordKey) -> ReplicaSet:
        replica_set = self._slots.get(record.slot)
        if replica_set is None:
            raise NoQuorum(f"no replica set known for slot {record.slot}")
        return replica_set

    def _raise_if_epoch_changed(
        self, replica_set: ReplicaSet, answers: Mapping[str, AnyMessage]
    ) -> None:
        """Record newer replica sets from the answers; raise _EpochChanged if the slot moved."""
        for answer in answers.values():
            if isinstance(answer, StaleEpoch) and answer.replica_set is not None:
                self._slots.update(answer.replica_set)
        newest = self._slots.get(replica_set.slot)
        if newest is not None and newest.epoch > replica_set.epoch:
            raise _EpochChanged

    @staticmethod
    def _raise_if_expired(answers: Mapping[str, AnyMessage]) -> None:
        if any(isinstance(answer, Expired) for answer in answers.values()):
            raise RecordExpired("the id is older than what the replicas remember")

    async def _call_replicas(
        self,
        replica_set: ReplicaSet,
        message: Message,
        needed: int,
        grace: float | None = None,
    ) -> dict[str, AnyMessage]:
        """Send a message to all replicas of a set and collect their answers.

        Returns once `needed` replicas have answered with `Promise` or `Accepted`, or all calls have
        ended.

        Args:
            grace: once a majority has answered so, seconds to wait for each further answer.
        """
        answers: dict[str, AnyMessage] = {}
        calls = [
            asyncio.create_task(self._call_replica(member, message))
            for member in replica_set.members
        ]
        pending = set(calls)
        matching = 0
        while pending and matching < needed:
            grace_timeout = grace if matching >= majority(replica_set) else None
            finished, pending = await asyncio.wait(
                pending, timeout=grace_timeout, return_when=asyncio.FIRST_COMPLETED
            )
            if not finished:
                break
            # Process answers in the order of the members: the order of a set of tasks depends on
            # memory addresses, which would make failures impossible to reproduce.
            for task in (task for task in calls if task in finished):
                member, answer = task.result()
                if answer is not None:
                    answers[member] = answer
                    matching += isinstance(answer, Promise | Accepted)
        # Calls still pending continue in the background: a slow replica must still get the write.
        self._background_calls.update(pending)
        for task in pending:
            task.add_done_callback(self._background_calls.discard)
        return answers

    async def _call_replica(self, member: str, message: Message) -> tuple[str, AnyMessage | None]:
        try:
            return member, await self._transport.call_identity(member, message, self._timeout)
        except PeerError:
            return member, None  # a replica without an answer does not count towards a majority
