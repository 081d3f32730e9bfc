"""Copies accepted configuration revisions from the key-value service into the region's register.

Explanation
===========

Caches the parts of the last revision, so that only changed parts are read. `zone_order` decides
which node does this: the first one of the region. An outage of the key-value service delays new
revisions and has no other effect.
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

STANDBY_POLL_INTERVAL_S = 1.0
"""How often a node that is not the first of its region checks its rank again: one heartbeat."""
POINTER_REREAD_INTERVAL_S = 15.0
"""How often the pointer is read again, in case a watch has stopped delivering changes."""
RETRY_BASE_S = 0.3
"""Upper bound of the first backoff after a failed call."""
RETRY_CAP_S = 5.0
"""Upper bound of any backoff after a failed call."""
MIN_RETRY_PAUSE_S = 0.1
"""Added to each backoff, so that a call is never repeated without a pause."""


class MissingPart(CrankseamError):
    """The key-value service lacks a part that the pointer names, or holds other content for it."""


class ConfigurationFollower:
    """Watches the configuration pointer while this node is the first one of its region.

    Two followers at a time are harmless: both write the same revisions, and the revision of the
    register never decreases.
    """

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self._parts_by_address: dict[str, bytes] = {}
        self._published_revision = 0
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)

    async def run(self) -> None:
        """Copy new revisions until cancelled."""
        while True:
            if not self._agent.membership.order.is_first_of_region():
                await asyncio.sleep(STANDBY_POLL_INTERVAL_S)
                continue
            try:
                await self._follow()
            except (KeyValueError, RecordError, MissingPart) as error:
                log.info("configuration not followed", extra={"error": type(error).__name__})
                await asyncio.sleep(MIN_RETRY_PAUSE_S + self._backoff.next_delay())

    async def _follow(self) -> None:
        await self._read_pointer()
        self._backoff.reset()
        try:
            async with asyncio.timeout(POINTER_REREAD_INTERVAL_S):
                async for change in self._agent.key_value.watch(POINTER_KEY):
                    await self._publish(change.value)
        except TimeoutError:
            pass  # the caller reads the pointer again
        except KeyValueUnavailable:
            await asyncio.sleep(MIN_RETRY_PAUSE_S + self._backoff.next_delay())

    async def _read_pointer(self) -> None:
        entry = await self._agent.key_value.get(POINTER_KEY)
        if entry is not None:
            await self._publish(entry.value)

    async def _publish(self, encoded: bytes) -> None:
        pointer = msgspec.json.decode(encoded, type=Pointer)
        if pointer.revision <= self._published_revision:
            register = await self._agent.register.read_revision()
            if register >= pointer.revision:
                return  # a lower revision means that the register was re-created without it
        documents = [await self._fetch_part(address) for address in pointer.parts.values()]
        stored = StoredSnapshot(pointer, documents)
        await self._agent.register.publish(stored)
        self._published_revision = pointer.revision
        self._parts_by_address = {
            address: self._parts_by_address[address] for address in pointer.parts.values()
        }
        log.info("revision in the register", extra={"revision": pointer.revision})
        self._agent.lease.install(stored)
        self._agent.membership.nudge(pointer.revision)

    async def _fetch_part(self, address: str) -> bytes:
        if address not in self._parts_by_address:
            entry = await self._agent.key_value.get(PART_PREFIX + address)
            if entry is None or content_address(entry.value) != address:
                raise MissingPart(address)
            self._parts_by_address[address] = entry.value
        return self._parts_by_address[address]
