"""Reads the bodies of requests within the memory budget of the process.

The bytes are reserved before they are read: all at once if the size is known, so that no two bodies
wait for room that the other one holds; in steps otherwise.
"""

from __future__ import annotations

import asyncio
import io
from typing import Protocol

from crankseam.errors import CrankseamError
from crankseam.memory.budget import MemoryKind, Reservation
from crankseam.memory.guard import RequestMemory

BODY_FACTOR = 1.0625
"""Bytes reserved for each byte of a body, besides a piece that is being sent: its own, and what the
heap adds. Its connection has a memory of its own."""
STEP_BYTES = 2**18
"""Number of bytes by which the reservation of a body of unknown size grows."""
SENDER_PAUSE_S = 0.5
"""Seconds without a byte after which the reservation for the rest of a body is returned, until its
sender goes on."""
PIECE_BYTES = 2**17
"""Size of the pieces in which large bodies and answers are sent. A smaller one is sent at once,
which copies it."""


class ByteSource(Protocol):
    """A stream of bytes, as of aiohttp's requests and responses."""

    async def readany(self) -> bytes:
        """Return the bytes that have arrived; none at the end."""


class BodyTooLarge(CrankseamError):
    """A body exceeds the size that its receiver accepts."""


class HeldReader:
    """Reads the body of one request, and reserves its bytes before they arrive.

    Parameters
    ==========

    declared_bytes : size of the body; None if unknown.
    max_bytes : largest accepted size.
    factor : bytes reserved for each byte of the body.
    wait_s : longest wait for room.

    Attributes
    ==========

    received_bytes : number of bytes read so far.
    """

    def __init__(
        self,
        source: ByteSource,
        memory: RequestMemory,
        declared_bytes: int | None,
        max_bytes: int,
        factor: float,
        wait_s: float,
    ) -> None:
        self.received_bytes = 0
        self._source = source
        self._memory = memory
        self._declared_bytes = declared_bytes
        self._max_bytes = max_bytes
        self._factor = factor
        self._wait_s = wait_s

    async def read(self) -> bytes:
        """Return the whole body, whose bytes stay reserved until the request returns them.

        Raises
        ======

        NoRoom, BodyTooLarge
        """
        expected_bytes = self._expected_bytes()
        held = self._held_bytes(expected_bytes)
        reservation = await self._memory.reserve(held, MemoryKind.BODY, self._wait_s)
        try:
            body = await self._read_into(reservation)
        except BaseException:
            reservation.release()
            raise
        reservation.shrink_to(self._held_bytes(self.received_bytes))
        return body

    async def _read_into(self, reservation: Reservation) -> bytes:
        buffer = io.BytesIO()
        while chunk := await self._next_chunk(reservation):
            self.received_bytes += len(chunk)
            if self.received_bytes > self._max_bytes:
                raise BodyTooLarge
            needed_bytes = self._held_bytes(self._expected_bytes())
            if needed_bytes > reservation.size_bytes:
                await self._memory.grow_to(reservation, needed_bytes, self._wait_s)
            buffer.write(chunk)
        return buffer.getvalue()

    async def _next_chunk(self, reservation: Reservation) -> bytes:
        try:
            async with asyncio.timeout(SENDER_PAUSE_S):
                return await self._source.readany()
        except TimeoutError:
            reservation.shrink_to(self._held_bytes(self.received_bytes))
        return await self._source.readany()

    def _expected_bytes(self) -> int:
        """Size of the body as far as it is known or reserved next."""
        if self._declared_bytes is not None:
            return max(self._declared_bytes, self.received_bytes)
        steps = self.received_bytes // STEP_BYTES + 1
        return min(self._max_bytes, steps * STEP_BYTES)

    def _held_bytes(self, size_bytes: int) -> int:
        return held_bytes(size_bytes, self._factor)


def held_bytes(size_bytes: int, factor: float) -> int:
    """Number of bytes to reserve for a body: `factor` times its size, and a piece being sent."""
    return int(size_bytes * factor) + min(size_bytes, PIECE_BYTES)
