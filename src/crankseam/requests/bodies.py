"""Reads the bodies of a node's requests within its memory budget, and refuses those without room.

Used by the request filters and by the handlers of steps; `node` gives each request its memory.
"""

from __future__ import annotations

from aiohttp import hdrs, web

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import BadRequest, Unavailable, UnsupportedEncoding
from crankseam.memory.body_reader import BODY_FACTOR, BodyTooLarge, HeldReader
from crankseam.memory.budget import MemoryKind
from crankseam.memory.guard import RequestMemory
from crankseam.memory.room import NoRoom
from crankseam.memory.waiting import MAX_BODY_WAIT_S, RETRY_AFTER_NO_ROOM_S

MEMORY_KEY = web.RequestKey("memory", RequestMemory)
"""Key under which a request carries its `RequestMemory`."""
STEP_FACTOR = 3.0
"""Bytes reserved for each byte of a body that is decoded here: its text and the decoded objects."""
IDENTITY = "identity"
"""Content coding of a body that is not encoded."""


async def read_body(request: web.Request, max_bytes: int, factor: float = BODY_FACTOR) -> bytes:
    """Return the body of a request.

    Parameters
    ==========

    max_bytes : largest accepted size.
    factor : bytes reserved for each byte of the body.

    Raises
    ======

    BadRequest : it is larger; told from the head of the request where that names the size.
    Unavailable : there is no room for it; the request was not run.
    """
    memory = request[MEMORY_KEY]
    declared_bytes = request.content_length
    if declared_bytes is not None and declared_bytes > max_bytes:
        raise _too_large()
    if not request.body_exists:
        return b""
    reader = HeldReader(request.content, memory, declared_bytes, max_bytes, factor, MAX_BODY_WAIT_S)
    try:
        with memory.watched(
            MemoryKind.BODY,
            lambda: reader.received_bytes,
            declared_bytes or 0,
            lambda: _abort(request),
        ):
            return await reader.read()
    except BodyTooLarge:
        raise _too_large() from None
    except NoRoom:
        detail = "no memory for its body"
        raise Unavailable(detail, OUTCOME_NOT_RUN, RETRY_AFTER_NO_ROOM_S) from None


async def read_decoded(request: web.Request, max_bytes: int) -> bytes:
    """Return a body that is decoded by this process; raises UnsupportedEncoding besides."""
    if request.headers.get(hdrs.CONTENT_ENCODING, IDENTITY).lower() != IDENTITY:
        raise UnsupportedEncoding("steps are read without encoding", OUTCOME_NOT_RUN)
    return await read_body(request, max_bytes, STEP_FACTOR)


def _too_large() -> BadRequest:
    return BadRequest("the body is too large", OUTCOME_NOT_RUN)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
