"""Shares the paces of samplers with other processes through the coordination store.

A process that takes over a job, or that assigns models to samplers, has observed few or none of the
samplers' streams itself. Paces seldom change, so sharing them costs few writes.
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
"""Key prefix of the pace tables, one per process: seconds between events by sampler id."""
CHECK_INTERVAL_S = 0.5
"""Interval at which this process checks whether its table has to be written."""
MIN_WRITE_INTERVAL_S = 2.0
"""Minimum time between two writes of a process's table."""
MIN_RELATIVE_CHANGE = 0.1
"""Under the same lease, the table is written again only if a pace differs from the published one by
more than this share of itself."""


class PaceSharing:
    """Publishes this process's pace table under its lease, and reads the tables of other processes.

    Parameters
    ==========

    process : name of this process.
    paces : holds the paces that this process observed and those that other processes published.
    is_known : whether a sampler of this id is still registered; others are left out of the table.
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
        self._published: dict[str, float] = {}
        self._published_lease = 0
        self._published_at = float("-inf")

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Apply a change of another process's table.

        Parameters
        ==========

        key : key of the table, below `PACE_PREFIX`.
        entry : new value; None if the table was deleted. A table that cannot be decoded counts as
            deleted.
        """
        if key == self._key:
            return
        table: dict[str, float] = {}
        if entry is not None:
            try:
                table = msgspec.msgpack.decode(entry.value, type=dict[str, float])
            except msgspec.DecodeError:
                log.warning("paces_malformed", extra={"key": key})
        self._paces.update_from_process(key.removeprefix(PACE_PREFIX), table)

    async def run(self) -> None:
        """Publish this process's table whenever it has changed, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            table = self._paces.own_table()
            if self._lease.is_held() and self._is_publication_due(table):
                await self._publish(table)

    def _is_publication_due(self, table: dict[str, float]) -> bool:
        if time.monotonic() - self._published_at < MIN_WRITE_INTERVAL_S:
            return False
        if table and self._published_lease != self._lease.number:
            return True
        return any(
            abs(pace - self._published.get(key, 0.0)) > MIN_RELATIVE_CHANGE * pace
            for key, pace in table.items()
        )

    async def _publish(self, table: dict[str, float]) -> None:
        lease = self._lease.number
        previous = self._published if self._published_lease == lease else {}
        published = {key: pace for key, pace in (previous | table).items() if self._is_known(key)}
        put = Put(self._key, msgspec.msgpack.encode(published), lease)
        self._published_at = time.monotonic()
        try:
            await self._store.commit(Transaction(puts=[put]))
        except KeyValueError as error:
            log.info("paces_not_told", extra={"error": type(error).__name__})
            return
        self._published, self._published_lease = published, lease
