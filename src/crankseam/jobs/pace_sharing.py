"""Tells other processes how fast samplers are, through the coordination store.

Who takes a job over, and who decides which samplers carry which model, has seen few or none of
their streams. Paces seldom change, so that costs a few writes.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import msgspec

from crankseam.coordination.interface import CoordinationStore, Entry, Put, Transaction
from crankseam.coordination.process_lease import ProcessLease
from crankseam.errors import KeyValueError
from crankseam.jobs.repository import STATE_PREFIX
from crankseam.serving.paces import SamplerPaces

log = logging.getLogger(__name__)

PACE_PREFIX = STATE_PREFIX + "pace/"
"""Below it stands a table of each process: seconds between events by id of the sampler."""
LOOK_S = 0.5
"""Seconds between two looks for news. Origin not recorded."""
SHORTEST_PAUSE_S = 2.0
"""Between two tables of one process. A choice, not measured by itself."""
CHANGE_SHARE = 0.1
"""A pace that differs by less than this share from what was told is not told anew. A choice, not
measured by itself."""


class PaceSharing:
    """Keeps this process's table in the store, under its lease, and takes those of others.

    Parameters
    ==========

    is_known : whether a sampler of this id is still there; others are told no longer.
    """

    def __init__(
        self,
        store: CoordinationStore,
        lease: ProcessLease,
        process: str,
        paces: SamplerPaces,
        is_known: Callable[[str], bool],
    ) -> None:
        self._store = store
        self._lease = lease
        self._key = PACE_PREFIX + process
        self._paces = paces
        self._is_known = is_known
        self._told: dict[str, float] = {}
        self._told_under = 0
        self._told_at = float("-inf")

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Take a change below the prefix of paces."""
        if key == self._key:
            return
        table: dict[str, float] = {}
        if entry is not None:
            try:
                table = msgspec.msgpack.decode(entry.value, type=dict[str, float])
            except msgspec.DecodeError:
                log.warning("paces_malformed", extra={"key": key})
        self._paces.told(key.removeprefix(PACE_PREFIX), table)

    async def run(self) -> None:
        """Tell what changed until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            table = self._paces.own_table()
            if self._lease.is_held() and self._is_news(table):
                await self._tell(table)

    def _is_news(self, table: dict[str, float]) -> bool:
        if time.monotonic() - self._told_at < SHORTEST_PAUSE_S:
            return False
        if table and self._told_under != self._lease.number:
            return True
        return any(
            abs(pace - self._told.get(key, 0.0)) > CHANGE_SHARE * pace
            for key, pace in table.items()
        )

    async def _tell(self, table: dict[str, float]) -> None:
        lease = self._lease.number
        before = self._told if self._told_under == lease else {}
        told = {key: pace for key, pace in (before | table).items() if self._is_known(key)}
        put = Put(self._key, msgspec.msgpack.encode(told), lease)
        self._told_at = time.monotonic()
        try:
            await self._store.commit(Transaction(puts=[put]))
        except KeyValueError as error:
            log.info("paces_not_told", extra={"error": type(error).__name__})
            return
        self._told, self._told_under = told, lease
