"""Few processes watch the store; the others follow those.

Each waiting watch and each change that it sees is a priced and limited call of the store. So the
two processes that have been there longest watch for all. Where two could not answer all others,
the next ones relay: they follow the watchers, and answer readers as these do. A reader asks one of
them for what is new, and asks the store itself whenever no such answer is to be had.
"""

from __future__ import annotations

import logging
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec

from crankseam import clocks
from crankseam.coordination.feed import PrefixFeed
from crankseam.coordination.feed_messages import (
    REFUSED_COMPACTED,
    REFUSED_UNAVAILABLE,
    FeedAnswer,
    FeedQuestion,
    as_answer,
    refusal_of,
)
from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import (
    Changes,
    Entry,
    HistoryCompacted,
    Page,
    Removal,
    WatchedStore,
)
from crankseam.errors import KeyValueError, KeyValueUnavailable

log = logging.getLogger(__name__)

PROCESSES_PER_ANSWERER = 40
"""A reader has three questions waiting: so many of them cost some 5 % of a slow core."""
WATCHERS = 2
"""Each change costs each watcher a call; a second one is there for when the first is not."""
FEWEST_PROCESSES = 4
"""Below this each process watches by itself: there is little to save."""
FRESH_SHARE = 0.4
"""Of the time in which a change must be in force, so much may pass before a reader of a watcher
that has lost the store turns to the store itself."""
WATCH_SHARE = 0.7
"""Of the same time, a watcher's own watch lasts so much at most: it may have been deaf to a
change, which a reader must still learn of in time."""
RELAY_WAIT_SHARE = 0.2
"""A relay's question waits so long, of the time for which a feed is fresh: the age of its answer,
the wait and the next wait must add up to less."""
ANSWER_SLACK_S = 0.3
READER_MARGIN_S = 0.2
"""A reader that turned to the store may be deaf there for the whole of its watch, and ask a silent
process next: the two, and this for the answers, fit the time in which a change must be in force."""
SHORTEST_WATCH_S = 0.2
AVOID_S = 2.0
"""A watcher that did not answer is not asked again for so long, and twice as long each time after
that. From the second time on, the process that comes next watches in its place."""
MOST_AVOID_S = 16.0


def watcher_count(processes: int) -> int:
    """How many of so many processes watch the store.

    Examples
    ========

    >>> [watcher_count(n) for n in (3, 7, 68, 420)]
    [3, 2, 2, 2]
    """
    return processes if processes < FEWEST_PROCESSES else WATCHERS


def answerer_count(processes: int) -> int:
    """How many of so many processes answer readers: the watchers, and relays where they need help.

    Examples
    ========

    >>> [answerer_count(n) for n in (3, 7, 68, 420)]
    [3, 2, 2, 11]
    """
    return max(watcher_count(processes), math.ceil(processes / PROCESSES_PER_ANSWERER))


class PeerAsker(Protocol):
    """Sends a question to a peer's address and returns its answer within so many seconds."""

    async def __call__(self, address: str, body: bytes, longest_s: float) -> bytes:
        """Raise a KeyValueError if no answer came."""


@dataclass(frozen=True, slots=True)
class Peer:
    """A process: its name and ``ip:port``, and when it first announced itself."""

    name: str
    address: str
    revision: int


@dataclass(frozen=True, slots=True)
class _Roles:
    """Who watches the store, and who answers readers: the watchers and the relays."""

    watchers: list[Peer]
    answerers: list[Peer]


class SharedWatches:
    """See WatchedStore; asks a watcher where there is one, else the store.

    Parameters
    ==========

    store : the way to the store itself.
    processes : all living processes of the deployment, this one among them.
    process : this process's name.
    ask : sends a question to a peer.
    in_force_s : seconds within which a change must be in force at a process.
    answered_at : when the newest call was sent that the store answered this process directly.
    """

    def __init__(
        self,
        store: WatchedStore,
        processes: Callable[[], list[Peer]],
        process: str,
        ask: PeerAsker,
        in_force_s: float,
        answered_at: Callable[[], float],
    ) -> None:
        self._store = store
        self._processes = processes
        self._process = process
        self._ask = ask
        self._fresh_s = in_force_s * FRESH_SHARE
        self._watch_s = in_force_s * WATCH_SHARE
        question_s = self._fresh_s + ANSWER_SLACK_S
        self._reader_watch_s = max(SHORTEST_WATCH_S, in_force_s - question_s - READER_MARGIN_S)
        self._answered_at = answered_at
        self._followers: dict[str, PrefixFollower] = {}
        self._avoid_until: dict[str, float] = {}
        self._avoided_for_s: dict[str, float] = {}
        """How long a watcher was avoided last, by name; gone once it answers."""

    def share(self, follower: PrefixFollower) -> None:
        """Let others follow what a follower of this process takes."""
        follower.feed = PrefixFeed(self._fresh_s, self._answered_at)
        self._followers[follower.prefix] = follower

    def _roles(self) -> _Roles:
        """Those that have been there longest; as each process works it out for itself.

        One that did not answer twice is passed over, by each process that noticed.
        """
        processes = sorted(self._processes(), key=lambda peer: (peer.revision, peer.name))
        answering = [one for one in processes if not self._is_passed_over(one)]
        count = len(processes)
        return _Roles(answering[: watcher_count(count)], answering[: answerer_count(count)])

    def _watchers(self) -> list[Peer]:
        return self._roles().watchers

    def _is_avoided(self, peer: Peer) -> bool:
        return self._avoid_until.get(peer.name, 0.0) > time.monotonic()

    def _is_passed_over(self, peer: Peer) -> bool:
        return self._is_avoided(peer) and self._avoided_for_s.get(peer.name, 0.0) > AVOID_S

    def is_watcher(self) -> bool:
        """Whether this process watches the store itself."""
        return self._has_role(self._watchers())

    def is_answerer(self) -> bool:
        """Whether this process answers others: it is a watcher or a relay."""
        return self._has_role(self._roles().answerers)

    def _has_role(self, peers: list[Peer]) -> bool:
        """Whether this process is among them; where nobody is known, each acts for itself."""
        return not peers or any(peer.name == self._process for peer in peers)

    def _pick_answerer(self, roles: _Roles) -> Peer | None:
        """One that may be asked now; None if the store itself is to be asked.

        A relay asks watchers only, so that no two relays follow each other.
        """
        if self._has_role(roles.watchers):
            return None
        asked = roles.watchers if self._has_role(roles.answerers) else roles.answerers
        found = [one for one in asked if not self._is_avoided(one)]
        return random.choice(found) if found else None

    # --- WatchedStore

    async def get(self, key: str) -> Entry | None:
        """See WatchedStore."""
        return await self._store.get(key)

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """See WatchedStore; who answers gives the whole prefix at once."""
        answerer = self._pick_answerer(self._roles()) if not after_key else None
        if answerer is not None:
            answer = await self._try(answerer, FeedQuestion(prefix, -1, 0.0))
            if answer is not None and not answer.refusal and not self._is_older(prefix, answer):
                changes = await self._whole(answer)
                entries = [one for one in changes.changes if isinstance(one, Entry)]
                return Page(entries, False, answer.revision, answer.age_s)
        return await self._store.page(prefix, after_key)

    def _is_older(self, prefix: str, answer: FeedAnswer) -> bool:
        """Whether an answer lags behind this process's own copy: what it lacks is not gone."""
        follower = self._followers.get(prefix)
        return follower is not None and answer.revision < follower.revision

    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """See WatchedStore.

        One process is asked at most: the store itself is the next, so that two silent ones do not
        add up.
        """
        roles = self._roles()
        if self._has_role(roles.watchers):
            return await self._watch_for_all(prefix, after_revision, wait)
        answerer = self._pick_answerer(roles)
        if answerer is not None:
            wait_s = self._fresh_s * (RELAY_WAIT_SHARE if self._has_role(roles.answerers) else 1.0)
            question = FeedQuestion(prefix, after_revision, wait_s)
            answer = await self._try(answerer, question)
            if answer is not None and answer.refusal == REFUSED_COMPACTED:
                raise HistoryCompacted(prefix)
            if answer is not None:
                return await self._whole(answer)
        return await self._store.watch(prefix, after_revision, min(wait, self._reader_watch_s))

    async def _watch_for_all(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """Watch the store; not so long while others rely on it.

        The store answers a watch without changes only when its wait is over, so such an answer
        holds for that time after it was asked for.
        """
        if not self._has_readers():
            return await self._store.watch(prefix, after_revision, wait)
        wait_s = min(wait, self._watch_s)
        asked_at = clocks.promised_s()
        seen = await self._store.watch(prefix, after_revision, wait_s)
        if seen.changes:
            return seen
        return replace(seen, age_s=-min(wait_s, clocks.promised_s() - asked_at))

    def _has_readers(self) -> bool:
        return watcher_count(len(self._processes())) < len(self._processes())

    async def _try(self, peer: Peer, question: FeedQuestion) -> FeedAnswer | None:
        """Ask one watcher; None if it is of no use now."""
        longest_s = question.wait_s + ANSWER_SLACK_S
        try:
            raw = await self._ask(peer.address, msgspec.msgpack.encode(question), longest_s)
            answer = msgspec.msgpack.decode(raw, type=FeedAnswer)
        except (KeyValueError, msgspec.DecodeError) as error:
            self._avoid(peer, type(error).__name__)
            return None
        if answer.refusal == REFUSED_UNAVAILABLE:
            self._avoid(peer, answer.refusal)
            return None
        self._avoided_for_s.pop(peer.name, None)
        self._avoid_until.pop(peer.name, None)
        return answer

    def _avoid(self, peer: Peer, reason: str) -> None:
        if self._is_avoided(peer):
            return
        avoided_s = min(MOST_AVOID_S, 2.0 * self._avoided_for_s.get(peer.name, AVOID_S / 2.0))
        self._avoided_for_s[peer.name] = avoided_s
        self._avoid_until[peer.name] = time.monotonic() + avoided_s
        log.info("watcher_avoided", extra={"peer": peer.name, "error": reason})

    async def _whole(self, answer: FeedAnswer) -> Changes:
        """An answer's changes in order, with large values from the store."""
        changes: list[Entry | Removal] = [*answer.entries, *answer.removals]
        for key in answer.large:
            entry = await self._store.get(key)
            if entry is not None:
                changes.append(entry)
        changes.sort(key=lambda change: change.revision)
        return Changes(changes, answer.revision, answer.age_s)

    # --- answering readers

    async def serve(self, raw: bytes) -> bytes:
        """Answer a reader's question from this process's own followers."""
        question = msgspec.msgpack.decode(raw, type=FeedQuestion)
        try:
            answer = await self._answer(question)
        except KeyValueError as error:
            answer = FeedAnswer(refusal_of(error))
        return msgspec.msgpack.encode(answer)

    async def _answer(self, question: FeedQuestion) -> FeedAnswer:
        follower = self._followers.get(question.prefix)
        if follower is None or follower.feed is None or not self.is_answerer():
            raise KeyValueUnavailable("this process answers nobody")
        if question.after_revision < 0:
            follower.feed.check_fresh()
            page = Changes(list(follower.entries.values()), follower.feed.revision)
            return as_answer(page, follower.feed.age_s())
        changes = await follower.feed.wait_after(question.after_revision, question.wait_s)
        return as_answer(changes, follower.feed.age_s())
