"""Configuration register: the region's newest revision and its content, as replicated records.

This module defines the keys and the encoding of the two records. The proposer reads and writes them
through a majority of the slot's replicas. The revision of either record never decreases.
"""

from __future__ import annotations

import msgspec

from crankseam.config.snapshot import StoredSnapshot
from crankseam.records.proposer import Proposer, RecordKey
from crankseam.records.replica import UNDATED
from crankseam.records.slots import CONFIGURATION_KEY, CONFIGURATION_SLOT

REVISION_RECORD = RecordKey(CONFIGURATION_SLOT, CONFIGURATION_KEY, UNDATED)
CONTENT_RECORD = RecordKey(CONFIGURATION_SLOT, "configuration-content", UNDATED)


class ConfigurationRegister:
    """Reads and advances the region's configuration revision."""

    def __init__(self, proposer: Proposer) -> None:
        self._proposer = proposer

    async def publish(self, stored: StoredSnapshot) -> None:
        """Make a revision the region's newest, unless the register holds this or a newer one.

        The content is written before the number, so that a node which reads the number also finds
        the content.

        Raises:
            RecordError: no majority of the replicas answered; the call may be repeated.
        """
        encoded = msgspec.msgpack.encode(stored)
        await self._proposer.change(
            CONTENT_RECORD, lambda standing: _newer_snapshot(standing, encoded)
        )
        revision = stored.pointer.revision
        await self._proposer.change(
            REVISION_RECORD, lambda standing: _newer_revision(standing, revision)
        )

    async def read_revision(self) -> int:
        """The newest revision according to a majority of the replicas; 0 before the first one.

        Raises:
            RecordError: no majority of the replicas answered.
        """
        value = await self._proposer.read(REVISION_RECORD)
        return msgspec.msgpack.decode(value, type=int) if value else 0

    async def read_content(self) -> StoredSnapshot | None:
        """The newest revision with its documents; None before the first one.

        Raises:
            RecordError: no majority of the replicas answered.
        """
        value = await self._proposer.read(CONTENT_RECORD)
        return msgspec.msgpack.decode(value, type=StoredSnapshot) if value is not None else None


def _newer_snapshot(standing: bytes | None, encoded: bytes) -> bytes | None:
    if standing is None:
        return encoded
    old = msgspec.msgpack.decode(standing, type=StoredSnapshot)
    new = msgspec.msgpack.decode(encoded, type=StoredSnapshot)
    return encoded if new.pointer.revision > old.pointer.revision else None


def _newer_revision(standing: bytes | None, revision: int) -> bytes | None:
    held = msgspec.msgpack.decode(standing, type=int) if standing else 0
    return msgspec.msgpack.encode(revision) if revision > held else None
