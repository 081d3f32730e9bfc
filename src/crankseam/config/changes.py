"""Plans a change against the accepted configuration and applies it atomically.

The content-addressed parts are written first. One transaction then updates the pointer and writes
the history entry. Its condition on the pointer relies on the compare-and-swap of the key-value
service. If the response to the transaction is lost, the history entry is read back to determine
whether it was committed.
"""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import msgspec

from crankseam.clients.key_value import Delete, KeyValueClient, Put, Unchanged
from crankseam.config.kinds import Document
from crankseam.config.snapshot import Pointer, content_address, encode_parts
from crankseam.constants import HISTORY_PREFIX, PART_PREFIX, POINTER_KEY
from crankseam.errors import ApplyConflict, KeyValueOutcomeUnknown, KeyValueUnavailable

RETRY_ATTEMPTS = 20
"""Attempts to repeat or read back a write whose response was lost.

With `RETRY_INTERVAL_S` between them, the pauses add up to 10 s.
"""
RETRY_INTERVAL_S = 0.5
"""Pause after an unsuccessful attempt."""


@dataclass(frozen=True)
class Plan:
    """What applying the files would change.

    Attributes:
        base: the accepted pointer that the plan was compared with, None if there was none.
        base_mod_revision: the revision at which the key-value service last modified the pointer
            key; the pointer is updated only if the key is still at this revision.
        parts: `Kind/name` to the stored bytes of each document.
        changes: readable lines that describe the differences from `base`.
    """

    base: Pointer | None
    base_mod_revision: int
    parts: dict[str, bytes]
    changes: list[str]

    @property
    def base_revision(self) -> int:
        """Configuration revision of `base`, 0 if there is none."""
        return self.base.revision if self.base else 0


@dataclass(frozen=True)
class AcceptedPointer:
    """The accepted pointer and the modification revision of its key.

    They are None and 0 if no configuration has been accepted yet.
    """

    pointer: Pointer | None
    mod_revision: int


async def read_pointer(key_value: KeyValueClient) -> AcceptedPointer:
    """Read the accepted pointer from the key-value service."""
    found = await key_value.get(POINTER_KEY)
    if found is None:
        return AcceptedPointer(None, 0)
    return AcceptedPointer(msgspec.json.decode(found.value, type=Pointer), found.mod_revision)


async def make_plan(key_value: KeyValueClient, documents: list[Document]) -> Plan:
    """Compare the documents with the accepted configuration."""
    accepted = await read_pointer(key_value)
    parts = encode_parts(documents)
    changes = await _describe_changes(key_value, accepted.pointer, parts)
    return Plan(accepted.pointer, accepted.mod_revision, parts, changes)


async def _describe_changes(
    key_value: KeyValueClient, base: Pointer | None, parts: dict[str, bytes]
) -> list[str]:
    old_addresses = base.parts if base else {}
    lines = [f"- {key}" for key in sorted(old_addresses.keys() - parts.keys())]
    lines += [f"+ {key}" for key in sorted(parts.keys() - old_addresses.keys())]
    for key in sorted(parts.keys() & old_addresses.keys()):
        if content_address(parts[key]) == old_addresses[key]:
            continue
        found = await key_value.get(PART_PREFIX + old_addresses[key])
        old = msgspec.json.decode(found.value) if found else {}
        lines += _field_changes(key, old, msgspec.json.decode(parts[key]))
    return lines


def _field_changes(key: str, old: Any, new: Any, path: str = "") -> list[str]:
    """Return a line `~ Kind/name field: old -> new` for each leaf value that differs."""
    if isinstance(old, dict) and isinstance(new, dict):
        lines = []
        for field in sorted(old.keys() | new.keys()):
            inner = f"{path}.{field}" if path else field
            lines += _field_changes(key, old.get(field), new.get(field), inner)
        return lines
    if isinstance(old, list) and isinstance(new, list):
        return _list_changes(key, old, new, path)
    return [] if old == new else [f"~ {key} {path}: {old!r} -> {new!r}"]


def _list_changes(key: str, old: list, new: list, path: str) -> list[str]:
    """Compare lists item by item if every item has a name, otherwise as a whole."""
    if not all(isinstance(item, dict) and "name" in item for item in [*old, *new]):
        return [] if old == new else [f"~ {key} {path}: {old!r} -> {new!r}"]
    old_named = {item["name"]: item for item in old}
    new_named = {item["name"]: item for item in new}
    lines = [f"~ {key} {path}: - {name}" for name in sorted(old_named.keys() - new_named.keys())]
    lines += [f"~ {key} {path}: + {name}" for name in sorted(new_named.keys() - old_named.keys())]
    for name in sorted(old_named.keys() & new_named.keys()):
        lines += _field_changes(key, old_named[name], new_named[name], f"{path}[{name}]")
    return lines


async def apply_plan(key_value: KeyValueClient, plan: Plan, operator: str) -> Pointer:
    """Write the parts, then update the pointer in one transaction.

    Returns:
        The pointer that was accepted.

    Raises:
        ApplyConflict: another change was accepted after the plan was made; this one was not.
        KeyValueUnavailable: the change was not accepted, because the service was unavailable or
            the transaction was not committed.
        KeyValueOutcomeUnknown: the service became unavailable before the outcome of the
            transaction could be read back.
    """
    pointer = Pointer(
        revision=plan.base_revision + 1,
        apply_id=str(uuid.uuid4()),
        parts={key: content_address(stored) for key, stored in plan.parts.items()},
        operator=operator,
        applied_at=datetime.now(UTC).isoformat(timespec="seconds"),
        changes=plan.changes,
    )
    await _write_parts(key_value, plan)
    encoded = msgspec.json.encode(pointer)
    writes: list[Put | Delete] = [
        Put(POINTER_KEY, encoded),
        Put(f"{HISTORY_PREFIX}{pointer.revision:010d}", encoded),
    ]
    try:
        committed = await key_value.transact(
            [Unchanged(POINTER_KEY, plan.base_mod_revision)], writes
        )
    except KeyValueOutcomeUnknown:
        committed = await _was_committed(key_value, pointer)
    if not committed:
        raise await _conflict_error(key_value, plan)
    return pointer


async def _write_parts(key_value: KeyValueClient, plan: Plan) -> None:
    stored_addresses = set(plan.base.parts.values()) if plan.base else set()
    for stored in plan.parts.values():
        address = content_address(stored)
        if address not in stored_addresses:
            # Parts are content-addressed, so repeating a write whose response was lost is harmless.
            await _put_with_retries(key_value, PART_PREFIX + address, stored)


async def _put_with_retries(key_value: KeyValueClient, key: str, stored: bytes) -> None:
    for _attempt in range(RETRY_ATTEMPTS):
        try:
            await key_value.transact([], [Put(key, stored)])
            return
        except KeyValueOutcomeUnknown:
            await asyncio.sleep(RETRY_INTERVAL_S)
    raise KeyValueUnavailable("a part could not be written; nothing was accepted")


async def _was_committed(key_value: KeyValueClient, pointer: Pointer) -> bool:
    """Return whether the transaction was committed, after its response was lost.

    The history entry of the revision holds the apply id of the accepted change. If there is no
    entry, no change has been accepted under this revision.
    """
    key = f"{HISTORY_PREFIX}{pointer.revision:010d}"
    for _attempt in range(RETRY_ATTEMPTS):
        try:
            found = await key_value.get(key)
        except KeyValueUnavailable:
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        if found is None:
            return False
        return msgspec.json.decode(found.value, type=Pointer).apply_id == pointer.apply_id
    raise KeyValueOutcomeUnknown(
        f"revision {pointer.revision} may have been accepted; its apply id is {pointer.apply_id}"
    )


async def _conflict_error(
    key_value: KeyValueClient, plan: Plan
) -> ApplyConflict | KeyValueUnavailable:
    current = (await read_pointer(key_value)).pointer
    if current is None or current.revision == plan.base_revision:
        return KeyValueUnavailable("the transaction was not committed; nothing was accepted")
    return ApplyConflict(
        planned_from=plan.base_revision,
        current=current.revision,
        winner=current.operator,
        winner_changes=current.changes,
        own_changes=plan.changes,
    )
