"""Decides how many requests of a limited service or pool this node may have in flight.

Inputs: the agreed table of the shares of all nodes (one replicated record for each limit, as old as
this node's last renewal), the requests in flight on this node, and whether this node had to refuse
a request because its share was used up. Times are seconds of `clocks.boottime_s`, a monotonic clock
that also counts the time during which the machine is suspended.
Rule: at each renewal a node requests a share for its requests in flight plus some headroom, and
gets as much of it as the shares of other nodes leave free. It may use the share for one term, less
a margin, from the time of the request. Any node may reclaim a share that its holder has not renewed
for a term and a margin. While another node wants more, a node that does not want more itself
requests no headroom.
Purpose: the sum of the shares in use never exceeds the limit, even during a network partition.
Logged as: `share not renewed`; callers see the problem "limit ... is in use".
Tested by: tests/controllers/test_limit_shares.py, tests/test_clocks.py,
tests/rollout/test_steps.py, tests/requests/test_app_requests.py.

The term and the margin are settings (`timing.limit_term`, `timing.clock_margin`).
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
"""Three renewals in a row may fail before a share expires."""
HEADROOM_FRACTION = 0.5
"""Headroom that a node requests in advance, as a fraction of its requests in flight."""
MIN_HEADROOM = 1
"""Minimum headroom: requests that an idle node may start without waiting for a renewal."""


class Share(msgspec.Struct, array_like=True):
    """The part of a limit that one node holds."""

    amount: int
    sequence: int
    """Increased by each renewal; an unchanged sequence shows that the holder no longer renews."""
    wants_more: bool = False


class ShareTable(msgspec.Struct, array_like=True):
    """All shares of one limit, keyed by the identity of the holder."""

    shares: dict[str, Share] = {}


def requested_amount(in_flight: int, wants_more: bool, others_want_more: bool) -> int:
    """Return the size of the share to request.

    A node that wants more requests twice the headroom.
    """
    headroom = max(MIN_HEADROOM, round(in_flight * HEADROOM_FRACTION))
    if wants_more:
        return in_flight + headroom * 2
    return in_flight if others_want_more else in_flight + headroom


@dataclass(frozen=True)
class ObservedRenewal:
    """The newest observed renewal of another node's share, and when it was first observed."""

    sequence: int
    since: float


class LimitShare:
    """This node's share of one limit.

    Parameters
    ==========

    term : seconds for which a renewed share may be used.
    margin : seconds by which the holder stops before the end of the term, and for which other nodes
        wait after it before they reclaim the share.
    """

    def __init__(
        self,
        holder: str,
        total: int,
        term: float,
        margin: float,
        clock: Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.holder = holder
        self.total = total
        self.in_flight = 0
        self._term = term
        self._margin = margin
        self._clock = clock
        self._amount = 0
        self._valid_until = 0.0
        self._sequence = 0
        self._observed: dict[str, ObservedRenewal] = {}
        self.wants_more = False

    def amount(self) -> int:
        """Return how many requests this node may have in flight now."""
        return self._amount if self._clock() < self._valid_until else 0

    def try_acquire(self) -> bool:
        """Count one more request in flight if the share allows it; return whether it does."""
        if self.in_flight >= self.amount():
            self.wants_more = True
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Count one request in flight less."""
        self.in_flight -= 1

    def with_renewal(self, table: ShareTable) -> ShareTable:
        """Return the table with this node's share renewed and expired shares of others removed."""
        others = {h: s for h, s in table.shares.items() if h != self.holder}
        active = {h: s for h, s in others.items() if not self._has_lapsed(h, s)}
        taken = sum(share.amount for share in active.values())
        others_want_more = any(share.wants_more for share in active.values())
        requested = requested_amount(self.in_flight, self.wants_more, others_want_more)
        amount = max(0, min(requested, self.total - taken))
        sequence = 1 + max(self._sequence, self._agreed_sequence(table))
        own = Share(amount, sequence, self.wants_more and amount < requested)
        return ShareTable({**active, self.holder: own})

    def _agreed_sequence(self, table: ShareTable) -> int:
        """Return the sequence of this node's last agreed renewal, confirmed or not."""
        standing = table.shares.get(self.holder)
        return standing.sequence if standing is not None else 0

    def _has_lapsed(self, holder: str, share: Share) -> bool:
        now = self._clock()
        observed = self._observed.get(holder)
        if observed is None or observed.sequence != share.sequence:
            self._observed[holder] = ObservedRenewal(share.sequence, now)
            return False
        return now - observed.since > self._term + self._margin

    def prepare_renewal(self, amount: int) -> None:
        """Limit the share to `amount` from now on.

        The renewal may be agreed on even if its confirmation is lost.
        """
        self._amount = min(self._amount, amount)

    def confirm(self, table: ShareTable, requested_at: float) -> None:
        """Adopt this node's share from the agreed table; its term starts at `requested_at`."""
        own = table.shares.get(self.holder)
        if own is None:
            self._amount = 0
            return
        self._sequence = own.sequence
        self._amount = own.amount
        self._valid_until = requested_at + self._term - self._margin
        if not own.wants_more:
            self.wants_more = False


class LimitShareController:
    """Holds and renews this node's shares of the limits of the configuration."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._timing = agent.settings.timing
        self._shares: dict[str, LimitShare] = {}
        self._renewal_locks: dict[str, asyncio.Lock] = {}

    async def run(self) -> None:
        """Renew all shares several times per term, until cancelled."""
        while True:
            for limit in self._limits():
                self._agent.tasks.start(self.renew(limit), f"limit {limit.name}")
            await asyncio.sleep(self._timing.limit_term / RENEWALS_PER_TERM)

    def _limits(self) -> list[Limit]:
        return list(self._agent.lease.snapshot.limits.values())

    def share_of(self, limit: Limit) -> LimitShare:
        """Return this node's share of a limit, which is created on first use."""
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
        """Count one more request in flight, after a renewal if needed; return whether it fits."""
        share = self.share_of(limit)
        if share.try_acquire():
            return True
        await self.renew(limit)
        return share.try_acquire()

    async def renew(self, limit: Limit) -> None:
        """Renew the share in the agreed table; concurrent calls share one renewal."""
        lock = self._renewal_locks.setdefault(limit.name, asyncio.Lock())
        if lock.locked():
            async with lock:
                return  # the renewal that this caller waited for also covers its own
        async with lock:
            await self._renew(self.share_of(limit), limit)

    async def _renew(self, share: LimitShare, limit: Limit) -> None:
        requested_at = clocks.boottime_s()
        record_key = self._agent.locate(f"limit/{limit.name}")

        def change(standing: bytes | None) -> bytes:
            table = msgspec.msgpack.decode(standing, type=ShareTable) if standing else ShareTable()
            renewed = share.with_renewal(table)
            share.prepare_renewal(renewed.shares[share.holder].amount)
            return msgspec.msgpack.encode(renewed)

        try:
            value = await self._agent.proposer.change(record_key, change)
        except RecordError as error:
            log.info("share not renewed", extra={"limit": limit.name, "error": str(error)})
            return
        assert value is not None
        share.confirm(msgspec.msgpack.decode(value, type=ShareTable), requested_at)
