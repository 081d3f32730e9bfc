"""Fetches the configuration revision that the region's register names if this node lacks it.

The lease determines which revision is missing, unless a peer announced a newer one. The content is
requested from the zone's relays and, if none of them has it, read from the register.
"""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.cluster.configuration_register import ConfigurationRegister
from crankseam.cluster.zone_order import ZoneOrder
from crankseam.config.snapshot import StoredSnapshot
from crankseam.errors import PeerError, RecordError
from crankseam.peers.messages import AnyMessage, FetchSnapshot, SnapshotAnswer
from crankseam.peers.transport import PeerTransport
from crankseam.settings import NodeSettings

CHECKS_PER_HEARTBEAT = 4
"""How often this node checks for a missing revision. Nearly always an announcement arrives first;
the checks limit the delay if it was lost."""


class SnapshotFollower:
    """Keeps the lease's snapshot at the newest known revision and sends it to peers on request."""

    def __init__(
        self,
        settings: NodeSettings,
        lease: ConfigurationLease,
        register: ConfigurationRegister,
        order: ZoneOrder,
        transport: PeerTransport,
    ) -> None:
        self._own_name = settings.name
        self._timing = settings.timing
        self._lease = lease
        self._register = register
        self._order = order
        self._transport = transport
        self._announced = asyncio.Event()
        self._announced_revision = 0
        transport.handle(FetchSnapshot, self._on_fetch_snapshot)

    def announce(self, revision: int) -> None:
        """Fetch this revision without waiting for the next check.

        Called when a peer reports that the register names the revision.
        """
        if revision > self._announced_revision:
            self._announced_revision = revision
            self._announced.set()

    async def run(self) -> None:
        """Fetch missing revisions until cancelled."""
        pause_s = self._timing.heartbeat_interval / CHECKS_PER_HEARTBEAT
        while True:
            missing = max(self._lease.missing_revision() or 0, self._announced_revision)
            if missing > self._lease.snapshot.revision:
                await self._fetch(missing)
            self._announced.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._announced.wait()

    async def _fetch(self, revision: int) -> None:
        relays = [relay for relay in self._order.relays() if relay.name != self._own_name]
        for relay in relays:
            try:
                answer = await self._transport.call_for(
                    relay.peer_address,
                    FetchSnapshot(revision),
                    SnapshotAnswer,
                    self._timing.peer_timeout,
                )
            except PeerError:
                continue  # the next relay or the register may have the content
            if answer.content is not None:
                self._lease.install(msgspec.msgpack.decode(answer.content, type=StoredSnapshot))
                return
        await self._fetch_from_register()

    async def _fetch_from_register(self) -> None:
        try:
            stored = await self._register.read_content()
        except RecordError:
            return  # no majority answered; `run` tries again after the pause
        if stored is not None:
            self._lease.install(stored)

    async def _on_fetch_snapshot(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, FetchSnapshot)
        stored = self._lease.stored
        if stored is None or stored.pointer.revision < message.revision:
            return SnapshotAnswer(None)
        return SnapshotAnswer(msgspec.msgpack.encode(stored))
