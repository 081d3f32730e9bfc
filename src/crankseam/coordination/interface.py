"""Interface of a linearizable key-value store with revisions, leases, watches and transactions.

Callers depend only on this interface; an adapter maps it to the protocol of a particular store.
Every failure is a `KeyValueError`: one of `crankseam.errors` or one of the subclasses below.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from crankseam.errors import KeyValueError

NO_LEASE = 0
"""Lease number of an entry that is bound to no lease and stays until it is removed."""
ABSENT = 0
"""In a `Condition`, the revision that stands for a key that does not exist."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value, as stored."""

    key: str
    value: bytes
    revision: int
    """Revision of the store at which this key was last changed."""
    lease: int = NO_LEASE
    created: int = 0
    """Revision of the store at which this key was created; 0 if it is not known."""


@dataclass(frozen=True, slots=True)
class Removal:
    """The removal of a key at `revision`."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Page:
    """A part of a prefix, in key order; the next page starts after the last key of this one."""

    entries: list[Entry]
    more: bool
    revision: int
    age_s: float = 0.0
    """Age of the entries in seconds at the time of the answer; 0 if the store itself answered."""


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes that a watch returned; the next watch continues after `revision`."""

    changes: list[Entry | Removal]
    revision: int
    age_s: float = 0.0
    """The result was complete this many seconds before the watch was requested; negative if it was
    still complete after the request."""


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that the key has this revision (`ABSENT`: that the key does not exist)."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes `value` under `key`, bound to `lease` unless this is `NO_LEASE`."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@dataclass(frozen=True, slots=True)
class Transaction:
    """Atomic: all puts and removals are done if every condition holds, otherwise none.

    A transaction has at most `MAX_TRANSACTION_ENTRIES` entries in total.
    """

    conditions: list[Condition] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    removals: list[str] = field(default_factory=list)


MAX_TRANSACTION_ENTRIES = 32
"""Number of entries per transaction that every store behind this interface accepts."""


@dataclass
class TransactionConflict(KeyValueError):
    """A condition of the transaction does not hold; nothing was done."""

    found: dict[str, Entry]
    """The current entries of the keys that the conditions name, without keys that do not exist."""


class LeaseExpired(KeyValueError):
    """The lease has expired or was ended, and the store has removed its keys."""


class HistoryCompacted(KeyValueError):
    """The store no longer keeps the changes after the given revision: read the prefix again."""


class WatchedStore(Protocol):
    """The calls that a follower of a prefix needs. Times are in seconds."""

    async def get(self, key: str) -> Entry | None:
        """Return the current entry of a key, or None; linearizable."""

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """Return one page of a prefix, starting after ``after_key``.

        Each page is linearizable, but several pages are not a consistent snapshot.
        """

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Return the changes after a revision as soon as there are any.

        If there are none within ``wait_s`` seconds, the result is empty.

        Raises
        ======

        HistoryCompacted : the prefix must be read again.
        """


class TransactionStore(Protocol):
    """The call that changes keys."""

    async def commit(self, transaction: Transaction) -> int:
        """Execute a transaction and return its revision.

        Raises
        ======

        TransactionConflict : nothing was done.
        LeaseExpired : the lease of a put does not exist any more; nothing was done.
        KeyValueUnavailable : nothing was done.
        KeyValueOutcomeUnknown : the transaction may have been done, or may be done seconds later.
        """


class GrantedLease(NamedTuple):
    """A new lease: its number, and its duration in seconds.

    The duration counts from the arrival of the call at the store.
    """

    number: int
    duration_s: float


class CoordinationStore(WatchedStore, TransactionStore, Protocol):
    """All calls of the store. Times are in seconds."""

    async def grant_lease(self, duration: float) -> GrantedLease:
        """Create a lease that expires unless it is renewed within its duration."""

    async def renew_lease(self, lease: int) -> float:
        """Renew a lease; return its duration in seconds from the arrival of the call at the store.

        Raises
        ======

        LeaseExpired : the lease does not exist any more.
        """

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove the keys that are bound to it."""


class PrefixReading(NamedTuple):
    """All entries of a prefix, and the revision from which a watch misses no change."""

    entries: list[Entry]
    revision: int


async def read_prefix(store: WatchedStore, prefix: str) -> PrefixReading:
    """Return the entries and the revision of `read_whole_prefix`."""
    whole = await read_whole_prefix(store, prefix)
    return PrefixReading(whole.entries, whole.revision)


async def read_whole_prefix(store: WatchedStore, prefix: str) -> Page:
    """Return all entries of a prefix as one page, with the revision and the age of its first page.

    The pages together are not a consistent snapshot, but a watch from this revision misses no
    change.
    """
    entries: list[Entry] = []
    first = await store.page(prefix)
    entries += first.entries
    page = first
    while page.more and page.entries:
        page = await store.page(prefix, page.entries[-1].key)
        entries += page.entries
    return Page(entries, False, first.revision, first.age_s)
