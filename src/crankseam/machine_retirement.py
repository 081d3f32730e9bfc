"""Answers the operator's request to empty a machine before it is removed.

Machines hold no state that must outlive them: jobs and their results are in the coordination store.
A machine is therefore empty as soon as the request arrives, whichever process answers it.
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

ANSWER_JITTER_S = 1.0
"""Upper bound, in seconds, of the random delay before a process answers: every front sees the
request, and after the delay most find it already answered."""
RETRY_BASE_S = 0.3
"""Upper bound, in seconds, of the pause after the first failure of the store."""
RETRY_CAP_S = 2.0
"""Upper bound, in seconds, of every such pause."""


class MachineRetirements:
    """Writes the retirement status of machines that are to be removed."""

    def __init__(self, store: CoordinationStore) -> None:
        self._store = store
        self._answered: set[str] = set()

    async def answer(self, machine: str, status_key: str, status: bytes) -> None:
        """Report once that the machine is empty, retrying until the store has the report."""
        if machine in self._answered:
            return
        self._answered.add(machine)
        await asyncio.sleep(random.uniform(0.0, ANSWER_JITTER_S))
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
            # Another process answered in the meantime, with the same status.
            return
