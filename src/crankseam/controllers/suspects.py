"""Replicates a node's quarantine: by messages to all nodes, and through the key-value service.

Explanation
===========

Nodes do not watch keys of the key-value service individually. A node that changes a suspect writes
the change to the service and sends it to all other nodes. Each node also reads all suspects when it
starts and periodically after that, in case a message was lost. `quarantine/` decides which requests
are held back and how they are released. On the users' platform the same components watch the store
instead of receiving messages.
"""

from __future__ import annotations

import asyncio
import logging
import random

from crankseam.clients.key_value_transactions import KeyValueTransactions, entry_from_key_value
from crankseam.cluster.agent import ClusterAgent
from crankseam.constants import STATE_PREFIX
from crankseam.errors import KeyValueError, PeerError
from crankseam.peers.messages import AnyMessage, Done, Member, TellSuspects
from crankseam.quarantine.parts import make_quarantine
from crankseam.serving.supervisor import Supervisor

log = logging.getLogger(__name__)

READ_INTERVAL_S = 60.0
"""Time between two reads of all suspects. At 420 nodes this makes 7 calls per second in total."""
READ_RETRY_DELAY_S = 1.0
"""Time until the next read after a failed one."""
MAX_CONCURRENT_NOTIFICATIONS = 32
"""Peers to which a change is sent concurrently."""


class SuspectController:
    """Connects the quarantine of one node to the other nodes and to the key-value service."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._supervisor = Supervisor()
        self._parts = make_quarantine(
            KeyValueTransactions(agent.key_value),
            STATE_PREFIX,
            self._notify_peers,
            self._supervisor,
            lambda: agent.membership.order.is_first_of_region(),
            is_followed=False,
        )
        self.quarantine = self._parts.quarantine
        agent.transport.handle(TellSuspects, self._on_suspects)

    async def run(self) -> None:
        """Publish suspects found by this node and read those of other nodes, until cancelled."""
        self._parts.start(self._supervisor)
        try:
            while True:
                pause_s = await self._read_suspects()
                await asyncio.sleep(pause_s)
        finally:
            await self._supervisor.stop()

    async def _read_suspects(self) -> float:
        """Read all suspects; return the seconds until the next read."""
        try:
            entries = await self._agent.key_value.get_all(self.quarantine.prefix)
        except KeyValueError as error:
            log.info("suspects not read", extra={"error": type(error).__name__})
            return READ_RETRY_DELAY_S
        self.quarantine.apply_snapshot([entry_from_key_value(entry) for entry in entries])
        return READ_INTERVAL_S * random.uniform(0.9, 1.1)

    async def _notify_peers(self, encoded: bytes) -> None:
        own_name = self._agent.settings.name
        members = [member for member in self._agent.digest.alive() if member.name != own_name]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_NOTIFICATIONS)
        await asyncio.gather(*(self._notify_peer(member, encoded, semaphore) for member in members))

    async def _notify_peer(
        self, member: Member, encoded: bytes, semaphore: asyncio.Semaphore
    ) -> None:
        async with semaphore:
            try:
                await self._agent.transport.call_for(
                    member.peer_address,
                    TellSuspects(encoded),
                    Done,
                    self._agent.settings.timing.peer_timeout,
                )
            except PeerError as error:
                log.info(
                    "suspects not told",
                    extra={"peer": member.name, "error": type(error).__name__},
                )

    async def _on_suspects(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, TellSuspects)
        await self._parts.publisher.handle_message(message.news)
        return Done()
