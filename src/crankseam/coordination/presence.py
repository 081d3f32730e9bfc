"""Service discovery: announces the address of this process, and lists the other processes.

Each process writes a key below the state prefix, bound to its lease. The list comes from the local
copy of the state prefix, so a process that is gone remains listed until its lease ends.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from crankseam.coordination.follower import PrefixFollower
from crankseam.coordination.interface import CoordinationStore, Put, Transaction
from crankseam.coordination.process_lease import ProcessLease
from crankseam.coordination.watch_roles import Peer
from crankseam.errors import KeyValueError

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
"""Interval in seconds at which a process checks whether it must announce itself (again)."""
PROCESS_PREFIX = "process/"
"""Prefix, below the state prefix, of the keys of the live processes, one for each."""
DEFAULT_CAPACITY = 1.0
"""Capacity of a machine that announces none; machines without capacities all rank equally."""
ProcessRequester = Callable[[str, bytes, float], Awaitable[bytes]]
"""Sends bytes to the process of a given name and returns its answer.

The last argument is the time limit in seconds. Raises KeyValueError if there is no such process or
no answer.
"""


class Announcement(NamedTuple):
    """The announcement of a process: its address (``ip:port``) and the capacity of its machine."""

    address: str
    capacity: float


def encode_presence(address: str, capacity: float) -> bytes:
    """Encode an Announcement as the value of a key."""
    return f"{address} {capacity:g}".encode()


def decode_presence(value: bytes) -> Announcement:
    """Decode an Announcement; a missing or malformed capacity becomes `DEFAULT_CAPACITY`."""
    address, _, capacity = value.decode().partition(" ")
    try:
        return Announcement(address, float(capacity))
    except ValueError:
        # Written by a process that announces no capacity.
        return Announcement(address, DEFAULT_CAPACITY)


def live_capacities(state: PrefixFollower) -> dict[str, float]:
    """The announced processes, with the capacities of their machines."""
    prefix = state.prefix + PROCESS_PREFIX
    return {
        key.removeprefix(prefix): decode_presence(entry.value).capacity
        for key, entry in state.entries.items()
        if key.startswith(prefix)
    }


class Presence:
    """Maintains the announcement of this process, and lists the announced processes.

    Parameters
    ==========

    state : follower of the state prefix.
    address : address at which peers reach this process (``ip:port``).
    capacity : capacity of its machine, relative to the other machines of the deployment.
    """

    def __init__(
        self,
        store: CoordinationStore,
        state: PrefixFollower,
        lease: ProcessLease,
        process: str,
        address: str,
        capacity: float = DEFAULT_CAPACITY,
    ) -> None:
        self._store = store
        self._state = state
        self._lease = lease
        self._prefix = state.prefix + PROCESS_PREFIX
        self._key = self._prefix + process
        self._announcement = encode_presence(address, capacity)
        self._announced_lease = 0
        self._last_known_peers: list[str] = []

    def processes(self) -> list[Peer]:
        """All announced processes, including this one.

        The revision of a peer is that of the creation of its key, as far as it is known. A process
        that announced itself again under another lease thus keeps the revision of its first
        announcement.
        """
        return [
            Peer(
                key.removeprefix(self._prefix),
                decode_presence(entry.value).address,
                entry.created or entry.revision,
            )
            for key, entry in self._state.entries.items()
            if key.startswith(self._prefix)
        ]

    def address_of(self, process: str) -> str | None:
        """The address of a process; None if the process is not announced."""
        entry = self._state.entries.get(self._prefix + process)
        return decode_presence(entry.value).address if entry is not None else None

    def capacities(self) -> dict[str, float]:
        """All announced processes, with the capacities of their machines."""
        return live_capacities(self._state)

    def peers(self) -> list[str]:
        """Addresses of the other processes; if none is listed, the last known addresses."""
        current = [
            process.address
            for process in self.processes()
            if self._prefix + process.name != self._key
        ]
        if current:
            self._last_known_peers = current
        return list(self._last_known_peers)

    async def run(self) -> None:
        """Announce this process under each new lease, until cancelled."""
        while True:
            if self._lease.is_held() and self._announced_lease != self._lease.number:
                await self._announce()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _announce(self) -> None:
        lease = self._lease.number
        put = Put(self._key, self._announcement, lease)
        try:
            await self._store.commit(Transaction(puts=[put]))
        except KeyValueError as error:
            log.warning("presence_not_told", extra={"error": type(error).__name__})
            return
        self._announced_lease = lease
