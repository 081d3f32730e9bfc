"""Publishes suspects to all processes through the store, and by messages while it is unavailable.

Owns the records that this process created and the store has not taken yet. Relies on `SuspectStore`
for the writes, and on the caller's `PeerBroadcast` for the messages.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import msgspec

from crankseam.backoff import Backoff
from crankseam.coordination.interface import ABSENT
from crankseam.errors import KeyValueError
from crankseam.quarantine.model import SuspectNews, SuspectRecord
from crankseam.quarantine.suspect_store import SuspectStore
from crankseam.quarantine.table import MAX_SUSPECTS, SuspectTable

log = logging.getLogger(__name__)

STORE_TIMEOUT_S = 0.3
"""Time limit of a write. A store that does not answer within it counts as unavailable, and the
record is sent to the other processes directly."""
RETRY_BASE_S = 0.2
"""Upper bound of the random pause after the first failed write; it doubles with each failure."""
RETRY_CAP_S = 2.0
"""Limit of that upper bound."""

MAX_EVICTIONS = 16
"""Number of evicted suspects that one write removes from the store. If more were evicted since the
last write, the oldest stay in the store until their retention is over."""

PeerBroadcast = Callable[[bytes], Awaitable[None]]
"""Sends bytes to all other processes; processes that cannot be reached are skipped."""


class SuspectPublisher:
    """Publishes the crashes seen by this process to all others.

    Explanation
    ===========

    One write makes a suspect known to all processes that follow the store's state prefix, and the
    stored record survives their restarts. While the store does not answer, each change is sent once
    to the other processes in a message, and the write is retried until it succeeds.

    Parameters
    ==========

    is_followed : whether every process follows the store. If not, each change that the store has
        taken is also sent to the peers.
    """

    def __init__(
        self,
        store: SuspectStore,
        table: SuspectTable,
        broadcast: PeerBroadcast,
        is_followed: bool = True,
    ) -> None:
        self._store = store
        self._table = table
        self._broadcast = broadcast
        self._is_followed = is_followed
        self._unsent_news = SuspectNews()
        self._unwritten: dict[str, SuspectRecord] = {}
        self._sent_records: dict[str, SuspectRecord] = {}
        """Records sent to peers that the store has not taken yet, by fingerprint."""
        self._evicted: list[str] = []
        """Fingerprints evicted from the table that still have to be removed from the store."""
        self._wake = asyncio.Event()

    def publish(self, fingerprint: str, record: SuspectRecord) -> None:
        """Adds a record's crashes to the table and queues them for the store and the peers."""
        self._evicted += self._table.apply_unstored(fingerprint, record)
        del self._evicted[:-MAX_EVICTIONS]
        known = self._unwritten.get(fingerprint)
        self._unwritten[fingerprint] = record if known is None else known.with_crashes(record.ended)
        while len(self._unwritten) > MAX_SUSPECTS:
            del self._unwritten[next(iter(self._unwritten))]
        self._wake.set()

    def discard_unwritten(self, fingerprint: str) -> None:
        """Drops the record that is queued for the store, if any."""
        self._unwritten.pop(fingerprint, None)
        self._sent_records.pop(fingerprint, None)

    def stored(self, fingerprint: str, record: SuspectRecord, revision: int) -> None:
        """Applies a record that the store now holds, and queues it for the peers if they do not
        follow the store."""
        self._table.apply_stored(fingerprint, record, revision)
        if not self._is_followed:
            self._unsent_news.records[fingerprint] = record
            self._unsent_news.revisions[fingerprint] = revision
            self._wake.set()

    def released(self, fingerprint: str) -> None:
        """Drops a released suspect's queued record, and queues its release for the peers if they do
        not follow the store."""
        self.discard_unwritten(fingerprint)
        if not self._is_followed:
            self._unsent_news.records.pop(fingerprint, None)
            self._unsent_news.released.append(fingerprint)
            self._wake.set()

    async def run(self) -> None:
        """Publishes queued records until cancelled."""
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        while True:
            await self._wake.wait()
            self._wake.clear()
            all_written = await self._write_records()
            await self._broadcast_stored()
            if all_written:
                backoff.reset()
                continue
            await self._broadcast_unwritten()
            await asyncio.sleep(backoff.next_delay())
            self._wake.set()

    async def _write_records(self) -> bool:
        """Writes the queued records to the store; returns False after the first failed write."""
        for fingerprint, record in list(self._unwritten.items()):
            try:
                async with asyncio.timeout(STORE_TIMEOUT_S):
                    await self._write(fingerprint, record)
            except (KeyValueError, TimeoutError) as error:
                log.warning(
                    "suspect_not_stored",
                    extra={"fingerprint": fingerprint, "error": type(error).__name__},
                )
                return False
            if self._unwritten.get(fingerprint) == record:
                self.discard_unwritten(fingerprint)
        return True

    async def _write(self, fingerprint: str, record: SuspectRecord) -> None:
        known = self._table.find(fingerprint)
        revision = known.revision if known is not None else ABSENT
        if known is not None and revision != ABSENT:
            record = known.record.with_crashes(record.ended)
        evicted = [other for other in self._evicted if other != fingerprint][:MAX_EVICTIONS]
        stored, revision = await self._store.add(fingerprint, record, revision, evicted)
        self._evicted = [other for other in self._evicted if other not in evicted]
        self.stored(fingerprint, stored, revision)
        log.info(
            "suspect_stored",
            extra={
                "fingerprint": fingerprint,
                "route": stored.route,
                "tenant": stored.tenant,
                "ended": stored.ended,
                "probes": stored.probes,
            },
        )

    async def _broadcast_stored(self) -> None:
        """Sends stored and released suspects to processes that do not follow the store."""
        news, self._unsent_news = self._unsent_news, SuspectNews()
        if news.records or news.released:
            await self._broadcast(msgspec.msgpack.encode(news))

    async def _broadcast_unwritten(self) -> None:
        """Sends the queued records that have changed since they were last sent to the peers."""
        news = {
            fingerprint: record
            for fingerprint, record in self._unwritten.items()
            if self._sent_records.get(fingerprint) != record
        }
        if not news:
            return
        self._sent_records |= news
        await self._broadcast(msgspec.msgpack.encode(SuspectNews(news)))

    async def handle_message(self, raw: bytes) -> bytes:
        """Applies an encoded `SuspectNews` from another process; the answer is empty."""
        news = msgspec.msgpack.decode(raw, type=SuspectNews)
        for fingerprint, record in news.records.items():
            revision = news.revisions.get(fingerprint, ABSENT)
            if revision == ABSENT:
                self._table.apply_unstored(fingerprint, record)
            else:
                self._table.apply_stored(fingerprint, record, revision)
        for fingerprint in news.released:
            self._table.remove(fingerprint)
        return b""
