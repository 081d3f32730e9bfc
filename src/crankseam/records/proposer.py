"""Reads and changes replicated records by agreement of a majority of their replicas.

Owns this process's ballots. Each record is a register with its own ballots (CASPaxos-like): there
is no leader and no log. A new record is first tried in a fast round, which needs all replicas and
one round trip. Relies on `agreement` for what answers mean, and on its caller to reach a replica.
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

MAX_ROUNDS = 8
"""Rounds in which a change may lose to other proposers before it is given up. Origin not
recorded."""
FAST_ROUND_GRACE_S = 0.02
"""How long the fast round waits for the last replicas once a majority accepted; several round trips
between zones (docs/design/04-records.md). Origin not recorded."""
RETRY_BASE_S = 0.005
"""Upper bound of the pause after the first lost round; it doubles with each. Origin not
recorded."""

Change = Callable[[bytes | None], bytes | None]
"""From the current value to the next one; None leaves the record as it is."""


class Caller(Protocol):
    """How the proposer reaches a replica."""

    async def call_identity(self, identity: str, message: Message, timeout: float) -> AnyMessage:
        """Call the process `node@incarnation`; raises PeerError."""
        ...


@dataclass(frozen=True)
class RecordKey:
    """Where a record lives.

    Attributes:
        slot: region-wide slot number.
        key: name of the record.
        dated: date of its id in milliseconds; 0 for records that are never dropped.
    """

    slot: int
    key: str
    dated: int


@dataclass
class OwnedBallot:
    """A ballot that all replicas promised this proposer with its fast write; for one write.

    With two values at one ballot, what a majority accepted could not be told from what it did not.
    """

    epoch: int
    ballot: Ballot
    value: bytes
    is_used: bool = False


class _EpochChanged(Exception):
    """The slot moved to a newer replica set; start over with it."""


class Proposer:
    """Makes and reads agreed values.

    Args:
        identity: unique among proposers: `node@incarnation`.
        caller: reaches replicas.
        slots: the replica sets known.
        timeout: seconds for one round trip.
    """

    def __init__(self, identity: str, caller: Caller, slots: SlotTable, timeout: float) -> None:
        self._identity = identity
        self._caller = caller
        self._slots = slots
        self._timeout = timeout
        self._epoch_round = 1
        """Rounds used or heard of, within an epoch."""
        self._random = random.Random(identity)
        self._late: set[asyncio.Task] = set()

    # --- public

    async def create(self, where: RecordKey, value: bytes) -> OwnedBallot | None:
        """Try to create a record in one round trip.

        Returns:
            The ballot for the next write; None if the fast round failed (the record may exist,
            or may even hold this value): use `change` then.
        """
        replica_set = self._require_set(where)
        message = Accept(
            where.slot,
            replica_set.epoch,
            where.key,
            where.dated,
            FAST_BALLOT,
            value,
            self._identity,
        )
        members = len(replica_set.members)
        answers = await self._ask(replica_set, message, members, FAST_ROUND_GRACE_S)
        accepted = sum(isinstance(answer, Accepted) for answer in answers.values())
        if accepted < members:
            self._raise_if_expired(answers)
            with contextlib.suppress(_EpochChanged):
                self._learn_newer_set(replica_set, answers)
            return None
        return OwnedBallot(replica_set.epoch, Ballot(1, self._identity), value)

    async def overwrite(self, where: RecordKey, owned: OwnedBallot, value: bytes) -> bool:
        """Write with a ballot already promised, in one round trip.

        False means that it was overtaken or that no majority answered: use `change` then.
        """
        replica_set = self._require_set(where)
        if owned.is_used or replica_set.epoch != owned.epoch:
            return False  # promises do not outlive their epoch
        owned.is_used = True
        try:
            return await self._accept(where, replica_set, owned.ballot, value)
        except (_EpochChanged, NoQuorum):
            return False  # the caller goes the long way, which tells what stands

    async def change(self, where: RecordKey, change: Change) -> bytes | None:
        """Apply `change` to the record's agreed value and return the value agreed afterwards.

        Raises:
            NoQuorum: no majority answered; the change may have taken effect.
            Contention: other proposers kept winning.
            RecordExpired: the id is older than what is remembered.
        """
        for attempt in range(MAX_ROUNDS):
            try:
                return await self._change_once(where, self._require_set(where), change)
            except (_EpochChanged, Contention):
                await self._pause(attempt)
        raise Contention(where.key)

    async def change_within(
        self, replica_set: ReplicaSet, where: RecordKey, change: Change
    ) -> bytes | None:
        """Like `change`, but by the replicas of this set only: it follows to no newer one.

        Raises:
            SlotMoved: the slot has a newer set.
            NoQuorum, Contention, RecordExpired: as with `change`.
        """
        for attempt in range(MAX_ROUNDS):
            if self._require_set(where).epoch > replica_set.epoch:
                raise SlotMoved(where.slot)
            try:
                return await self._change_once(where, replica_set, change)
            except _EpochChanged as changed:
                raise SlotMoved(where.slot) from changed
            except Contention:
                await self._pause(attempt)
        raise Contention(where.key)

    async def read(self, where: RecordKey) -> bytes | None:
        """The record's agreed value; same errors as `change`."""
        replica_set = self._require_set(where)
        message = ReadRecord(where.slot, replica_set.epoch, where.key)
        answers = await self._ask(replica_set, message, needed=majority(replica_set))
        agreed = agreed_by_majority(replica_set, answers)
        if agreed is not None:
            return agreed.value
        return await self.change(where, lambda current: current)

    # --- rounds

    async def _pause(self, attempt: int) -> None:
        await asyncio.sleep(self._random.uniform(0, RETRY_BASE_S * 2**attempt))

    async def _change_once(
        self, where: RecordKey, replica_set: ReplicaSet, change: Change
    ) -> bytes | None:
        ballot = self._next_ballot(replica_set)
        current = await self._prepare(where, replica_set, ballot)
        value = change(current)
        if value is None:
            if current is None:
                return None
            value = current  # write it again, so that a majority is known to hold it
        if not await self._accept(where, replica_set, ballot, value):
            raise Contention(where.key)
        return value

    def _next_ballot(self, replica_set: ReplicaSet) -> Ballot:
        self._epoch_round += 1
        return make_ballot(replica_set, self._epoch_round, self._identity)

    def _advance_epoch_round(self, replica_set: ReplicaSet, promised: Ballot) -> None:
        """Try above a ballot that stood in the way; that of an earlier epoch or build is lower."""
        self._epoch_round = max(self._epoch_round, epoch_round_of(replica_set, promised))

    async def _prepare(
        self, where: RecordKey, replica_set: ReplicaSet, ballot: Ballot
    ) -> bytes | None:
        message = Prepare(where.slot, replica_set.epoch, where.key, where.dated, ballot)
        answers = await self._ask(replica_set, message, needed=majority(replica_set))
        return highest_accepted_value(self._majority_of(Promise, where, replica_set, answers))

    async def _accept(
        self, where: RecordKey, replica_set: ReplicaSet, ballot: Ballot, value: bytes
    ) -> bool:
        message = Accept(where.slot, replica_set.epoch, where.key, where.dated, ballot, value)
        answers = await self._ask(replica_set, message, needed=majority(replica_set))
        try:
            self._majority_of(Accepted, where, replica_set, answers)
        except Contention:
            return False
        return True

    def _majority_of(
        self,
        wanted: type,
        where: RecordKey,
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
        self._learn_newer_set(replica_set, answers)
        if rejected:
            raise Contention(where.key)
        raise NoQuorum(f"{len(matching)} of {len(replica_set.members)} for {where.key}")

    # --- asking

    def _require_set(self, where: RecordKey) -> ReplicaSet:
        replica_set = self._slots.get(where.slot)
        if replica_set is None:
            raise NoQuorum(f"no replica set known for slot {where.slot}")
        return replica_set

    def _learn_newer_set(self, replica_set: ReplicaSet, answers: Mapping[str, AnyMessage]) -> None:
        """Raise _EpochChanged if an answer tells of a newer set than the one that was asked."""
        for answer in answers.values():
            if isinstance(answer, StaleEpoch) and answer.replica_set is not None:
                self._slots.learn(answer.replica_set)
        newest = self._slots.get(replica_set.slot)
        if newest is not None and newest.epoch > replica_set.epoch:
            raise _EpochChanged

    @staticmethod
    def _raise_if_expired(answers: Mapping[str, AnyMessage]) -> None:
        if any(isinstance(answer, Expired) for answer in answers.values()):
            raise RecordExpired("the id is older than what the replicas remember")

    async def _ask(
        self,
        replica_set: ReplicaSet,
        message: Message,
        needed: int,
        grace: float | None = None,
    ) -> dict[str, AnyMessage]:
        """Ask all replicas; return once `needed` gave a good answer, or all have answered.

        Args:
            grace: once a majority gave a good answer, wait at most this long for the others.
        """
        answers: dict[str, AnyMessage] = {}
        asked = [
            asyncio.create_task(self._ask_one(member, message)) for member in replica_set.members
        ]
        pending = set(asked)
        good = 0
        while pending and good < needed:
            patience = grace if good >= majority(replica_set) else None
            finished, pending = await asyncio.wait(
                pending, timeout=patience, return_when=asyncio.FIRST_COMPLETED
            )
            if not finished:
                break
            # In the order of the members: a set's order hangs on addresses in memory, so that a
            # failure could not be played again.
            for task in (task for task in asked if task in finished):
                member, answer = task.result()
                if answer is not None:
                    answers[member] = answer
                    good += isinstance(answer, Promise | Accepted)
        # Those still pending finish on their own: a replica that lags must still get the write.
        self._late.update(pending)
        for task in pending:
            task.add_done_callback(self._late.discard)
        return answers

    async def _ask_one(self, member: str, message: Message) -> tuple[str, AnyMessage | None]:
        try:
            return member, await self._caller.call_identity(member, message, self._timeout)
        except PeerError:
            return member, None  # a replica that gives no answer is one that does not count
