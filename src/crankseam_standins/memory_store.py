"""An in-memory coordination store with revisions, leases, watches and fault injection.

Implements `crankseam.coordination.interface.CoordinationStore`. All clients in one process share
one instance; `crankseam_platform_standins.store_server` serves it over the platform's protocol.
Durations are in seconds of the monotonic clock. An expired lease is removed at the next call.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from crankseam.coordination.interface import (
    Changes,
    Entry,
    GrantedLease,
    HistoryCompacted,
    LeaseExpired,
    Page,
    Removal,
    Transaction,
    TransactionConflict,
)
from crankseam.errors import KeyValueOutcomeUnknown, KeyValueUnavailable

PAGE_ENTRIES = 3
"""Small, so that tests have to read more than one page."""


@dataclass
class Faults:
    """Active faults of the store, which tests and the store server set directly."""

    down: bool = False
    lose_answers: int = 0
    """Number of next transactions that are applied but end with an unknown outcome."""
    late: int = 0
    """Number of next transactions that end with an unknown outcome and wait for `release_late`."""
    compacted: bool = False
    deaf: bool = False
    """Whether new watches block forever without returning changes."""
    hears_nothing: bool = False
    """Whether watches omit all changes and so return an empty result when they time out."""


@dataclass
class MemoryStore:
    """In-memory coordination store, shared by all its clients in one process."""

    faults: Faults = field(default_factory=Faults)
    revision: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)
    log: list[Entry | Removal] = field(default_factory=list)
    calls: int = 0

    def __post_init__(self) -> None:
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._delayed: list[Transaction] = []

    # --- faults

    def release_late(self) -> None:
        """Apply the delayed transactions whose conditions still hold and discard the others."""
        late, self._delayed = self._delayed, []
        for transaction in late:
            if not self._conflict(transaction):
                self._apply(transaction)

    def expire_lease(self, lease: int) -> None:
        """End a lease immediately and remove its keys."""
        self._leases.pop(lease, None)
        for key in [key for key, entry in self.entries.items() if entry.lease == lease]:
            self._remove(key)

    def force(self, transaction: Transaction) -> None:
        """Apply a transaction immediately, ignoring its conditions and the injected faults.

        For writers that the faults must not affect: operators, discovery and trainers.
        """
        self._apply(transaction)

    # --- CoordinationStore

    def _begin_call(self) -> None:
        self.calls += 1
        if self.faults.down:
            raise KeyValueUnavailable("the store is down")
        now = time.monotonic()
        for lease, (end, _) in list(self._leases.items()):
            if end < now:
                self.expire_lease(lease)

    async def get(self, key: str) -> Entry | None:
        """See CoordinationStore."""
        await asyncio.sleep(0)
        self._begin_call()
        return self.entries.get(key)

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """See CoordinationStore."""
        await asyncio.sleep(0)
        self._begin_call()
        keys = sorted(key for key in self.entries if key.startswith(prefix) and key > after_key)
        found = [self.entries[key] for key in keys[:PAGE_ENTRIES]]
        return Page(found, len(keys) > PAGE_ENTRIES, self.revision)

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """See CoordinationStore."""
        end = time.monotonic() + wait_s
        if self.faults.deaf:
            await asyncio.Event().wait()
        while True:
            await asyncio.sleep(0)
            self._begin_call()
            if self.faults.compacted:
                self.faults.compacted = False
                raise HistoryCompacted(prefix)
            found = [
                change
                for change in self.log
                if change.revision > after_revision and change.key.startswith(prefix)
            ]
            if self.faults.hears_nothing:
                found = []
            if found or time.monotonic() >= end:
                return Changes(found, self.revision)
            self._changed.clear()
            try:
                async with asyncio.timeout(min(0.02, max(0.0, end - time.monotonic()))):
                    await self._changed.wait()
            except TimeoutError:
                pass  # check again whether the wait is over

    async def commit(self, transaction: Transaction) -> int:
        """See CoordinationStore."""
        await asyncio.sleep(0)
        self._begin_call()
        if self.faults.late:
            self.faults.late -= 1
            self._delayed.append(transaction)
            raise KeyValueOutcomeUnknown("late")
        conflict = self._conflict(transaction)
        if conflict is not None:
            raise conflict
        for put in transaction.puts:
            if put.lease and put.lease not in self._leases:
                raise LeaseExpired(str(put.lease))
        revision = self._apply(transaction)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise KeyValueOutcomeUnknown("the response was lost")
        return revision

    def _conflict(self, transaction: Transaction) -> TransactionConflict | None:
        found = {
            condition.key: self.entries[condition.key]
            for condition in transaction.conditions
            if condition.key in self.entries
        }
        for condition in transaction.conditions:
            entry = self.entries.get(condition.key)
            if (entry.revision if entry is not None else 0) != condition.revision:
                return TransactionConflict(found)
        return None

    def _apply(self, transaction: Transaction) -> int:
        self.revision += 1
        for put in transaction.puts:
            known = self.entries.get(put.key)
            created = known.created if known is not None else self.revision
            entry = Entry(put.key, put.value, self.revision, put.lease, created)
            self.entries[put.key] = entry
            self.log.append(entry)
        for key in transaction.removals:
            if key in self.entries:
                self._remove(key, self.revision)
        self._changed.set()
        return self.revision

    def _remove(self, key: str, revision: int = 0) -> None:
        if not revision:
            self.revision += 1
            revision = self.revision
        del self.entries[key]
        self.log.append(Removal(key, revision))
        self._changed.set()

    async def grant_lease(self, duration: float) -> GrantedLease:
        """See CoordinationStore."""
        await asyncio.sleep(0)
        self._begin_call()
        number = next(self._lease_numbers)
        self._leases[number] = (time.monotonic() + duration, duration)
        return GrantedLease(number, duration)

    async def renew_lease(self, lease: int) -> float:
        """See CoordinationStore."""
        await asyncio.sleep(0)
        self._begin_call()
        if lease not in self._leases:
            raise LeaseExpired(str(lease))
        duration = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + duration, duration)
        return duration

    async def end_lease(self, lease: int) -> None:
        """See CoordinationStore."""
        await asyncio.sleep(0)
        self._begin_call()
        self.expire_lease(lease)
