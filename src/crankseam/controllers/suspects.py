"""Keeps this node's quarantine: told to all nodes by messages, kept in the key-value service.

Nodes do not follow the key-value service one by one: who changes a suspect writes it there and
tells the others. A node reads them all when it starts, and now and then, in case a message was
lost. What is held back and how it is released is in `quarantine/`; on the users' platform the same
parts follow the store instead of being told.
"""

from __future__ import annotations

import asyncio
import logging
import random

from crankseam.clients.key_value_transactions import KeyValueTransactions, as_entry
from crankseam.cluster.agent import ClusterAgent
from crankseam.constants import STATE_PREFIX
from crankseam.errors import KeyValueError, PeerError
from crankseam.peers.messages import AnyMessage, Done, Member, TellSuspects
from crankseam.quarantine.parts import make_quarantine
from crankseam.serving.supervisor import Supervisor

log = logging.getLogger(__name__)

READ_S = 60.0
"""Between two readings of all suspects: 420 nodes then make 7 calls a second together."""
READ_RETRY_S = 1.0
"""After a reading that failed. Origin not recorded."""
TOLD_AT_ONCE = 32
"""Peers that are told at one time. Origin not recorded."""


class SuspectController:
    """The quarantine of one node, and its ways to the others and to the service."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._supervisor = Supervisor()
        self._parts = make_quarantine(
            KeyValueTransactions(agent.key_value),
            STATE_PREFIX,
            self._tell_all,
            self._supervisor,
            lambda: agent.membership.order.is_first_of_region(),
            is_followed=False,
        )
        self.quarantine = self._parts.quarantine
        agent.transport.handle(TellSuspects, self._on_told)

    async def run(self) -> None:
        """Publish what is seen here and read what others wrote, until cancelled."""
        self._parts.start(self._supervisor)
        try:
            while True:
                pause_s = await self._read()
                await asyncio.sleep(pause_s)
        finally:
            await self._supervisor.stop()

    async def _read(self) -> float:
        """Read all; returns the seconds until the next reading."""
        try:
            found = await self._agent.key_value.get_all(self.quarantine.prefix)
        except KeyValueError as error:
            log.info("suspects not read", extra={"error": type(error).__name__})
            return READ_RETRY_S
        self.quarantine.take_all([as_entry(one) for one in found])
        return READ_S * random.uniform(0.9, 1.1)

    async def _tell_all(self, raw: bytes) -> None:
        own = self._agent.settings.name
        members = [member for member in self._agent.digest.alive() if member.name != own]
        places = asyncio.Semaphore(TOLD_AT_ONCE)
        await asyncio.gather(*(self._tell(member, raw, places) for member in members))

    async def _tell(self, member: Member, raw: bytes, places: asyncio.Semaphore) -> None:
        async with places:
            try:
                await self._agent.transport.call_for(
                    member.peer_address,
                    TellSuspects(raw),
                    Done,
                    self._agent.settings.timing.peer_timeout,
                )
            except PeerError as error:
                log.info(
                    "suspects not told",
                    extra={"peer": member.name, "error": type(error).__name__},
                )

    async def _on_told(self, _peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, TellSuspects)
        await self._parts.publisher.serve(message.news)
        return Done()
