"""Announces where this process is reached, for as long as it lives, and finds the others.

Owns this process's key below the prefix of states, under its lease, and the last addresses that
were known. Relies on the follower of states: a process that is gone is listed until its lease ends.
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

LOOK_S = 1.0
"""How often this process looks whether it is to announce itself, and tries again; origin not
recorded."""
PROCESS_FOLDER = "process/"
"""Below the prefix of states: a key for each living process."""
DEFAULT_CAPACITY = 1.0
"""Size of a machine that does not say it: then all count alike."""
ProcessAsker = Callable[[str, bytes, float], Awaitable[bytes]]
"""Sends bytes to a process by its name and returns its answer within so many seconds.

Raises KeyValueError if there is no such process, or no answer.
"""


class Announcement(NamedTuple):
    """What a process says of itself: its ``ip:port``, and how large its machine is."""

    address: str
    capacity: float


def encode_presence(address: str, capacity: float) -> bytes:
    """See Announcement."""
    return f"{address} {capacity:g}".encode()


def decode_presence(value: bytes) -> Announcement:
    """See Announcement; a capacity that can't be read is the default."""
    address, _, capacity = value.decode().partition(" ")
    try:
        return Announcement(address, float(capacity))
    except ValueError:
        # Written by a process that tells no capacity.
        return Announcement(address, DEFAULT_CAPACITY)


def living_capacities(state: PrefixFollower) -> dict[str, float]:
    """The processes that announced themselves, with the sizes of their machines."""
    prefix = state.prefix + PROCESS_FOLDER
    return {
        key.removeprefix(prefix): decode_presence(entry.value).capacity
        for key, entry in state.entries.items()
        if key.startswith(prefix)
    }


class Presence:
    """A key with this process's address, under its lease.

    Parameters
    ==========

    state : follows the prefix below which the keys stand.
    address : where peers reach this process, ``ip:port``.
    capacity : how large its machine is, beside others of the deployment.
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
        self._prefix = state.prefix + PROCESS_FOLDER
        self._key = self._prefix + process
        self._announcement = encode_presence(address, capacity)
        self._announced_under = 0
        self._known: list[str] = []

    def processes(self) -> list[Peer]:
        """All that announced themselves, this process among them.

        One that announced itself again under another lease counts as there since its first time.
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
        """Where a process is reached; None if it is not known to live."""
        entry = self._state.entries.get(self._prefix + process)
        return decode_presence(entry.value).address if entry is not None else None

    def capacities(self) -> dict[str, float]:
        """All that announced themselves, with the sizes of their machines."""
        return living_capacities(self._state)

    def peers(self) -> list[str]:
        """Addresses of the other processes; the last known ones while the store is out of reach."""
        current = [one.address for one in self.processes() if self._prefix + one.name != self._key]
        if current:
            self._known = current
        return list(self._known)

    async def run(self) -> None:
        """Announce this process under each new lease, until cancelled."""
        while True:
            if self._lease.is_held() and self._announced_under != self._lease.number:
                await self._announce()
            await asyncio.sleep(LOOK_S)

    async def _announce(self) -> None:
        lease = self._lease.number
        put = Put(self._key, self._announcement, lease)
        try:
            await self._store.commit(Transaction(puts=[put]))
        except KeyValueError as error:
            log.warning("presence_not_told", extra={"error": type(error).__name__})
            return
        self._announced_under = lease
