"""Transactions of the coordination interface on the key-value service.

This adapter lets `quarantine/` write through the client of `crankseam node` in the same way as
through the store of the users' platform. After a conflict it reads the current entry of each
condition's key, which costs one request per key.
"""

from __future__ import annotations

from crankseam.clients.key_value import Delete, KeyValue, KeyValueClient, Put, Unchanged
from crankseam.coordination.interface import Entry, Transaction, TransactionConflict


def as_entry(current: KeyValue) -> Entry:
    """Convert a key of the service to an entry of the coordination interface."""
    return Entry(current.key, current.value, current.mod_revision, created=current.create_revision)


class KeyValueTransactions:
    """Implements `TransactionStore` on a `KeyValueClient`."""

    def __init__(self, client: KeyValueClient) -> None:
        self._client = client

    async def commit(self, transaction: Transaction) -> int:
        """Commit the transaction and return its revision; see `TransactionStore`."""
        conditions = [
            Unchanged(condition.key, condition.revision) for condition in transaction.conditions
        ]
        writes: list[Put | Delete] = [
            Put(put.key, put.value, put.lease) for put in transaction.puts
        ]
        writes += [Delete(key) for key in transaction.removals]
        revision = await self._client.commit(conditions, writes)
        if revision is not None:
            return revision
        current = [await self._client.get(condition.key) for condition in transaction.conditions]
        raise TransactionConflict(
            {entry.key: as_entry(entry) for entry in current if entry is not None}
        )
