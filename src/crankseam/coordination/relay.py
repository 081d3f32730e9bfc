"""Reaches the store through another process when the store does not serve this one.

The store may refuse, throttle or drop single machines while it serves others. A process whose own
calls fail asks a peer to make them; a peer whose own calls fail too says so at once, without a
call, so that an outage for all costs nothing more.
"""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from crankseam import clocks
from crankseam.coordination.interface import (
    Changes,
    Condition,
    CoordinationStore,
    Entry,
    HistoryCompacted,
    LeaseExpired,
    Page,
    Put,
    Removal,
    Transaction,
    TransactionConflict,
)
from crankseam.errors import (
    KeyValueError,
    KeyValueOutcomeUnknown,
    KeyValueThrottled,
    KeyValueUnavailable,
)

log = logging.getLogger(__name__)

FAILING_AFTER_SECONDS = 0.5
"""Calls go through peers once this process's own have failed for so long: a lease of 1.8 s that was
renewed 0.45 s before leaves 0.6 s for it then."""
PEERS_TRIED = 3
"""So many peers are asked for one call while each says that nothing was done: where the store
refuses a third of the processes, one in 27 calls finds no way."""
PROBE_SECONDS = 1.0
"""How often the own way is tried meanwhile."""
PEER_SLACK_SECONDS = 1.0
"""A peer answers a call within this: as long as a process waits for the store itself."""
WATCH_SLACK_SECONDS = 0.4
"""A watch through a peer that froze must not hide a change for longer than it may be hidden."""
PEER_AVOIDED_SECONDS = 3.0
"""A peer that did not answer is asked no more for so long: it may be gone and still be listed."""
REFUSED_AVOIDED_SECONDS = 0.3
"""A peer that could do nothing is asked again after this, and before a silent one."""
NOTHING_DONE = (KeyValueUnavailable.__name__, KeyValueThrottled.__name__)
"""Failures after which the same call may be made again."""

_ERRORS: dict[str, type[KeyValueError]] = {
    error.__name__: error
    for error in (
        KeyValueError,
        KeyValueUnavailable,
        KeyValueThrottled,
        KeyValueOutcomeUnknown,
        LeaseExpired,
        HistoryCompacted,
    )
}


class RelayCall(msgspec.Struct, frozen=True):
    """One call of the store's interface; only the fields of its kind are used."""

    name: str
    key: str = ""
    after_key: str = ""
    after_revision: int = 0
    wait: float = 0.0
    conditions: list[Condition] = []
    puts: list[Put] = []
    removals: list[str] = []
    lease: int = 0
    duration: float = 0.0


class RelayAnswer(msgspec.Struct, frozen=True):
    """What the store answered the peer; `error` names the failure's type."""

    error: str = ""
    entries: list[Entry] = []
    removals: list[Removal] = []
    more: bool = False
    revision: int = 0
    lease: int = 0
    duration: float = 0.0


PeerCaller = Callable[[str, bytes, float], Awaitable[bytes]]
"""Sends bytes to a peer's address and returns its answer within so many seconds.

Raises KeyValueUnavailable if nothing was sent, KeyValueOutcomeUnknown if no answer came.
"""


async def perform(store: CoordinationStore, call: RelayCall) -> RelayAnswer:
    """Make a call; every failure of the store becomes part of the answer."""
    try:
        return await _perform(store, call)
    except TransactionConflict as conflict:
        return RelayAnswer(TransactionConflict.__name__, entries=list(conflict.found.values()))
    except KeyValueError as error:
        name = type(error).__name__
        return RelayAnswer(name if name in _ERRORS else KeyValueError.__name__)


async def _perform(store: CoordinationStore, call: RelayCall) -> RelayAnswer:
    match call.name:
        case "get":
            entry = await store.get(call.key)
            return RelayAnswer(entries=[entry] if entry is not None else [])
        case "page":
            page = await store.page(call.key, call.after_key)
            return RelayAnswer(entries=page.entries, more=page.more, revision=page.revision)
        case "watch":
            seen = await store.watch(call.key, call.after_revision, call.wait)
            entries = [change for change in seen.changes if isinstance(change, Entry)]
            removals = [change for change in seen.changes if isinstance(change, Removal)]
            return RelayAnswer(entries=entries, removals=removals, revision=seen.revision)
        case "commit":
            transaction = Transaction(call.conditions, call.puts, call.removals)
            return RelayAnswer(revision=await store.commit(transaction))
        case "grant_lease":
            lease, duration = await store.grant_lease(call.duration)
            return RelayAnswer(lease=lease, duration=duration)
        case "renew_lease":
            return RelayAnswer(duration=await store.renew_lease(call.lease))
        case "end_lease":
            await store.end_lease(call.lease)
            return RelayAnswer()
    return RelayAnswer(KeyValueError.__name__)


def _raise_error(answer: RelayAnswer) -> None:
    if answer.error == TransactionConflict.__name__:
        raise TransactionConflict({entry.key: entry for entry in answer.entries})
    if answer.error:
        raise _ERRORS.get(answer.error, KeyValueError)("through a peer")


class RelayedStore:
    """See CoordinationStore; uses the own way while it works, else a peer's.

    Args:
        direct: this process's own client of the store.
        peers: addresses of processes that may be asked.
    """

    def __init__(
        self,
        direct: CoordinationStore,
        peers: Callable[[], list[str]],
        call_peer: PeerCaller,
    ) -> None:
        self._direct = direct
        self._peers = peers
        self._call_peer = call_peer
        self._failing_since: float | None = None
        self._probed_at = float("-inf")
        self._through_peers = False
        self._avoid_until: dict[str, float] = {}
        """Monotonic time until which a silent peer is asked only if there is no other."""
        self._refused_until: dict[str, float] = {}
        """The same for a peer that could do nothing; it goes before a silent one."""
        self.answered_at = float("-inf")
        """Time of promises at which the newest call was sent that the store answered directly."""

    def is_direct_failing(self) -> bool:
        """Whether this process's own calls have failed for a while."""
        since = self._failing_since
        return since is not None and clocks.promised_s() - since >= FAILING_AFTER_SECONDS

    async def serve(self, raw: bytes) -> bytes:
        """Make a peer's call by the own way only; refused at once while that fails."""
        call = msgspec.msgpack.decode(raw, type=RelayCall)
        if self.is_direct_failing():
            answer = RelayAnswer(KeyValueUnavailable.__name__)
        else:
            answer = await self._make_directly(call)
        return msgspec.msgpack.encode(answer)

    async def _make(self, call: RelayCall) -> RelayAnswer:
        if self.is_direct_failing() and not self._may_probe():
            return await self._ask_peer(call)
        answer = await self._make_directly(call)
        if self.is_direct_failing() and self._may_repeat(call, answer):
            return await self._ask_peer(call)
        _raise_error(answer)
        return answer

    async def _make_directly(self, call: RelayCall) -> RelayAnswer:
        began_at = clocks.promised_s()
        answer = await perform(self._direct, call)
        self._note(answer, began_at)
        return answer

    def _may_probe(self) -> bool:
        """Whether it is time to try the own way again."""
        now = clocks.promised_s()
        if now - self._probed_at < PROBE_SECONDS:
            return False
        self._probed_at = now
        return True

    @staticmethod
    def _may_repeat(call: RelayCall, answer: RelayAnswer) -> bool:
        """Whether a failed call may be made again: a change only if it was not done."""
        if answer.error in NOTHING_DONE:
            return True
        unknown = answer.error == KeyValueOutcomeUnknown.__name__
        return unknown and call.name not in ("commit", "grant_lease")

    def _note(self, answer: RelayAnswer, began_at: float) -> None:
        """Take what a call by the own way says of it.

        A call that began before the trouble, such as a watch, succeeds on its older connection
        and says nothing of new ones.
        """
        failed = answer.error in (
            KeyValueUnavailable.__name__,
            KeyValueThrottled.__name__,
            KeyValueOutcomeUnknown.__name__,
        )
        since = self._failing_since
        if not failed:
            self.answered_at = max(self.answered_at, began_at)
        if not failed and (since is None or began_at >= since):
            if self._through_peers:
                log.info("store_direct_again")
            self._failing_since = None
            self._through_peers = False
        elif failed and since is None:
            self._failing_since = clocks.promised_s()
            self._probed_at = self._failing_since

    async def _ask_peer(self, call: RelayCall) -> RelayAnswer:
        raw = msgspec.msgpack.encode(call)
        tried: list[str] = []
        while True:
            peer = self._pick_peer(tried)
            tried.append(peer)
            slack_s = WATCH_SLACK_SECONDS if call.name == "watch" else PEER_SLACK_SECONDS
            answer = await self._ask_one(peer, raw, call.wait + slack_s)
            if answer.error in NOTHING_DONE:
                self._refused_until[peer] = time.monotonic() + REFUSED_AVOIDED_SECONDS
                if len(tried) < PEERS_TRIED and self._answering(tried):
                    continue
            _raise_error(answer)
            if not self._through_peers:
                self._through_peers = True
                log.warning("store_through_peers", extra={"peer": peer})
            return answer

    async def _ask_one(self, peer: str, raw: bytes, longest_s: float) -> RelayAnswer:
        try:
            encoded = await self._call_peer(peer, raw, longest_s)
            return msgspec.msgpack.decode(encoded, type=RelayAnswer)
        except msgspec.DecodeError as error:
            raise KeyValueOutcomeUnknown("malformed answer of a peer") from error
        except KeyValueError:
            self._avoid_until[peer] = time.monotonic() + PEER_AVOIDED_SECONDS
            raise

    def _answering(self, tried: list[str]) -> list[str]:
        """Peers that were not tried for this call and are not known to be silent."""
        now = time.monotonic()
        return [
            one
            for one in self._peers()
            if one not in tried and self._avoid_until.get(one, 0.0) <= now
        ]

    def _pick_peer(self, tried: list[str]) -> str:
        """Any peer that was not tried; one that was of no use lately only if there is no other."""
        now = time.monotonic()
        answering = self._answering(tried)
        useful = [one for one in answering if self._refused_until.get(one, 0.0) <= now]
        found = useful or answering or [one for one in self._peers() if one not in tried]
        if not found:
            raise KeyValueUnavailable("no peer is known")
        return random.choice(found)

    async def get(self, key: str) -> Entry | None:
        """See CoordinationStore."""
        answer = await self._make(RelayCall("get", key=key))
        return answer.entries[0] if answer.entries else None

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """See CoordinationStore."""
        answer = await self._make(RelayCall("page", key=prefix, after_key=after_key))
        return Page(answer.entries, answer.more, answer.revision)

    async def watch(self, prefix: str, after_revision: int, wait: float) -> Changes:
        """See CoordinationStore."""
        call = RelayCall("watch", key=prefix, after_revision=after_revision, wait=wait)
        answer = await self._make(call)
        changes: list[Entry | Removal] = [*answer.entries, *answer.removals]
        changes.sort(key=lambda change: change.revision)
        return Changes(changes, answer.revision)

    async def commit(self, transaction: Transaction) -> int:
        """See CoordinationStore."""
        call = RelayCall(
            "commit",
            conditions=transaction.conditions,
            puts=transaction.puts,
            removals=transaction.removals,
        )
        return (await self._make(call)).revision

    async def grant_lease(self, duration: float) -> tuple[int, float]:
        """See CoordinationStore."""
        answer = await self._make(RelayCall("grant_lease", duration=duration))
        return answer.lease, answer.duration

    async def renew_lease(self, lease: int) -> float:
        """See CoordinationStore."""
        return (await self._make(RelayCall("renew_lease", lease=lease))).duration

    async def end_lease(self, lease: int) -> None:
        """See CoordinationStore."""
        await self._make(RelayCall("end_lease", lease=lease))
