"""Transactions of the coordination interface on the key-value service.

Owns nothing: it lets `quarantine/` write through `crankseam node`'s client as it does through the
store of the users' platform. A conflict tells what stands now, at the price of one read a key.
"""

from __future__ import annotations

from crankseam.clients.key_value import Delete, KeyValue, KeyValueClient, Put, Unchanged
from crankseam.coordination.interface import Entry, Transaction, TransactionConflict


def as_entry(found: KeyValue) -> Entry:
    """A key of the service as the coordination interface shows it."""
    return Entry(found.key, found.value, found.mod_revision, created=found.create_revision)


class KeyValueTransactions:
    """See TransactionStore."""

    def __init__(self, client: KeyValueClient) -> None:
        self._client = client

    async def commit(self, transaction: Transaction) -> int:
        """See TransactionStore."""
        conditions = [Unchanged(one.key, one.revision) for one in transaction.conditions]
        writes: list[Put | Delete] = [
            Put(one.key, one.value, one.lease) for one in transaction.puts
        ]
        writes += [Delete(key) for key in transaction.removals]
        revision = await self._client.commit(conditions, writes)
        if revision is not None:
            return revision
        found = [await self._client.get(one.key) for one in transaction.conditions]
        raise TransactionConflict({one.key: as_entry(one) for one in found if one is not None})
