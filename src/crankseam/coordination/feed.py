"""The recent changes of a prefix, kept so that other processes can follow it through this one.

A feed keeps the newest changes of one prefix, and the time at which the store last confirmed that
there are no newer ones (seconds of the clock that includes the time for which the machine was
suspended). A follower of the prefix fills the feed. A feed that was not confirmed recently refuses
to answer, so that an outdated copy is never presented as the state of the store.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

from crankseam import clocks
from crankseam.coordination.interface import Changes, Entry, HistoryCompacted, Removal
from crankseam.errors import KeyValueUnavailable

MAX_CHANGES = 2048
"""Number of changes kept for readers; a reader that is further behind reads the whole prefix."""


class PrefixFeed:
    """The newest changes of one prefix in order of their revisions, and their freshness.

    Explanation
    ===========

    The feed holds every change with a revision above ``start_revision`` and up to ``revision``.
    It is fresh while the store has recently confirmed to the follower that there are no newer
    changes. A feed that is not fresh refuses to answer, so that its readers call the store instead.

    A watch that is pending at the store also confirms the feed, as of the latest other call that
    the store answered directly: the store was reachable at that time, so the watch would have
    returned any change.

    Parameters
    ==========

    max_age_s : the feed is fresh for this many seconds after a confirmation.
    answered_at : returns when the latest call was sent that the store answered to this process
        directly.
    """

    def __init__(
        self, max_age_s: float, answered_at: Callable[[], float] = lambda: float("-inf")
    ) -> None:
        self.max_age_s = max_age_s
        self._answered_at = answered_at
        self._is_watch_pending = False
        self.start_revision = 0
        self.revision = 0
        self._confirmed_at = float("-inf")
        self._changes: deque[Entry | Removal] = deque()
        self._news = asyncio.Event()

    def restart(self, revision: int, confirmed_at: float) -> None:
        """Drop all changes after the whole prefix was read again.

        The individual changes between the previous revision and this one are not known.
        """
        self._changes.clear()
        self.start_revision = revision
        self._advance(revision, confirmed_at)

    def extend(self, changes: list[Entry | Removal], revision: int, confirmed_at: float) -> None:
        """Append the changes of a watch whose result is complete up to ``revision``."""
        for change in changes:
            if change.revision > self.revision:
                self._changes.append(change)
        while len(self._changes) > MAX_CHANGES:
            self.start_revision = self._changes.popleft().revision
        self._advance(revision, confirmed_at)

    def _advance(self, revision: int, confirmed_at: float) -> None:
        self.revision = max(self.revision, revision)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        news, self._news = self._news, asyncio.Event()
        news.set()

    def age_s(self) -> float:
        """Seconds since the latest request was sent whose answer confirmed the feed as complete."""
        if self._is_watch_pending:
            self._confirm_by_direct_call()
        return clocks.boottime_s() - self._confirmed_at

    def _confirm_by_direct_call(self) -> None:
        self._confirmed_at = max(self._confirmed_at, self._answered_at())

    def watch_began(self) -> None:
        """Record that a watch from the newest revision is pending at the store."""
        self._is_watch_pending = True

    def watch_ended(self, answered: bool) -> None:
        """Record that the watch has ended; ``answered`` tells whether the store answered it."""
        if self._is_watch_pending and answered:
            self._confirm_by_direct_call()
        self._is_watch_pending = False

    def after(self, revision: int) -> list[Entry | Removal]:
        """Return the changes above a revision, in order.

        Raises
        ======

        HistoryCompacted : the feed no longer has all changes after this revision.
        """
        if revision < self.start_revision:
            raise HistoryCompacted(str(revision))
        return [change for change in self._changes if change.revision > revision]

    def check_fresh(self) -> None:
        """Raise KeyValueUnavailable unless the feed is fresh."""
        if self.age_s() > self.max_age_s:
            raise KeyValueUnavailable("the feed is stale")

    async def wait_for_changes(self, revision: int, wait_s: float) -> Changes:
        """Return the changes above a revision as soon as there are any.

        If there are none within ``wait_s`` seconds, the result is empty.

        Raises
        ======

        HistoryCompacted : the feed no longer has all changes after this revision.
        KeyValueUnavailable : the feed is not fresh, or became stale during the wait.
        """
        deadline = time.monotonic() + wait_s
        while True:
            self.check_fresh()
            changes = self.after(revision)
            left_s = deadline - time.monotonic()
            if changes or left_s <= 0.0:
                return Changes(changes, self.revision)
            news = self._news
            try:
                async with asyncio.timeout(min(left_s, self.max_age_s - self.age_s())):
                    await news.wait()
            except TimeoutError:
                # No change arrived: the next pass returns an empty result or finds the feed stale.
                continue
