"""Body of a streamed answer that keeps the place of its request until it has ended."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable
from types import TracebackType
from typing import Any


class HeldBody(AsyncGenerator[bytes, None]):
    """Body of a streamed answer, which keeps the place of its request until it has ended.

    A generator that was never started can't release anything when it is closed; this one can.
    """

    def __init__(self, chunks: AsyncGenerator[bytes, None], release: Callable[[], None]) -> None:
        self._chunks = chunks
        self._release = release

    async def asend(self, value: None) -> bytes:
        """See AsyncGenerator."""
        try:
            return await self._chunks.asend(value)
        except BaseException:
            self._release()
            raise

    async def athrow(
        self,
        typ: Any,
        val: Any = None,
        tb: TracebackType | None = None,
    ) -> bytes:
        """See AsyncGenerator."""
        try:
            return await self._chunks.athrow(typ, val, tb)
        finally:
            self._release()

    async def aclose(self) -> None:
        """See AsyncGenerator."""
        try:
            await self._chunks.aclose()
        finally:
            self._release()
