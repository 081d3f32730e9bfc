"""Transactions of the coordination interface on the key-value service.

This adapter lets `quarantine/` write through the client of `crankseam node` in the same way as
through the store of the users' platform. After a conflict it reads the current entry of each
condition's key, which costs one request per key.
"""

from __future__ import annotations

from crankseam.clients.key_value import Delete, KeyValue, KeyValueClient, Put, Unchanged
from crankseam.coordination.interface import Entry, Transaction, TransactionConflict


def entry_from_key_value(key_value: KeyValue) -> Entry:
    """Convert a key of the service to an entry of the coordination interface."""
    return Entry(
        key_value.key,
        key_value.value,
        key_value.mod_revision,
        created=key_value.create_revision,
    )


class KeyValueTransactions:
    """Implements `TransactionStore` on a `KeyValueClient`."""

    def __init__(self, client: KeyValueClient) -> None:
        self._client = client

    async def commit(self, transaction: Transaction) -> int:
        """Commit the transaction and return its revision; see `TransactionStore`."""
        conditions = [Unchanged(one.key, one.revision) for one in transaction.conditions]
        writes: list[Put | Delete] = [
            Put(one.key, one.value, one.lease) for one in transaction.puts
        ]
        writes += [Delete(key) for key in transaction.removals]
        revision = await self._client.commit(conditions, writes)
        if revision is not None:
            return revision
        current = [await self._client.get(one.key) for one in transaction.conditions]
        raise TransactionConflict(
            {one.key: entry_from_key_value(one) for one in current if one is not None}
        )
