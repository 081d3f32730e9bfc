"""Suspect requests in the coordination store: one key each, changed by compare-and-swap.

`state/suspect/FINGERPRINT` holds a `SuspectRecord`. Every process follows the prefix of states
anyway, so a suspect costs one write and is known everywhere; it outlives all processes.
"""

from __future__ import annotations

import msgspec

from crankseam.coordination.interface import (
    ABSENT,
    Condition,
    Entry,
    Put,
    Transaction,
    TransactionConflict,
    TransactionStore,
)
from crankseam.quarantine.model import SuspectRecord

SUSPECT_FOLDER = "suspect/"
"""Below the prefix of states."""


class SuspectMalformed(ValueError):
    """A key whose value is no record."""


def decode_suspect(value: bytes) -> SuspectRecord:
    """What a key holds; raises SuspectMalformed."""
    try:
        return msgspec.msgpack.decode(value, type=SuspectRecord)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise SuspectMalformed(str(error)) from error


class SuspectStore:
    """Writes suspects. Every failure is a KeyValueError.

    Parameters
    ==========

    state_prefix : the prefix that every process follows.
    """

    def __init__(self, store: TransactionStore, state_prefix: str) -> None:
        self._store = store
        self.prefix = state_prefix + SUSPECT_FOLDER

    def fingerprint_of_key(self, key: str) -> str:
        """The fingerprint in a key."""
        return key.removeprefix(self.prefix)

    async def add(
        self, fingerprint: str, record: SuspectRecord, revision: int, dropped: list[str]
    ) -> tuple[SuspectRecord, int]:
        """Add ends to what the store holds; what it holds then, and the key's revision.

        Parameters
        ==========

        revision : of the key as it was last seen here; ABSENT if it was not.
        dropped : fingerprints that give way to it.
        """
        while True:
            try:
                done = await self._write(fingerprint, record, revision, dropped)
                return record, done
            except TransactionConflict as conflict:
                found = conflict.found.get(self.prefix + fingerprint)
                if found is None:
                    revision = ABSENT
                    continue
                kept = _merged(found, record)
                if kept is None:
                    return decode_suspect(found.value), found.revision
                record, revision = kept, found.revision

    async def change(self, fingerprint: str, record: SuspectRecord, revision: int) -> int:
        """Replace a record that is still as it was seen; the new revision.

        Raises
        ======

        TransactionConflict : it is not.
        """
        return await self._write(fingerprint, record, revision, [])

    async def remove(self, fingerprint: str, revision: int) -> None:
        """Forget a suspect that is still as it was seen."""
        key = self.prefix + fingerprint
        try:
            await self._store.commit(Transaction([Condition(key, revision)], removals=[key]))
        except TransactionConflict:
            # It has changed since: what is known of it now is not what was released.
            return

    async def _write(
        self, fingerprint: str, record: SuspectRecord, revision: int, dropped: list[str]
    ) -> int:
        key = self.prefix + fingerprint
        put = Put(key, msgspec.msgpack.encode(record))
        removals = [self.prefix + one for one in dropped]
        return await self._store.commit(Transaction([Condition(key, revision)], [put], removals))


def _merged(found: Entry, record: SuspectRecord) -> SuspectRecord | None:
    """What is there with more ends; None if it has them all."""
    try:
        there = decode_suspect(found.value)
    except SuspectMalformed:
        # Written over: the follower of the key has logged it.
        return record
    merged = there.with_crashes(record.ended)
    return merged if merged != there else None
