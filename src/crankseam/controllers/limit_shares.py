"""How many requests of a limited service or pool may this node have in flight?

Inputs: the agreed table of all nodes' shares (one replicated record a limit, as old as this node's
last renewal), the requests in flight here, and whether a node was refused one for want of a share.
Times are seconds of the clock of promises.
Rule: at each renewal a node asks for what it has in flight and some headroom, and gets it as far as
the shares of the others leave room; it uses its share for one term, less a margin, from when it
asked. A share whose holder has not renewed it for a term and a margin may be taken by any node.
While another node wants more, a node that does not keeps no headroom.
Protects: the sum of the shares in use never passes the limit, also while nodes are cut off from
each other.
Shown by: the problem "limit ... is in use", `share not renewed`. Held by:
tests/controllers/test_limit_shares.py, tests/test_clocks.py, tests/rollout/test_steps.py,
tests/requests/test_app_requests.py. Term and margin are settings (`timing.limit_term`,
`timing.clock_margin`).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from crankseam import clocks
from crankseam.cluster.agent import ClusterAgent
from crankseam.config.kinds import Limit
from crankseam.errors import RecordError

log = logging.getLogger(__name__)

RENEWALS_PER_TERM = 4
"""Three may fail before a share runs out. Origin not recorded."""
HEADROOM_FRACTION = 0.5
"""Of the requests in flight, asked for beyond them ahead of need. Origin not recorded."""
MIN_HEADROOM = 1
"""Requests that an idle node may start without waiting for a renewal. Origin not recorded."""


class Share(msgspec.Struct, array_like=True):
    """What one node holds of a limit."""

    amount: int
    sequence: int
    """Raised at each renewal; a standing sequence shows that the holder stopped renewing."""
    wants_more: bool = False


class ShareTable(msgspec.Struct, array_like=True):
    """All shares of one limit, by the holder's identity."""

    shares: dict[str, Share] = {}


def wanted_amount(in_flight: int, wants_more: bool, others_want_more: bool) -> int:
    """How large a share to ask for."""
    headroom = max(MIN_HEADROOM, round(in_flight * HEADROOM_FRACTION))
    if wants_more:
        return in_flight + headroom * 2
    return in_flight if others_want_more else in_flight + headroom


@dataclass(frozen=True)
class SeenShare:
    """The newest renewal that was seen of another node's share, and since when."""

    sequence: int
    since: float


class LimitShare:
    """This node's share of one limit.

    Parameters
    ==========

    term : seconds for which a renewed share may be used.
    margin : seconds by which the holder stops earlier, and a reclaimer waits longer.
    """

    def __init__(
        self,
        holder: str,
        total: int,
        term: float,
        margin: float,
        clock: Callable[[], float] = clocks.promised_s,
    ) -> None:
        self.holder = holder
        self.total = total
        self.used = 0
        self._term = term
        self._margin = margin
        self._clock = clock
        self._amount = 0
        self._valid_until = 0.0
        self._sequence = 0
        self._seen: dict[str, SeenShare] = {}
        self.wants_more = False

    def amount(self) -> int:
        """How many requests this node may have in flight now."""
        return self._amount if self._clock() < self._valid_until else 0

    def try_acquire(self) -> bool:
        """Count one request in flight if the share allows it."""
        if self.used >= self.amount():
            self.wants_more = True
            return False
        self.used += 1
        return True

    def release(self) -> None:
        """Count one request less."""
        self.used -= 1

    def renew_in(self, table: ShareTable) -> ShareTable:
        """The table with this node's share renewed and lapsed shares of others taken back."""
        others = {h: s for h, s in table.shares.items() if h != self.holder}
        living = {h: s for h, s in others.items() if not self._has_lapsed(h, s)}
        taken = sum(share.amount for share in living.values())
        others_want_more = any(share.wants_more for share in living.values())
        wanted = wanted_amount(self.used, self.wants_more, others_want_more)
        amount = max(0, min(wanted, self.total - taken))
        sequence = 1 + max(self._sequence, self._standing_sequence(table))
        own = Share(amount, sequence, self.wants_more and amount < wanted)
        return ShareTable({**living, self.holder: own})

    def _standing_sequence(self, table: ShareTable) -> int:
        """The sequence of this node's last renewal that was agreed on, also if nobody told it."""
        standing = table.shares.get(self.holder)
        return standing.sequence if standing is not None else 0

    def _has_lapsed(self, holder: str, share: Share) -> bool:
        now = self._clock()
        seen = self._seen.get(holder)
        if seen is None or seen.sequence != share.sequence:
            self._seen[holder] = SeenShare(share.sequence, now)
            return False
        return now - seen.since > self._term + self._margin

    def prepare_renewal(self, amount: int) -> None:
        """Use no more than `amount` from now on: the renewal that is sent may be agreed on."""
        self._amount = min(self._amount, amount)

    def confirm(self, table: ShareTable, asked_at: float) -> None:
        """Take the agreed table; the share's term counts from when the renewal was asked for."""
        own = table.shares.get(self.holder)
        if own is None:
            self._amount = 0
            return
        self._sequence = own.sequence
        self._amount = own.amount
        self._valid_until = asked_at + self._term - self._margin
        if not own.wants_more:
            self.wants_more = False


class LimitShareController:
    """Holds this node's share of every limit whose target has its home in this region."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._timing = agent.settings.timing
        self._shares: dict[str, LimitShare] = {}
        self._renewing: dict[str, asyncio.Lock] = {}

    async def run(self) -> None:
        """Renew all shares, several times a term, until cancelled."""
        while True:
            for limit in self._limits():
                self._agent.tasks.start(self.renew(limit), f"limit {limit.name}")
            await asyncio.sleep(self._timing.limit_term / RENEWALS_PER_TERM)

    def _limits(self) -> list[Limit]:
        return list(self._agent.lease.snapshot.limits.values())

    def share_of(self, limit: Limit) -> LimitShare:
        """This node's share, made when first asked for."""
        share = self._shares.get(limit.name)
        if share is None:
            timing = self._timing
            share = LimitShare(
                self._agent.identity, limit.max_in_flight, timing.limit_term, timing.clock_margin
            )
            self._shares[limit.name] = share
        share.total = limit.max_in_flight
        return share

    async def acquire(self, limit: Limit) -> bool:
        """Count one request against the limit; False when all is in use."""
        share = self.share_of(limit)
        if share.try_acquire():
            return True
        await self.renew(limit)
        return share.try_acquire()

    async def renew(self, limit: Limit) -> None:
        """Renew the share in the agreed table; one renewal at a time."""
        lock = self._renewing.setdefault(limit.name, asyncio.Lock())
        if lock.locked():
            async with lock:
                return  # the renewal that was running did it for this caller too
        async with lock:
            await self._renew(self.share_of(limit), limit)

    async def _renew(self, share: LimitShare, limit: Limit) -> None:
        asked_at = clocks.promised_s()
        where = self._agent.locate(f"limit/{limit.name}")

        def change(standing: bytes | None) -> bytes:
            table = msgspec.msgpack.decode(standing, type=ShareTable) if standing else ShareTable()
            renewed = share.renew_in(table)
            share.prepare_renewal(renewed.shares[share.holder].amount)
            return msgspec.msgpack.encode(renewed)

        try:
            value = await self._agent.proposer.change(where, change)
        except RecordError as error:
            log.info("share not renewed", extra={"limit": limit.name, "error": str(error)})
            return
        assert value is not None
        share.confirm(msgspec.msgpack.decode(value, type=ShareTable), asked_at)
