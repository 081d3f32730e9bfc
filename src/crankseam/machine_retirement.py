"""Answers the operator's request to empty a machine before it is taken away.

Machines keep nothing that must outlive them: jobs and their results are in the coordination
store. So a machine is empty as soon as it is asked for, whoever answers.
"""

from __future__ import annotations

import asyncio
import logging
import random

from crankseam.backoff import Backoff
from crankseam.coordination.interface import (
    ABSENT,
    Condition,
    CoordinationStore,
    Put,
    Transaction,
    TransactionConflict,
)
from crankseam.errors import KeyValueError

log = logging.getLogger(__name__)

SPREAD_S = 1.0
"""Seconds over which processes spread their answers: every front sees the request, and most find it
answered when their turn comes. Origin not recorded."""
RETRY_BASE_S = 0.3
"""Longest pause, in seconds, after the first failure of the store. Origin not recorded."""
RETRY_CAP_S = 2.0
"""Seconds that the pause does not exceed. Origin not recorded."""


class MachineRetirements:
    """Writes the status of machines that are to be taken away."""

    def __init__(self, store: CoordinationStore) -> None:
        self._store = store
        self._answered: set[str] = set()

    async def answer(self, machine: str, status_key: str, status: bytes) -> None:
        """Say once that the machine is empty, through every failure of the store."""
        if machine in self._answered:
            return
        self._answered.add(machine)
        await asyncio.sleep(random.uniform(0.0, SPREAD_S))
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        while True:
            try:
                if await self._store.get(status_key) is None:
                    await self._write(status_key, status)
                    log.info("machine_retired", extra={"machine": machine})
                return
            except KeyValueError as error:
                log.warning("retirement_failed", extra={"error": type(error).__name__})
                await asyncio.sleep(backoff.next_delay())

    async def _write(self, key: str, status: bytes) -> None:
        try:
            await self._store.commit(Transaction([Condition(key, ABSENT)], [Put(key, status)]))
        except TransactionConflict:
            # Another process has answered meanwhile, and what it wrote is the same.
            return
