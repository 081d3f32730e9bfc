"""Stores suspect requests in the coordination store: one key each, changed by compare-and-swap.

The key `state/suspect/FINGERPRINT` holds a `SuspectRecord`. One write makes a suspect known to all
processes that follow the state prefix, and they follow it for other reasons anyway. The record
survives the restart of any or all processes.
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

SUSPECT_PREFIX = "suspect/"
"""Key prefix of suspects, relative to the state prefix."""


class SuspectMalformed(ValueError):
    """The value of a suspect's key cannot be decoded."""


def decode_suspect(value: bytes) -> SuspectRecord:
    """Decodes the value of a suspect's key.

    Raises
    ======

    SuspectMalformed : the value is not an encoded `SuspectRecord`.
    """
    try:
        return msgspec.msgpack.decode(value, type=SuspectRecord)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise SuspectMalformed(str(error)) from error


class SuspectStore:
    """Writes suspects to the store. Every failure is a KeyValueError.

    Parameters
    ==========

    state_prefix : the key prefix of deployment state in the store.
    """

    def __init__(self, store: TransactionStore, state_prefix: str) -> None:
        self._store = store
        self.prefix = state_prefix + SUSPECT_PREFIX

    def fingerprint_of_key(self, key: str) -> str:
        """Returns the fingerprint that a suspect's key contains."""
        return key.removeprefix(self.prefix)

    async def add(
        self, fingerprint: str, record: SuspectRecord, revision: int, evicted: list[str]
    ) -> tuple[SuspectRecord, int]:
        """Adds the crashes in `record` to the stored record.

        Parameters
        ==========

        revision : revision of the key as last seen by this process; ABSENT if it was never seen.
        evicted : fingerprints that are removed from the store in the same transaction.

        Returns
        =======

        The record that the store holds afterwards, and the revision of its key.
        """
        while True:
            try:
                new_revision = await self._write(fingerprint, record, revision, evicted)
                return record, new_revision
            except TransactionConflict as conflict:
                found = conflict.found.get(self.prefix + fingerprint)
                if found is None:
                    revision = ABSENT
                    continue
                kept = _merge_crashes(found, record)
                if kept is None:
                    return decode_suspect(found.value), found.revision
                record, revision = kept, found.revision

    async def replace(self, fingerprint: str, record: SuspectRecord, revision: int) -> int:
        """Replaces a record whose key is still at `revision`; returns the new revision.

        Raises
        ======

        TransactionConflict : the key has another revision.
        """
        return await self._write(fingerprint, record, revision, [])

    async def remove(self, fingerprint: str, revision: int) -> None:
        """Removes a suspect whose key is still at `revision`."""
        key = self.prefix + fingerprint
        try:
            await self._store.commit(Transaction([Condition(key, revision)], removals=[key]))
        except TransactionConflict:
            # The record has changed since it was released, so its new state stays.
            return

    async def _write(
        self, fingerprint: str, record: SuspectRecord, revision: int, evicted: list[str]
    ) -> int:
        key = self.prefix + fingerprint
        put = Put(key, msgspec.msgpack.encode(record))
        removals = [self.prefix + other for other in evicted]
        return await self._store.commit(Transaction([Condition(key, revision)], [put], removals))


def _merge_crashes(found: Entry, record: SuspectRecord) -> SuspectRecord | None:
    """Returns the stored record with the crashes in `record` added; None if it has them already."""
    try:
        stored = decode_suspect(found.value)
    except SuspectMalformed:
        # The malformed value is overwritten; the follower of the key has logged it.
        return record
    merged = stored.with_crashes(record.ended)
    return merged if merged != stored else None
