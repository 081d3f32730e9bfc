"""Interface of a linearizable key-value store with revisions, leases, watches and transactions.

The product's decisions are written against this interface; an adapter maps it to one store's wire.
Every failure is a `KeyValueError` of `crankseam.errors` or one of the two answers below.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from crankseam.errors import KeyValueError

NO_LEASE = 0
"""Lease of an entry that stays until it is removed."""
ABSENT = 0
"""Revision of a key that does not exist, in a `Condition`."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One key as the store holds it."""

    key: str
    value: bytes
    revision: int
    """The store's counter at the last change of this key."""
    lease: int = NO_LEASE
    created: int = 0
    """The store's counter at the creation of this key; 0 if that is not known."""


@dataclass(frozen=True, slots=True)
class Removal:
    """A key that was removed at `revision`."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """Part of a range; the next page starts after the last key of this one."""

    entries: list[Entry]
    more: bool
    revision: int
    age_s: float = 0.0
    """Seconds by which the answer was old when it was given; 0 from the store itself."""


@dataclass(frozen=True, slots=True)
class Changes:
    """What a watch saw; the next watch continues after `revision`."""

    changes: list[Entry | Removal]
    revision: int
    age_s: float = 0.0
    """Seconds before the question at which the answer held; negative if it held after it."""


@dataclass(frozen=True, slots=True)
class Condition:
    """The key's revision is this one (`ABSENT`: there is no such key)."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write `value` under `key`, bound to a lease if one is named."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Transaction:
    """Everything or nothing; at most `MAX_TRANSACTION_ENTRIES` entries altogether."""

    conditions: list[Condition] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    removals: list[str] = field(default_factory=list)


MAX_TRANSACTION_ENTRIES = 32
"""The least that any store behind this interface takes at once."""


@dataclass
class TransactionConflict(KeyValueError):
    """A condition does not hold; nothing was done."""

    found: dict[str, Entry]
    """The keys of the conditions that exist, as they are."""


class LeaseExpired(KeyValueError):
    """The lease is over, and its keys are gone."""


class HistoryCompacted(KeyValueError):
    """The changes after the asked revision are no longer kept: read the range anew."""


class WatchedStore(Protocol):
    """What following a prefix needs of the store. Times are seconds."""

    async def get(self, key: str) -> Entry | None:
        """The newest state of one key; linearizable."""

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """One page of a range; linearizable, but pages together are no snapshot."""

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Changes after a revision, as soon as there is one, or none after `wait_s` seconds.

        Raises
        ======

        HistoryCompacted : the range must be read again.
        """


class TransactionStore(Protocol):
    """What changing keys needs of the store."""

    async def commit(self, transaction: Transaction) -> int:
        """Do the transaction; returns its revision.

        Raises
        ======

        TransactionConflict : nothing was done.
        LeaseExpired : a lease named by a put is over; nothing was done.
        KeyValueUnavailable : nothing was done.
        KeyValueOutcomeUnknown : it may have been done, or may be done seconds later.
        """


class GrantedLease(NamedTuple):
    """A new lease: its number, and its duration in seconds from the arrival of the call."""

    number: int
    duration_s: float


class CoordinationStore(WatchedStore, TransactionStore, Protocol):
    """Typed access to the store. Times are seconds."""

    async def grant_lease(self, duration: float) -> GrantedLease:
        """A new lease."""

    async def renew_lease(self, lease: int) -> float:
        """Renew; returns the duration in seconds from the call's arrival. Raises LeaseExpired."""

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""


class PrefixReading(NamedTuple):
    """All entries of a prefix, and the revision from which a watch misses nothing."""

    entries: list[Entry]
    revision: int


async def read_prefix(store: WatchedStore, prefix: str) -> PrefixReading:
    """See read_whole_prefix."""
    whole = await read_whole_prefix(store, prefix)
    return PrefixReading(whole.entries, whole.revision)


async def read_whole_prefix(store: WatchedStore, prefix: str) -> Page:
    """All entries of a prefix in one page, with the revision and age of the first one.

    A watch from that revision misses nothing, though pages together are no snapshot.
    """
    entries: list[Entry] = []
    first = await store.page(prefix)
    entries += first.entries
    page = first
    while page.more and page.entries:
        page = await store.page(prefix, page.entries[-1].key)
        entries += page.entries
    return Page(entries, False, first.revision, first.age_s)
