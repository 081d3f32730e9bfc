"""Sends urgent updates in `Nudge` messages, without waiting for the next heartbeat.

Deaths and departures of members, leaving back ends and new configuration revisions are urgent. A
member sends an update to its zone's relays, and each relay forwards it to the members of its zone.
The relays of all other zones receive it from the relays of the zone that it is about; a new
revision is sent to them by every relay. `zone_order` determines the relays.

Inputs: the changes of the digest table, the revisions passed to `nudge`, and the time of the last
round of nudges (seconds of the monotonic clock).
Rule: the pause between two rounds doubles, from an eighth of a heartbeat up to two heartbeats, as
long as each round follows the previous one within four pauses. After a longer interval the shortest
pause applies again.
Purpose: an overloaded cluster is not kept overloaded by the updates about its own dead members (420
nodes on one machine, docs/design/06-membership.md).
Logged as: no log event.
Tested by: tests/cluster/test_urgent_updates.py, tests/cluster/test_membership.py.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from crankseam.cluster.digest import MemberStatus
from crankseam.cluster.parts import ClusterParts
from crankseam.errors import PeerError
from crankseam.peers.messages import AnyMessage, BackEndReport, Done, Entries, Member, Nudge

MIN_PAUSE_HEARTBEATS = 1 / 8
"""Shortest pause between two rounds, in heartbeats; applies after an interval without rounds."""
MAX_PAUSE_HEARTBEATS = 2.0
"""Longest pause between two rounds, in heartbeats. Without the growing pause, 420 nodes on an
overloaded machine did not recover from the updates about their own dead members."""
PAUSE_RESET_FACTOR = 4
"""The pause is reset to the shortest one after an interval of more than this many pauses without a
round."""


def next_pause(since_last: float, pause: float, heartbeat: float) -> float:
    """Minimum seconds between the last round of nudges and the next one.

    Parameters
    ==========

    since_last : seconds since the last round.
    pause : pause before the last round, in seconds.
    heartbeat : interval between heartbeats, in seconds.
    """
    if since_last > PAUSE_RESET_FACTOR * pause:
        return heartbeat * MIN_PAUSE_HEARTBEATS
    return min(heartbeat * MAX_PAUSE_HEARTBEATS, pause * 2)


class UrgentUpdates:
    """Collects urgent updates and sends them in rounds of nudges.

    Parameters
    ==========

    read_register : reads the configuration register once, for this node and the nodes that send
        heartbeats to it.
    pull_now : makes this node send its next heartbeats early, to fetch changes from its relays.
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
        self._heartbeat_interval = parts.settings.timing.heartbeat_interval
        self._read_register = read_register
        self._pull_now = pull_now
        self._pause = self._heartbeat_interval * MIN_PAUSE_HEARTBEATS
        self._last_round = 0.0
        self._is_round_due = False
        self._pending_revision = 0
        self._announced_revision = 0
        self._pending_entries = Entries()
        self._concerns_other_zones = False
        parts.transport.handle(Nudge, self._on_nudge)
        parts.digest.on_change(self._on_digest_change)

    def _on_digest_change(self, change: Member | BackEndReport) -> None:
        """Send deaths, departures and leaving back ends at once; other changes wait for heartbeats.

        A node that is not a relay sends only changes that it observed itself.
        """
        observer = change.name if isinstance(change, Member) else change.watcher
        if observer != self._own_name and not self._order.is_relay():
            return
        if isinstance(change, Member):
            if change.status == MemberStatus.ALIVE:
                return
            self._pending_entries.members.append(change)
        elif change.leaving:
            self._pending_entries.back_ends.append(change)
        else:
            return
        self._concerns_other_zones = self._concerns_other_zones or change.zone == self._zone
        self.nudge()

    def nudge(self, revision: int = 0) -> None:
        """Start a round of nudges unless one is due already.

        The round carries the collected updates and the highest `revision` passed since the last
        round. A nudge without either only makes its receivers fetch changes at once.
        """
        self._pending_revision = max(revision, self._pending_revision)
        if not self._is_round_due:
            self._is_round_due = True
            self._parts.tasks.start(self._send_round(), "nudge")

    async def _send_round(self) -> None:
        """Wait for the pause, then send all updates collected until its end in one round."""
        since_last = time.monotonic() - self._last_round
        self._pause = next_pause(since_last, self._pause, self._heartbeat_interval)
        await asyncio.sleep(max(0.0, self._pause - since_last))
        self._last_round = time.monotonic()
        self._is_round_due = False
        message = Nudge(self._pending_revision, self._pending_entries)
        targets = self._targets()
        self._announced_revision = max(self._announced_revision, self._pending_revision)
        self._pending_revision = 0
        self._pending_entries = Entries()
        self._concerns_other_zones = False
        for target in targets:
            self._parts.tasks.start(self._send(target, message), "nudge")

    def _targets(self) -> list[Member]:
        targets = self._order.relays()
        if self._order.is_relay():
            targets = targets + self._parts.digest.alive_in_zone(self._zone)
            if self._concerns_other_zones or self._pending_revision:
                targets = targets + self._order.other_zone_relays()
        by_name = {member.name: member for member in targets}
        by_name.pop(self._own_name, None)
        return list(by_name.values())

    async def _send(self, target: Member, message: Nudge) -> None:
        timeout_s = self._parts.settings.timing.peer_timeout
        try:
            await self._parts.transport.call(target.peer_address, message, timeout_s)
        except PeerError:
            pass  # the target receives the update with its next heartbeat

    async def _on_nudge(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, Nudge)
        self._parts.digest.merge(message.entries)
        if message.revision > self._parts.lease.snapshot.revision:
            self._parts.snapshots.announce(message.revision)
            if self._order.is_relay() and message.revision > self._announced_revision:
                await self._read_register()
                self.nudge(message.revision)
        elif not message.entries.members and not message.entries.back_ends:
            self._pull_now()  # the nudge carries no update, so the change must be fetched
        return Done()
