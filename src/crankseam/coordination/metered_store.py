"""Measures the duration and the outcome of each call to a coordination store.

Every call is delegated unchanged and then reported to an observer, such as the process metrics.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from crankseam.coordination.interface import (
    Changes,
    CoordinationStore,
    Entry,
    GrantedLease,
    Page,
    Transaction,
)

Result = TypeVar("Result")
CallObserver = Callable[[str, str, float], None]
"""Called with the name of the call, its outcome and its duration in seconds.

The outcome is `ok`, `cancelled`, or the class name of the exception.
"""


class MeteredStore:
    """A CoordinationStore that delegates to another one and reports each call to an observer."""

    def __init__(self, store: CoordinationStore, observe: CallObserver) -> None:
        self._store = store
        self._observe = observe

    async def _timed(self, call: str, operation: Awaitable[Result]) -> Result:
        started = time.monotonic()
        answer = "cancelled"
        try:
            result = await operation
            answer = "ok"
            return result
        except Exception as error:
            answer = type(error).__name__
            raise
        finally:
            self._observe(call, answer, time.monotonic() - started)

    async def get(self, key: str) -> Entry | None:
        """See CoordinationStore."""
        return await self._timed("get", self._store.get(key))

    async def page(self, prefix: str, after_key: str = "") -> Page:
        """See CoordinationStore."""
        return await self._timed("page", self._store.page(prefix, after_key))

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> Changes:
        """See CoordinationStore."""
        return await self._timed("watch", self._store.watch(prefix, after_revision, wait_s))

    async def commit(self, transaction: Transaction) -> int:
        """See CoordinationStore."""
        return await self._timed("commit", self._store.commit(transaction))

    async def grant_lease(self, duration: float) -> GrantedLease:
        """See CoordinationStore."""
        return await self._timed("grant_lease", self._store.grant_lease(duration))

    async def renew_lease(self, lease: int) -> float:
        """See CoordinationStore."""
        return await self._timed("renew_lease", self._store.renew_lease(lease))

    async def end_lease(self, lease: int) -> None:
        """See CoordinationStore."""
        await self._timed("end_lease", self._store.end_lease(lease))
