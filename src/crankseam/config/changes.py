"""Plans a change against the accepted configuration, and applies it whole or not at all.

Owns the order of writes: content-addressed parts first, then one transaction that swings the
pointer and writes the history entry. Relies on the key-value service's compare-and-swap; a lost
answer is settled by reading the history entry back.
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

SETTLE_ATTEMPTS = 20
"""Tries to learn what became of a write whose answer was lost: 10 s with the pause. Origin not
recorded."""
SETTLE_PAUSE_S = 0.5
"""Between two of them. Origin not recorded."""


@dataclass(frozen=True)
class Plan:
    """What applying the files would change.

    Attributes:
        base: the accepted pointer that the plan starts from, None before the first.
        base_mod_revision: the key-value service's revision of it; the apply swings the pointer
            only if it still stands at this one.
    """

    base: Pointer | None
    base_mod_revision: int
    parts: dict[str, bytes]
    changes: list[str]

    @property
    def base_revision(self) -> int:
        """Revision that the plan starts from."""
        return self.base.revision if self.base else 0


@dataclass(frozen=True)
class AcceptedPointer:
    """The accepted pointer and the service's revision of it; before the first, None and 0."""

    pointer: Pointer | None
    mod_revision: int


async def read_pointer(key_value: KeyValueClient) -> AcceptedPointer:
    """What is accepted now."""
    found = await key_value.get(POINTER_KEY)
    if found is None:
        return AcceptedPointer(None, 0)
    return AcceptedPointer(msgspec.json.decode(found.value, type=Pointer), found.mod_revision)


async def make_plan(key_value: KeyValueClient, documents: list[Document]) -> Plan:
    """Compare the documents with what is accepted."""
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
    """`~ Kind/name field: old -> new` for each differing leaf."""
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
    """Items with a name are compared by name, others as a whole."""
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
    """Write the parts, then swing the pointer.

    Returns:
        The pointer that is accepted now.

    Raises:
        ApplyConflict: another change was accepted since the plan; nothing of this one was.
        KeyValueUnavailable: nothing was accepted.
        KeyValueOutcomeUnknown: the service went away before it could be settled.
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
        swung = await key_value.transact([Unchanged(POINTER_KEY, plan.base_mod_revision)], writes)
    except KeyValueOutcomeUnknown:
        swung = await _settle(key_value, pointer)
    if not swung:
        raise await _conflict(key_value, plan)
    return pointer


async def _write_parts(key_value: KeyValueClient, plan: Plan) -> None:
    known = set(plan.base.parts.values()) if plan.base else set()
    for stored in plan.parts.values():
        address = content_address(stored)
        if address not in known:
            # Addressed by content: writing it twice, or a lost answer, does no harm.
            await _put_until_known(key_value, PART_PREFIX + address, stored)


async def _put_until_known(key_value: KeyValueClient, key: str, stored: bytes) -> None:
    for _attempt in range(SETTLE_ATTEMPTS):
        try:
            await key_value.transact([], [Put(key, stored)])
            return
        except KeyValueOutcomeUnknown:
            await asyncio.sleep(SETTLE_PAUSE_S)
    raise KeyValueUnavailable("a part could not be written; nothing was accepted")


async def _settle(key_value: KeyValueClient, pointer: Pointer) -> bool:
    """After a lost answer, read back under the revision's history whose apply it was."""
    key = f"{HISTORY_PREFIX}{pointer.revision:010d}"
    for _attempt in range(SETTLE_ATTEMPTS):
        try:
            found = await key_value.get(key)
        except KeyValueUnavailable:
            await asyncio.sleep(SETTLE_PAUSE_S)
            continue
        if found is None:
            return False
        return msgspec.json.decode(found.value, type=Pointer).apply_id == pointer.apply_id
    raise KeyValueOutcomeUnknown(
        f"revision {pointer.revision} may have been accepted; its apply id is {pointer.apply_id}"
    )


async def _conflict(key_value: KeyValueClient, plan: Plan) -> ApplyConflict | KeyValueUnavailable:
    current = (await read_pointer(key_value)).pointer
    if current is None or current.revision == plan.base_revision:
        return KeyValueUnavailable("the change was lost on its way; nothing was accepted")
    return ApplyConflict(
        planned_from=plan.base_revision,
        current=current.revision,
        winner=current.operator,
        winner_changes=current.changes,
        own_changes=plan.changes,
    )
