"""Takes accepted revisions from the key-value service into the region's register.

Owns the parts of the last revision, so that only changed ones are read. Relies on `zone_order` for
which node does it: the first of the region. An outage of the service delays new revisions and
changes nothing else.
"""

from __future__ import annotations

import asyncio
import logging

import msgspec

from crankseam.backoff import Backoff
from crankseam.cluster.agent import ClusterAgent
from crankseam.config.snapshot import Pointer, StoredSnapshot, content_address
from crankseam.constants import PART_PREFIX, POINTER_KEY
from crankseam.errors import CrankseamError, KeyValueError, KeyValueUnavailable, RecordError

log = logging.getLogger(__name__)

IDLE_POLL_S = 1.0
"""How often a node that does not have the duty looks whether it has. One heartbeat."""
REREAD_S = 15.0
"""The pointer is read again this often, in case a watch went silent. Origin not recorded."""
RETRY_BASE_S = 0.3
"""Upper bound of the first pause after a failed call. Origin not recorded."""
RETRY_CAP_S = 5.0
"""Upper bound of any pause after a failed call. Origin not recorded."""
SHORTEST_RETRY_S = 0.1
"""Added to each pause, so that no two calls follow each other at once. Origin not recorded."""


class MissingPart(CrankseamError):
    """A part that the pointer names is not in the key-value service."""


class ConfigurationFollower:
    """Watches the pointer while this node carries the region's single duties.

    Two followers at once do no harm: both write the same revisions, and the register only grows.
    """

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._parts: dict[str, bytes] = {}
        self._published = 0
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not self._agent.membership.order.is_first_of_region():
                await asyncio.sleep(IDLE_POLL_S)
                continue
            try:
                await self._follow()
            except (KeyValueError, RecordError, MissingPart) as error:
                log.info("configuration not followed", extra={"error": type(error).__name__})
                await asyncio.sleep(SHORTEST_RETRY_S + self._backoff.next_delay())

    async def _follow(self) -> None:
        await self._read_pointer()
        self._backoff.reset()
        try:
            async with asyncio.timeout(REREAD_S):
                async for change in self._agent.key_value.watch(POINTER_KEY):
                    await self._publish(change.value)
        except TimeoutError:
            pass  # the pointer is due to be read again
        except KeyValueUnavailable:
            await asyncio.sleep(SHORTEST_RETRY_S + self._backoff.next_delay())

    async def _read_pointer(self) -> None:
        found = await self._agent.key_value.get(POINTER_KEY)
        if found is not None:
            await self._publish(found.value)

    async def _publish(self, encoded: bytes) -> None:
        pointer = msgspec.json.decode(encoded, type=Pointer)
        if pointer.revision <= self._published:
            register = await self._agent.register.read_revision()
            if register >= pointer.revision:
                return  # anything less: the register was founded anew
        documents = [await self._part(address) for address in pointer.parts.values()]
        stored = StoredSnapshot(pointer, documents)
        await self._agent.register.publish(stored)
        self._published = pointer.revision
        self._parts = {address: self._parts[address] for address in pointer.parts.values()}
        log.info("revision in the register", extra={"revision": pointer.revision})
        self._agent.lease.install(stored)
        self._agent.membership.nudge(pointer.revision)

    async def _part(self, address: str) -> bytes:
        if address not in self._parts:
            found = await self._agent.key_value.get(PART_PREFIX + address)
            if found is None or content_address(found.value) != address:
                raise MissingPart(address)
            self._parts[address] = found.value
        return self._parts[address]
