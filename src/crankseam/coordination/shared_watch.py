"""Few processes watch the store; the others ask those.

Owns which watchers did not answer this process lately. Relies on the way to the store, on the list
of living processes, and on this process's own followers, whose feeds it serves to others. Who
watches and who is asked is decided in `crankseam.coordination.watch_roles`, for how long in
`crankseam.coordination.watch_times`. Whatever a peer does not answer is asked of the store itself.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

import msgspec

from crankseam import clocks
from crankseam.coordination.avoidance import AvoidedPeers
from crankseam.coordination.feed import PrefixFeed
from crankseam.coordination.feed_messages import (
    REFUSED_COMPACTED,
    REFUSED_UNAVAILABLE,
    FeedAnswer,
    FeedQuestion,
    make_feed_answer,
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
from crankseam.coordination.watch_roles import Peer, WatchRoles, assign_roles, has_readers
from crankseam.coordination.watch_times import WatchTimes, answer_timeout_s
from crankseam.errors import KeyValueError, KeyValueUnavailable

log = logging.getLogger(__name__)

AVOID_S = 2.0
"""A watcher that did not answer is not asked again for so long, and twice as long each time after
that. From the second time on, the process that comes next watches in its place: with 25 of 71
processes refused by the store, 9,452 -> 7,994 calls a day, worth 0.67 -> 0.79."""
LONGEST_AVOID_S = 16.0
"""The most to which that time grows; set with the doubling, origin of the figure not recorded."""


class PeerAsker(Protocol):
    """Sends a question to a peer's address and returns its answer within so many seconds."""

    async def __call__(self, address: str, body: bytes, longest_s: float) -> bytes:
        """Raise a KeyValueError if no answer came."""


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
        self._times = WatchTimes.within(in_force_s)
        self._answered_at = answered_at
        self._followers: dict[str, PrefixFollower] = {}
        self._avoided = AvoidedPeers(AVOID_S, LONGEST_AVOID_S)

    def share(self, follower: PrefixFollower) -> None:
        """Let others follow what a follower of this process takes."""
        follower.feed = PrefixFeed(self._times.fresh_s, self._answered_at)
        self._followers[follower.prefix] = follower

    # --- roles

    def _roles(self) -> WatchRoles:
        return assign_roles(self._processes(), self._process, self._is_excluded)

    def _is_avoided(self, peer: Peer) -> bool:
        return self._avoided.is_avoided(peer.name, time.monotonic())

    def _is_excluded(self, peer: Peer) -> bool:
        return self._is_avoided(peer) and self._avoided.has_failed_repeatedly(peer.name)

    def is_watcher(self) -> bool:
        """Whether this process watches the store itself."""
        return self._roles().is_watcher

    def is_answerer(self) -> bool:
        """Whether this process answers others: it is a watcher or a mirror."""
        return self._roles().is_answerer

    def _pick_answerer(self, roles: WatchRoles) -> Peer | None:
        """One that may be asked now; None if the store itself is to be asked."""
        found = [peer for peer in roles.feed_sources() if not self._is_avoided(peer)]
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

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """See WatchedStore.

        One process is asked at most: the store itself is the next, so that two silent ones do not
        add up.
        """
        roles = self._roles()
        if roles.is_watcher:
            return await self._watch_for_all(prefix, after_revision, wait_s)
        answerer = self._pick_answerer(roles)
        if answerer is not None:
            wait_s = self._times.mirror_wait_s if roles.is_answerer else self._times.fresh_s
            question = FeedQuestion(prefix, after_revision, wait_s)
            answer = await self._try(answerer, question)
            if answer is not None and answer.refusal == REFUSED_COMPACTED:
                raise HistoryCompacted(prefix)
            if answer is not None:
                return await self._whole(answer)
        return await self._store.watch(
            prefix, after_revision, min(wait_s, self._times.reader_watch_s)
        )

    async def _watch_for_all(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """Watch the store; not so long while others rely on it.

        The store answers a watch without changes only when its wait is over, so such an answer
        holds for that time after it was asked for.
        """
        if not has_readers(len(self._processes())):
            return await self._store.watch(prefix, after_revision, wait_s)
        wait_s = min(wait_s, self._times.watcher_watch_s)
        asked_at = clocks.promised_s()
        seen = await self._store.watch(prefix, after_revision, wait_s)
        if seen.changes:
            return seen
        return replace(seen, age_s=-min(wait_s, clocks.promised_s() - asked_at))

    async def _try(self, peer: Peer, question: FeedQuestion) -> FeedAnswer | None:
        """Ask one watcher or mirror; None if it is of no use now."""
        try:
            raw = await self._ask(
                peer.address,
                msgspec.msgpack.encode(question),
                answer_timeout_s(question.wait_s),
            )
            answer = msgspec.msgpack.decode(raw, type=FeedAnswer)
        except (KeyValueError, msgspec.DecodeError) as error:
            self._avoid(peer, type(error).__name__)
            return None
        if answer.refusal == REFUSED_UNAVAILABLE:
            self._avoid(peer, answer.refusal)
            return None
        self._avoided.answered(peer.name)
        return answer

    def _avoid(self, peer: Peer, reason: str) -> None:
        # Questions of several followers that fail together are one failure.
        if self._is_avoided(peer):
            return
        self._avoided.avoid(peer.name, time.monotonic())
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
            return make_feed_answer(page, follower.feed.age_s())
        changes = await follower.feed.wait_for_changes(question.after_revision, question.wait_s)
        return make_feed_answer(changes, follower.feed.age_s())
