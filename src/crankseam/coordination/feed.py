"""What a follower of a prefix took lately, kept so that other processes can follow it too.

Owns the newest changes of one prefix and the time at which the store last confirmed that there is
nothing newer (seconds, suspended time counted). Relies on the follower that fills it. A feed that
was not confirmed lately answers nobody: an old copy is never passed off as the store's state.
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
"""Changes kept for readers; a reader that is further behind reads the whole prefix. Origin not
recorded."""


class PrefixFeed:
    """The newest changes of one prefix, in order, and how fresh they are.

    Explanation
    ===========

    The feed holds every change with a revision above ``start_revision`` and up to ``revision``.
    It is fresh while the follower behind it has heard lately from the store that there is
    nothing newer; a feed that is not fresh answers nobody, so that its readers turn to the store.
    A watch that waits at the store is such word too, as of the last other call that the store
    answered: the way is open, so news would have come.

    Parameters
    ==========

    max_age_s : seconds since the last confirmation up to which the feed answers.
    answered_at : when the newest call was sent that the store answered this process directly.
    """

    def __init__(
        self, max_age_s: float, answered_at: Callable[[], float] = lambda: float("-inf")
    ) -> None:
        self.max_age_s = max_age_s
        self._answered_at = answered_at
        self._watch_waits = False
        self.start_revision = 0
        self.revision = 0
        self._confirmed_at = float("-inf")
        self._changes: deque[Entry | Removal] = deque()
        self._news = asyncio.Event()

    def restart(self, revision: int, confirmed_at: float) -> None:
        """The prefix was read anew: what changed on the way here is not known one by one."""
        self._changes.clear()
        self.start_revision = revision
        self._advance(revision, confirmed_at)

    def extend(self, changes: list[Entry | Removal], revision: int, confirmed_at: float) -> None:
        """Take what a watch saw, complete up to ``revision``."""
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
        """Seconds since a call was sent whose answer showed the feed to be complete."""
        if self._watch_waits:
            self._confirm()
        return clocks.promised_s() - self._confirmed_at

    def _confirm(self) -> None:
        self._confirmed_at = max(self._confirmed_at, self._answered_at())

    def watch_began(self) -> None:
        """A watch from the newest revision waits at the store from now on."""
        self._watch_waits = True

    def watch_ended(self, answered: bool) -> None:
        """The watch waits no longer; whether the store answered it."""
        if self._watch_waits and answered:
            self._confirm()
        self._watch_waits = False

    def after(self, revision: int) -> list[Entry | Removal]:
        """Changes with a higher revision, in order.

        Raises
        ======

        HistoryCompacted : the feed does not reach back so far.
        """
        if revision < self.start_revision:
            raise HistoryCompacted(str(revision))
        return [change for change in self._changes if change.revision > revision]

    def check_fresh(self) -> None:
        """Raise KeyValueUnavailable unless the feed is fresh."""
        if self.age_s() > self.max_age_s:
            raise KeyValueUnavailable("the feed is stale")

    async def wait_after(self, revision: int, wait_s: float) -> Changes:
        """Changes above a revision, as soon as there is one, or none after ``wait_s`` seconds.

        Raises
        ======

        HistoryCompacted : the feed does not reach back so far.
        KeyValueUnavailable : the feed is not fresh, or did not stay so.
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
                # Nothing came: the loop ends the wait, or finds the feed stale.
                continue
