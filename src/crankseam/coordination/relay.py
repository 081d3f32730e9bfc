"""Calls the store through a peer when the store does not serve this process.

The store may refuse, throttle or disconnect single machines while it serves others. A process whose
direct calls fail asks a peer to make them. A peer whose direct calls fail too refuses at once,
without a call, so that an outage for all processes causes no additional calls to the store. The
rules for the route of a call are in `crankseam.coordination.store_route`.
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
from crankseam.coordination.store_route import (
    MAX_PEER_REFUSALS,
    DirectRoute,
    PeerSelector,
    call_timeout_s,
    hedge_delay_s,
    is_route_failure,
    may_repeat,
    was_not_executed,
)
from crankseam.errors import KeyValueError, KeyValueOutcomeUnknown, KeyValueUnavailable

log = logging.getLogger(__name__)

PeerCaller = Callable[[str, bytes, float], Awaitable[bytes]]
"""Sends bytes to the address of a peer and returns its answer.

The last argument is the time limit in seconds. Raises KeyValueUnavailable if nothing was done, and
KeyValueOutcomeUnknown if no answer came.
"""


class PeerOutcome(NamedTuple):
    """A peer and its answer; a failure to reach the peer is represented as an answer."""

    peer: str
    answer: RelayAnswer


class RelayedStore:
    """A CoordinationStore that calls the store directly while this works, else through a peer.

    Parameters
    ==========

    direct : the client with which this process calls the store.
    peers : returns the addresses of the processes that may be asked.
    call_peer : sends an encoded call to a peer.
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
        self._direct_route = DirectRoute()
        self._selector = PeerSelector()
        self._uses_peers = False
        """Whether a peer has made a call since the direct route last worked; logged once."""
        self.on_direct_restored: list[Callable[[], None]] = []
        """Called when the direct route works again, to end waits for peers and delays."""

    @property
    def answered_at(self) -> float:
        """When the latest call was sent that the store answered directly; see DirectRoute."""
        return self._direct_route.answered_at

    def is_direct_failing(self) -> bool:
        """Whether the direct calls of this process have been failing for a while."""
        return self._direct_route.is_failing(clocks.boottime_s())

    async def serve(self, raw: bytes) -> bytes:
        """Make a peer's call by the direct route; refuse it at once while this route fails."""
        call = msgspec.msgpack.decode(raw, type=RelayCall)
        if self.is_direct_failing():
            answer = RelayAnswer(KeyValueUnavailable.__name__)
        else:
            answer = await self._execute_directly(call)
        return msgspec.msgpack.encode(answer)

    async def _execute(self, call: RelayCall) -> RelayAnswer:
        if self.is_direct_failing() and not self._direct_route.try_start_probe(clocks.boottime_s()):
            return await self._ask_peers(call)
        answer = await self._execute_directly(call)
        if self.is_direct_failing() and may_repeat(call, answer):
            return await self._ask_peers(call)
        raise_error(answer)
        return answer

    async def _execute_directly(self, call: RelayCall) -> RelayAnswer:
        began_at = clocks.boottime_s()
        answer = await perform(self._direct, call)
        if is_route_failure(answer):
            self._direct_route.failed(clocks.boottime_s())
        elif self._direct_route.is_failing(clocks.boottime_s()) and self._direct_route.answered(
            began_at
        ):
            self._direct_restored()
        else:
            self._direct_route.answered(began_at)
        return answer

    def _direct_restored(self) -> None:
        if self._uses_peers:
            log.info("store_direct_again")
        self._uses_peers = False
        for notify in self.on_direct_restored:
            # Deferred until the successful call has returned, because it may be a watch that the
            # callback cancels and requests again.
            asyncio.get_running_loop().call_soon(notify)

    async def _ask_peers(self, call: RelayCall) -> RelayAnswer:
        """Make a call through peers.

        The next peer is asked if a peer refused and, for a read, if the previous peer has not
        answered within the hedge delay.

        Raises
        ======

        KeyValueError : the error of the last peer, if no peer reached the store.
        """
        raw = msgspec.msgpack.encode(call)
        tried: list[str] = []
        refusals = 0
        pending = {self._ask_next(call, raw, tried)}
        try:
            while True:
                untried = self._untried_peers(tried) if refusals < MAX_PEER_REFUSALS else []
                done, pending = await asyncio.wait(
                    pending,
                    timeout=hedge_delay_s(call) if untried else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                answer = RelayAnswer()
                for task in done:
                    peer, answer = task.result()
                    if not is_route_failure(answer):
                        return self._accept_answer(peer, answer)
                    refusals += was_not_executed(answer)
                if untried and (not done or may_repeat(call, answer)):
                    pending.add(self._ask_next(call, raw, tried))
                elif not pending:
                    raise_error(answer)
        finally:
            for task in pending:
                task.cancel()

    def _untried_peers(self, tried: list[str]) -> list[str]:
        return self._selector.responsive(self._peers(), tried, time.monotonic())

    def _ask_next(self, call: RelayCall, raw: bytes, tried: list[str]) -> asyncio.Task[PeerOutcome]:
        peer = self._selector.pick(self._peers(), tried, time.monotonic())
        tried.append(peer)
        return asyncio.create_task(self._ask_peer(peer, raw, call_timeout_s(call)))

    def _accept_answer(self, peer: str, answer: RelayAnswer) -> RelayAnswer:
        raise_error(answer)
        if not self._uses_peers:
            self._uses_peers = True
            log.warning("store_through_peers", extra={"peer": peer})
        return answer

    async def _ask_peer(self, peer: str, raw: bytes, timeout_s: float) -> PeerOutcome:
        """Send a call to a peer; a failure to reach the peer becomes an error in the answer."""
        try:
            encoded = await self._call_peer(peer, raw, timeout_s)
            answer = msgspec.msgpack.decode(encoded, type=RelayAnswer)
        except msgspec.DecodeError:
            return PeerOutcome(peer, RelayAnswer(KeyValueOutcomeUnknown.__name__))
        except KeyValueError as error:
            self._selector.record_silence(peer, time.monotonic())
            return PeerOutcome(peer, RelayAnswer(type(error).__name__))
        if was_not_executed(answer):
            self._selector.record_refusal(peer, time.monotonic())
        return PeerOutcome(peer, answer)

    # --- CoordinationStore

    async def get(self, key: str) -> Entry | None:
        """See CoordinationStore."""
        answer = await self._execute(RelayCall("get", key=key))
        return answer.entries[0] if answer.entries else None

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """See CoordinationStore."""
        answer = await self._execute(RelayCall("page", key=prefix, after_key=after_key))
        return Page(answer.entries, answer.more, answer.revision)

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """See CoordinationStore."""
        call = RelayCall("watch", key=prefix, after_revision=after_revision, wait=wait_s)
        answer = await self._execute(call)
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
        return (await self._execute(call)).revision

    async def grant_lease(self, duration: float) -> GrantedLease:
        """See CoordinationStore."""
        answer = await self._execute(RelayCall("grant_lease", duration=duration))
        return GrantedLease(answer.lease, answer.duration)

    async def renew_lease(self, lease: int) -> float:
        """See CoordinationStore."""
        return (await self._execute(RelayCall("renew_lease", lease=lease))).duration

    async def end_lease(self, lease: int) -> None:
        """See CoordinationStore."""
        await self._execute(RelayCall("end_lease", lease=lease))
