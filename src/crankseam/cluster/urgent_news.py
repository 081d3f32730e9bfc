"""Tells of deaths, departures, leaving back ends and new revisions without waiting for heartbeats.

Owns the news that has not been sent and the pause between rounds of nudges. Relies on `zone_order`
for whom to tell: a member tells its zone's relays, the relays of the zone it is about tell all
other relays, and each relay tells its own zone.

Rule of the pause: rounds that follow each other within four pauses double the pause, from an eighth
of a heartbeat up to two; after a longer calm it starts over. It protects an overloaded fleet from
the traffic about its own deaths (420 nodes on one machine, docs/design/06-membership.md).
Held by: tests/cluster/test_urgent_news.py, tests/cluster/test_membership.py.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from crankseam.cluster.digest import MemberStatus
from crankseam.cluster.parts import ClusterParts
from crankseam.errors import PeerError
from crankseam.peers.messages import AnyMessage, BackEndReport, Done, Entries, Member, Nudge

SHORTEST_PAUSE_HEARTBEATS = 1 / 8
"""Pause between two rounds after a calm, in heartbeats. Origin not recorded."""
LONGEST_PAUSE_HEARTBEATS = 2.0
"""Pause between two rounds at most, in heartbeats. Set with the doubling after 420 nodes on an
overloaded machine did not recover from the news of their own deaths (commit 9938361)."""
CALM_PAUSES = 4
"""Pauses without a round after which the pause is short again. Set with the doubling (commit
9938361)."""


def next_pause(since_last: float, pause: float, heartbeat: float) -> float:
    """Seconds between the last round of nudges and the one that is wanted now.

    Parameters
    ==========

    since_last : seconds since the last round.
    pause : seconds between the last two rounds.
    """
    if since_last > CALM_PAUSES * pause:
        return heartbeat * SHORTEST_PAUSE_HEARTBEATS
    return min(heartbeat * LONGEST_PAUSE_HEARTBEATS, pause * 2)


class UrgentNews:
    """Collects urgent news and sends it in rounds of nudges.

    Parameters
    ==========

    read_register : reads the configuration register once, for this node and those that ask it.
    pull_now : makes this node ask for news at once.
    """

    def __init__(
        self,
        parts: ClusterParts,
        read_register: Callable[[], Awaitable[None]],
        pull_now: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._order = parts.order
        self._own_name = parts.settings.name
        self._zone = parts.settings.zone
        self._heartbeat = parts.settings.timing.heartbeat_interval
        self._read_register = read_register
        self._pull_now = pull_now
        self._pause = self._heartbeat * SHORTEST_PAUSE_HEARTBEATS
        self._last_round = 0.0
        self._is_round_due = False
        self._untold_revision = 0
        self._told_revision = 0
        self._untold = Entries()
        self._concerns_other_zones = False
        parts.transport.handle(Nudge, self._on_nudge)
        parts.digest.on_change(self._pass_on)

    def _pass_on(self, change: Member | BackEndReport) -> None:
        """Tell of deaths, departures and leaving back ends at once; all else can wait."""
        observer = change.name if isinstance(change, Member) else change.watcher
        if observer != self._own_name and not self._order.is_relay():
            return
        if isinstance(change, Member):
            if change.status == MemberStatus.ALIVE:
                return
            self._untold.members.append(change)
        elif change.leaving:
            self._untold.back_ends.append(change)
        else:
            return
        self._concerns_other_zones = self._concerns_other_zones or change.zone == self._zone
        self.nudge()

    def nudge(self, revision: int = 0) -> None:
        """Tell others at once of something urgent that this node learned.

        Without a revision or collected news it only makes the relays look now.
        """
        self._untold_revision = max(revision, self._untold_revision)
        if not self._is_round_due:
            self._is_round_due = True
            self._parts.tasks.start(self._send_round(), "nudge")

    async def _send_round(self) -> None:
        """Send one round, once the pause is over, for all that asked meanwhile."""
        since_last = time.monotonic() - self._last_round
        self._pause = next_pause(since_last, self._pause, self._heartbeat)
        await asyncio.sleep(max(0.0, self._pause - since_last))
        self._last_round = time.monotonic()
        self._is_round_due = False
        message = Nudge(self._untold_revision, self._untold)
        targets = self._targets()
        self._told_revision = max(self._told_revision, self._untold_revision)
        self._untold_revision = 0
        self._untold = Entries()
        self._concerns_other_zones = False
        for target in targets:
            self._parts.tasks.start(self._send(target, message), "nudge")

    def _targets(self) -> list[Member]:
        targets = self._order.relays()
        if self._order.is_relay():
            targets = targets + self._parts.digest.alive_in_zone(self._zone)
            if self._concerns_other_zones or self._untold_revision:
                targets = targets + self._order.other_zone_relays()
        by_name = {member.name: member for member in targets}
        by_name.pop(self._own_name, None)
        return list(by_name.values())

    async def _send(self, target: Member, message: Nudge) -> None:
        timeout_s = self._parts.settings.timing.peer_timeout
        try:
            await self._parts.transport.call(target.peer_address, message, timeout_s)
        except PeerError:
            pass  # it takes the news with its next heartbeat

    async def _on_nudge(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Nudge)
        self._parts.digest.learn(message.entries)
        if message.revision > self._parts.lease.snapshot.revision:
            self._parts.snapshots.announce(message.revision)
            if self._order.is_relay() and message.revision > self._told_revision:
                await self._read_register()
                self.nudge(message.revision)
        elif not message.entries.members and not message.entries.back_ends:
            self._pull_now()  # the news has to be pulled
        return Done()
