"""Keeps an up-to-date copy of one prefix of the coordination store, through every failure of it.

Owns the copy, the revision up to which it is complete, and the time at which it was confirmed:
whoever relies on the copy looks how old that is. Relies on a way to the store, or to processes that
watch it for this one. A copy whose store is out of reach stays as it is, and its age grows.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.coordination.feed import PrefixFeed
from crankseam.coordination.interface import (
    Changes,
    Entry,
    HistoryCompacted,
    Removal,
    WatchedStore,
    read_whole_prefix,
)
from crankseam.errors import KeyValueError

log = logging.getLogger(__name__)

WATCH_S = 2.0
"""Seconds after which a watch that saw nothing is asked anew, where no other time is given: it
bounds what a stale watch can hide, one that waits at the store and misses changes."""
ANSWER_SLACK_S = 0.5
"""A watch that is not answered this long after its end is given up: without it, a stale watch hid a
change for 4.8 s. Origin of the figure not recorded."""
RETRY_BASE_S = 0.1
"""Longest pause after a first failure; it doubles with each further one. Origin not recorded."""
RETRY_CAP_S = 1.6
"""The most to which the pause grows: well below the time after an outage in which a process must be
up to date again. 0.8 s cost calls on a day on which a third of the processes were refused."""

ChangeHandler = Callable[[str, Entry | None], None]


class PrefixFollower:
    """Follows a prefix by range and watch.

    Parameters
    ==========

    on_change : called with a key and its entry, or None when the key is gone.
    wait_s : longest time of one watch; with the slack it must stay below the time after which
        this process counts as up to date again.
    settle_s : pause after a watch that saw changes, so that many changes cost one call.

    Attributes
    ==========

    entries : the copy, by key.
    revision : the copy is complete up to this revision of the store.
    feed : where other processes follow what this one takes, if they do.
    confirmed_at : when a call was sent whose answer showed this copy complete, in seconds of the
        clock that counts suspended time.
    """

    def __init__(
        self,
        store: WatchedStore,
        prefix: str,
        on_change: ChangeHandler,
        wait_s: float = WATCH_S,
        settle_s: float = 0.0,
    ) -> None:
        self._store = store
        self.prefix = prefix
        self._on_change = on_change
        self._listeners: list[tuple[str, ChangeHandler]] = []
        self._wait_s = wait_s
        self._settle_s = settle_s
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self._synchronized = asyncio.Event()
        self._watching: asyncio.Task[Changes] | None = None
        self._must_hurry = asyncio.Event()
        self.feed: PrefixFeed | None = None
        self.confirmed_at = float("-inf")

    def listen(self, prefix: str, on_change: ChangeHandler) -> None:
        """Also call a handler for the changes below a longer prefix."""
        self._listeners.append((prefix, on_change))

    def _changed(self, key: str, entry: Entry | None) -> None:
        self._on_change(key, entry)
        for prefix, on_change in self._listeners:
            if key.startswith(prefix):
                on_change(key, entry)

    @property
    def synchronized(self) -> bool:
        """Whether the prefix has been read at least once."""
        return self._synchronized.is_set()

    async def wait_synchronized(self) -> None:
        """Return once the prefix has been read for the first time."""
        await self._synchronized.wait()

    def restart(self) -> None:
        """Ask anew at once: the store was out of reach, and a waiting watch may be stale.

        A pause after failures ends, too: by its longest draw (1.6 s) and one silent peer before it
        a change came 3.5 s late, of 2.0 s allowed.
        """
        self._must_hurry.set()
        if self._watching is not None:
            self._watching.cancel()

    async def run(self) -> None:
        """Follow until cancelled."""
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        must_read = True
        while True:
            began_at = time.monotonic()
            self._must_hurry.clear()
            try:
                if must_read:
                    await self._read_all()
                    must_read = False
                await self._watch_once()
                backoff.reset()
            except HistoryCompacted:
                log.warning("history_compacted", extra={"prefix": self.prefix})
                must_read = True
            except KeyValueError as error:
                log.warning(
                    "follow_failed",
                    extra={"prefix": self.prefix, "error": type(error).__name__},
                )
                # A failure that took its time was pause enough: most such are silent peers.
                passed_s = time.monotonic() - began_at
                await self._pause(backoff.next_delay() - passed_s)

    async def _pause(self, longest_s: float) -> None:
        """Wait; not on once this follower is asked to hurry."""
        if longest_s > 0.0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._must_hurry.wait(), longest_s)

    async def _read_all(self) -> None:
        asked_at = clocks.promised_s()
        whole = await read_whole_prefix(self._store, self.prefix)
        found = {entry.key for entry in whole.entries}
        for key in [key for key in self.entries if key not in found]:
            self._remove(key)
        for entry in whole.entries:
            self._take(entry)
        self.revision = whole.revision
        self.confirmed_at = asked_at - whole.age_s
        if self.feed is not None:
            self.feed.restart(whole.revision, self.confirmed_at)
        self._synchronized.set()

    async def _watch_once(self) -> None:
        asked_at = clocks.promised_s()
        watch = self._store.watch(self.prefix, self.revision, self._wait_s)
        self._watching = asyncio.create_task(watch)
        if self.feed is not None:
            self.feed.watch_began()
        try:
            longest_s = self._wait_s + ANSWER_SLACK_S
            done, _ = await asyncio.wait({self._watching}, timeout=longest_s)
        finally:
            self._watching.cancel()
            if self.feed is not None:
                answered = self._watching.done() and not self._watching.cancelled()
                self.feed.watch_ended(answered and self._watching.exception() is None)
        if not done or self._watching.cancelled():
            return
        seen = self._watching.result()
        for change in seen.changes:
            if isinstance(change, Entry):
                self._take(change)
            else:
                self._take_removal(change)
        if seen.changes:
            # An answer without changes moves nothing: the watch may have been stale.
            self.revision = max(self.revision, seen.revision)
        self.confirmed_at = asked_at - seen.age_s
        if self.feed is not None:
            self.feed.extend(seen.changes, self.revision, self.confirmed_at)
        if seen.changes and self._settle_s:
            await asyncio.sleep(self._settle_s)

    def _take(self, entry: Entry) -> None:
        known = self.entries.get(entry.key)
        if known is not None and known.revision >= entry.revision:
            return
        self.entries[entry.key] = entry
        self._changed(entry.key, entry)

    def _take_removal(self, removal: Removal) -> None:
        known = self.entries.get(removal.key)
        if known is not None and known.revision < removal.revision:
            self._remove(removal.key)

    def _remove(self, key: str) -> None:
        del self.entries[key]
        self._changed(key, None)
