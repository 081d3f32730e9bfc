"""Reaches the store through a peer when the store does not serve this process.

The store may refuse, throttle or drop single machines while it serves others. A process whose own
calls fail asks a peer to make them; a peer whose own calls fail too says so at once, without a
call, so that an outage for all costs nothing more. Which way a call takes is decided by the rules
of `crankseam.coordination.way_to_store`; relies on this process's own client of the store and on
the way between processes.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from crankseam import clocks
from crankseam.coordination.interface import (
    Changes,
    CoordinationStore,
    Entry,
    GrantedLease,
    Page,
    Removal,
    Transaction,
)
from crankseam.coordination.relay_messages import RelayAnswer, RelayCall, perform, raise_error
from crankseam.coordination.way_to_store import (
    PEERS_TRIED,
    DirectWay,
    PeerChoice,
    has_done_nothing,
    has_not_served,
    longest_wait_s,
    may_repeat,
    patience_s,
)
from crankseam.errors import KeyValueError, KeyValueOutcomeUnknown, KeyValueUnavailable

log = logging.getLogger(__name__)

PeerCaller = Callable[[str, bytes, float], Awaitable[bytes]]
"""Sends bytes to a peer's address and returns its answer within so many seconds.

Raises KeyValueUnavailable if nothing was sent, KeyValueOutcomeUnknown if no answer came.
"""


class PeerOutcome(NamedTuple):
    """A peer that was asked, and its answer or the failure of the way to it."""

    peer: str
    answer: RelayAnswer


class RelayedStore:
    """See CoordinationStore; uses the own way while it works, else a peer's.

    Parameters
    ==========

    direct : this process's own client of the store.
    peers : addresses of processes that may be asked.
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
        self._way = DirectWay()
        self._choice = PeerChoice()
        self._is_through_peers = False
        """Whether a peer made a call since the own way worked last: said once in the log."""
        self.on_direct_again: list[Callable[[], None]] = []
        """Called when the own way works again: whoever waits for a peer or pauses asks anew."""

    @property
    def answered_at(self) -> float:
        """When the newest call was sent that the store answered directly; see DirectWay."""
        return self._way.answered_at

    def is_direct_failing(self) -> bool:
        """Whether this process's own calls have failed for a while."""
        return self._way.is_failing(clocks.promised_s())

    async def serve(self, raw: bytes) -> bytes:
        """Make a peer's call by the own way only; refused at once while that fails."""
        call = msgspec.msgpack.decode(raw, type=RelayCall)
        if self.is_direct_failing():
            answer = RelayAnswer(KeyValueUnavailable.__name__)
        else:
            answer = await self._make_directly(call)
        return msgspec.msgpack.encode(answer)

    async def _make(self, call: RelayCall) -> RelayAnswer:
        if self.is_direct_failing() and not self._way.take_probe(clocks.promised_s()):
            return await self._ask_peers(call)
        answer = await self._make_directly(call)
        if self.is_direct_failing() and may_repeat(call, answer):
            return await self._ask_peers(call)
        raise_error(answer)
        return answer

    async def _make_directly(self, call: RelayCall) -> RelayAnswer:
        began_at = clocks.promised_s()
        answer = await perform(self._direct, call)
        if has_not_served(answer):
            self._way.failed(clocks.promised_s())
        elif self._way.is_failing(clocks.promised_s()) and self._way.answered(began_at):
            self._direct_again()
        else:
            self._way.answered(began_at)
        return answer

    def _direct_again(self) -> None:
        if self._is_through_peers:
            log.info("store_direct_again")
        self._is_through_peers = False
        for notify in self.on_direct_again:
            # After the call that showed it has returned: it may be a watch that is asked anew.
            asyncio.get_running_loop().call_soon(notify)

    async def _ask_peers(self, call: RelayCall) -> RelayAnswer:
        """Have a peer make a call: the next one while each says that nothing was done and, for a
        call that only reads, while the one before is silent.

        Raises
        ======

        KeyValueError : the failure of the last peer that was of no use.
        """
        raw = msgspec.msgpack.encode(call)
        tried: list[str] = []
        refusals = 0
        pending = {self._ask_next(call, raw, tried)}
        try:
            while True:
                others = self._others(tried) if refusals < PEERS_TRIED else []
                done, pending = await asyncio.wait(
                    pending,
                    timeout=patience_s(call) if others else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answer = RelayAnswer()
                for task in done:
                    peer, answer = task.result()
                    if not has_not_served(answer):
                        return self._answered_by(peer, answer)
                    refusals += has_done_nothing(answer)
                if others and (not done or may_repeat(call, answer)):
                    pending.add(self._ask_next(call, raw, tried))
                elif not pending:
                    raise_error(answer)
        finally:
            for task in pending:
                task.cancel()

    def _others(self, tried: list[str]) -> list[str]:
        return self._choice.answering(self._peers(), tried, time.monotonic())

    def _ask_next(self, call: RelayCall, raw: bytes, tried: list[str]) -> asyncio.Task[PeerOutcome]:
        peer = self._choice.pick(self._peers(), tried, time.monotonic())
        tried.append(peer)
        return asyncio.create_task(self._ask_one(peer, raw, longest_wait_s(call)))

    def _answered_by(self, peer: str, answer: RelayAnswer) -> RelayAnswer:
        raise_error(answer)
        if not self._is_through_peers:
            self._is_through_peers = True
            log.warning("store_through_peers", extra={"peer": peer})
        return answer

    async def _ask_one(self, peer: str, raw: bytes, longest_s: float) -> PeerOutcome:
        """The peer and its answer, or the failure of the way to it as if it had told it."""
        try:
            encoded = await self._call_peer(peer, raw, longest_s)
            answer = msgspec.msgpack.decode(encoded, type=RelayAnswer)
        except msgspec.DecodeError:
            return PeerOutcome(peer, RelayAnswer(KeyValueOutcomeUnknown.__name__))
        except KeyValueError as error:
            self._choice.was_silent(peer, time.monotonic())
            return PeerOutcome(peer, RelayAnswer(type(error).__name__))
        if has_done_nothing(answer):
            self._choice.could_do_nothing(peer, time.monotonic())
        return PeerOutcome(peer, answer)

    # --- CoordinationStore

    async def get(self, key: str) -> Entry | None:
        """See CoordinationStore."""
        answer = await self._make(RelayCall("get", key=key))
        return answer.entries[0] if answer.entries else None

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """See CoordinationStore."""
        answer = await self._make(RelayCall("page", key=prefix, after_key=after_key))
        return Page(answer.entries, answer.more, answer.revision)

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """See CoordinationStore."""
        call = RelayCall("watch", key=prefix, after_revision=after_revision, wait=wait_s)
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

    async def grant_lease(self, duration: float) -> GrantedLease:
        """See CoordinationStore."""
        answer = await self._make(RelayCall("grant_lease", duration=duration))
        return GrantedLease(answer.lease, answer.duration)

    async def renew_lease(self, lease: int) -> float:
        """See CoordinationStore."""
        return (await self._make(RelayCall("renew_lease", lease=lease))).duration

    async def end_lease(self, lease: int) -> None:
        """See CoordinationStore."""
        await self._make(RelayCall("end_lease", lease=lease))
