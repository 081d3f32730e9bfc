"""Makes suspects known to all processes: through the store, and by messages while it is away.

Owns what this process saw and the store has not taken. Relies on `SuspectStore` for the write, and
on the caller's `PeerTeller` for the messages.
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

STORE_PATIENCE_S = 0.3
"""A store that has not answered by then is away: the other processes are told directly."""
RETRY_BASE_S = 0.2
"""Longest pause, in seconds, after the first failed write; it doubles with each. Origin not
recorded."""
RETRY_CAP_S = 2.0
"""Seconds that the pause does not exceed. Origin not recorded."""

MOST_DROPPED = 16
"""So many that gave way are removed by one write; with more, the oldest stay until their time is
over."""

PeerTeller = Callable[[bytes], Awaitable[None]]
"""Sends bytes to all other processes; one that can't be reached is left out."""


class SuspectPublisher:
    """Brings what this process saw to all others.

    Explanation
    ===========

    One write makes a suspect known: every process follows the store's prefix of states, and the
    record outlives them all. While the store does not answer, the other processes are told by
    messages, once for each change, and the write is tried until it is done.

    Parameters
    ==========

    is_followed : whether every process follows the store; else peers are told of each change.
    """

    def __init__(
        self,
        store: SuspectStore,
        table: SuspectTable,
        tell_peers: PeerTeller,
        is_followed: bool = True,
    ) -> None:
        self._store = store
        self._table = table
        self._tell_peers = tell_peers
        self._is_followed = is_followed
        self._unannounced = SuspectNews()
        self._waiting: dict[str, SuspectRecord] = {}
        self._told: dict[str, SuspectRecord] = {}
        """What peers were told and the store has not taken, by fingerprint."""
        self._dropped: list[str] = []
        """Fingerprints that gave way to others and are to leave the store."""
        self._wake = asyncio.Event()

    def publish(self, fingerprint: str, record: SuspectRecord) -> None:
        """Make ends known; at once here, soon everywhere."""
        self._dropped += self._table.apply_unstored(fingerprint, record)
        del self._dropped[:-MOST_DROPPED]
        known = self._waiting.get(fingerprint)
        self._waiting[fingerprint] = record if known is None else known.with_crashes(record.ended)
        while len(self._waiting) > MAX_SUSPECTS:
            del self._waiting[next(iter(self._waiting))]
        self._wake.set()

    def withdraw(self, fingerprint: str) -> None:
        """It is no suspect any more."""
        self._waiting.pop(fingerprint, None)
        self._told.pop(fingerprint, None)

    def stored(self, fingerprint: str, record: SuspectRecord, revision: int) -> None:
        """The store holds a record in this state: take it, and announce it if need be."""
        self._table.apply_stored(fingerprint, record, revision)
        if not self._is_followed:
            self._unannounced.records[fingerprint] = record
            self._unannounced.revisions[fingerprint] = revision
            self._wake.set()

    def released(self, fingerprint: str) -> None:
        """It is no suspect any more: announce it if need be."""
        self.withdraw(fingerprint)
        if not self._is_followed:
            self._unannounced.records.pop(fingerprint, None)
            self._unannounced.released.append(fingerprint)
            self._wake.set()

    async def run(self) -> None:
        """Publish until cancelled."""
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        while True:
            await self._wake.wait()
            self._wake.clear()
            all_written = await self._write_all()
            await self._announce()
            if all_written:
                backoff.reset()
                continue
            await self._tell_news()
            await asyncio.sleep(backoff.next_delay())
            self._wake.set()

    async def _write_all(self) -> bool:
        """Write what waits; False if the store does not answer."""
        for fingerprint, record in list(self._waiting.items()):
            try:
                async with asyncio.timeout(STORE_PATIENCE_S):
                    await self._write(fingerprint, record)
            except (KeyValueError, TimeoutError) as error:
                log.warning(
                    "suspect_not_stored",
                    extra={"fingerprint": fingerprint, "error": type(error).__name__},
                )
                return False
            if self._waiting.get(fingerprint) == record:
                self.withdraw(fingerprint)
        return True

    async def _write(self, fingerprint: str, record: SuspectRecord) -> None:
        known = self._table.find(fingerprint)
        revision = known.revision if known is not None else ABSENT
        if known is not None and revision != ABSENT:
            record = known.record.with_crashes(record.ended)
        dropped = [one for one in self._dropped if one != fingerprint][:MOST_DROPPED]
        stored, revision = await self._store.add(fingerprint, record, revision, dropped)
        self._dropped = [one for one in self._dropped if one not in dropped]
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

    async def _announce(self) -> None:
        """Tell the other processes what the store holds, where they do not follow it."""
        news, self._unannounced = self._unannounced, SuspectNews()
        if news.records or news.released:
            await self._tell_peers(msgspec.msgpack.encode(news))

    async def _tell_news(self) -> None:
        """Tell the other processes what changed since they were told."""
        news = {
            fingerprint: record
            for fingerprint, record in self._waiting.items()
            if self._told.get(fingerprint) != record
        }
        if not news:
            return
        self._told |= news
        await self._tell_peers(msgspec.msgpack.encode(SuspectNews(news)))

    async def serve(self, raw: bytes) -> bytes:
        """Take what another process tells."""
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
