"""Messages by which a process makes a store call through a peer.

The field names, the names of the calls and the names of the error classes are part of the wire
format and must not change.
"""

from __future__ import annotations

import msgspec

from crankseam.coordination.interface import (
    Condition,
    CoordinationStore,
    Entry,
    HistoryCompacted,
    LeaseExpired,
    Put,
    Removal,
    Transaction,
    TransactionConflict,
)
from crankseam.errors import (
    KeyValueError,
    KeyValueOutcomeUnknown,
    KeyValueThrottled,
    KeyValueUnavailable,
)

_ERRORS: dict[str, type[KeyValueError]] = {
    error.__name__: error
    for error in (
        KeyValueError,
        KeyValueUnavailable,
        KeyValueThrottled,
        KeyValueOutcomeUnknown,
        LeaseExpired,
        HistoryCompacted,
    )
}
"""Error classes without fields, by their names on the wire."""


class RelayCall(msgspec.Struct, frozen=True):
    """A call of the `CoordinationStore` interface; each kind of call uses only some of the fields.

    Attributes
    ==========

    name : name of the method.
    key : key, or prefix of a page or a watch.
    wait, duration : in seconds.
    """

    name: str
    key: str = ""
    after_key: str = ""
    after_revision: int = 0
    wait: float = 0.0
    conditions: list[Condition] = []
    puts: list[Put] = []
    removals: list[str] = []
    lease: int = 0
    duration: float = 0.0


class RelayAnswer(msgspec.Struct, frozen=True):
    """The result of a `RelayCall`.

    Attributes
    ==========

    error : name of the error class; empty if the call succeeded.
    entries : the entries that were read; after a TransactionConflict, the current entries of the
        keys that its conditions name.
    duration : in seconds.
    """

    error: str = ""
    entries: list[Entry] = []
    removals: list[Removal] = []
    more: bool = False
    revision: int = 0
    lease: int = 0
    duration: float = 0.0


async def perform(store: CoordinationStore, call: RelayCall) -> RelayAnswer:
    """Make a call; an error of the store is returned as part of the answer."""
    try:
        return await _perform(store, call)
    except TransactionConflict as conflict:
        return RelayAnswer(TransactionConflict.__name__, entries=list(conflict.found.values()))
    except KeyValueError as error:
        name = type(error).__name__
        return RelayAnswer(name if name in _ERRORS else KeyValueError.__name__)


async def _perform(store: CoordinationStore, call: RelayCall) -> RelayAnswer:
    match call.name:
        case "get":
            entry = await store.get(call.key)
            return RelayAnswer(entries=[entry] if entry is not None else [])
        case "page":
            page = await store.page(call.key, call.after_key)
            return RelayAnswer(entries=page.entries, more=page.more, revision=page.revision)
        case "watch":
            result = await store.watch(call.key, call.after_revision, call.wait)
            entries = [change for change in result.changes if isinstance(change, Entry)]
            removals = [change for change in result.changes if isinstance(change, Removal)]
            return RelayAnswer(entries=entries, removals=removals, revision=result.revision)
        case "commit":
            transaction = Transaction(call.conditions, call.puts, call.removals)
            return RelayAnswer(revision=await store.commit(transaction))
        case "grant_lease":
            lease, duration_s = await store.grant_lease(call.duration)
            return RelayAnswer(lease=lease, duration=duration_s)
        case "renew_lease":
            return RelayAnswer(duration=await store.renew_lease(call.lease))
        case "end_lease":
            await store.end_lease(call.lease)
            return RelayAnswer()
    return RelayAnswer(KeyValueError.__name__)


def raise_error(answer: RelayAnswer) -> None:
    """Raise the error that an answer contains, if any."""
    if answer.error == TransactionConflict.__name__:
        raise TransactionConflict({entry.key: entry for entry in answer.entries})
    if answer.error:
        raise _ERRORS.get(answer.error, KeyValueError)("through a peer")
