"""Decides how many connections of callers a process keeps open, and which one is closed first.

Inputs: the descriptors and the memory of the process; for each connection, what it does and since
when, in seconds of the event loop's clock, exact.
Rule: callers have `CALLER_FRACTION` of the descriptors that are not kept for files, and as many
connections as the memory beside the budget holds at `CONNECTION_BYTES` each. A new connection
beyond that takes the place of the one that has been idle for longest; if none is idle, of the one
that has been sending one request, or not reading one answer, for longest, after `SLOW_S`. If there
is none either, the new connection is closed. One whose request is being handled is never closed.
From `CROWDED_FRACTION` of that number on, each answer closes its own connection. Whatever the
number, a head that is not complete in time and an answer that nobody reads end their connection.
Purpose: callers that only hold connections open leave descriptors to the store and the back ends,
memory to the requests, and a way in to other callers. What is closed did not run, or nobody reads.
Logged as: `connections_closed`.
Tested by: tests/serving/test_connection_limit.py.
"""

from __future__ import annotations

import enum
import resource
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol, TypeVar

from crankseam.memory.limits import MemoryLimits

FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files."""
CALLER_FRACTION = 0.4
"""Share of the other descriptors. A request of a caller may have two connections to back ends at a
time; the rest are for the store, for peers and for jobs."""
DEFAULT_DESCRIPTORS = 4096
"""Descriptors that a process uses at most if the settings do not tell their number."""
CONNECTION_BYTES = 2**16
"""Memory of a connection whose request has no room in the budget yet: unread bytes in the kernel
and in the process, the parser, and 16 KiB of an unsent answer."""
CROWDED_FRACTION = 0.9
"""Part of the connections from which on each answer closes its own, so that no caller keeps a place
by sending one request after the other."""
MIN_CONNECTIONS = 64
"""Connections that callers have on the smallest machine."""
FIRST_REQUEST_WAIT_S = 1.0
"""Seconds for which a new connection may stay without its first request before it counts as idle.
Callers allow a second for a new connection to come up."""
SLOW_S = 3.0
"""Seconds after which a request that still arrives, or an answer that is not read, is slow."""
HEAD_TIMEOUT_FACTOR = 2.0
"""Time for a head, as a multiple of the configured one: bytes may be held up on the way."""
UNREAD_ANSWER_S = 30.0
"""Seconds after which an answer that is not read at all is broken off."""


class ConnectionPhase(enum.Enum):
    """What a connection does at a moment."""

    IDLE = "idle"
    """It has no request."""
    HEAD = "head"
    """The head of a request arrives."""
    BODY = "body"
    """The rest of a request arrives, or what follows a refused one."""
    HANDLING = "handling"
    """The request is in hand."""
    UNREAD = "unread"
    """The caller does not take its answer."""


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """What a connection does, and since when, in seconds of the event loop's clock."""

    phase: ConnectionPhase
    since: float


class Observable(Protocol):
    """A connection that tells its state."""

    def state(self) -> ConnectionState:
        """The state at this moment."""


C = TypeVar("C", bound=Observable)

_SLOW_PHASES = (ConnectionPhase.HEAD, ConnectionPhase.BODY, ConnectionPhase.UNREAD)


def max_connections(descriptors: int | None, limits: MemoryLimits) -> int:
    """Number of connections that callers may hold open.

    Parameters
    ==========

    descriptors : limit of the process; None if the settings do not tell it.

    Examples
    ========

    >>> from crankseam.memory.limits import limits_from_settings
    >>> limits = limits_from_settings(300)
    >>> max_connections(4100, limits), max_connections(400, limits)
    (880, 80)
    """
    if descriptors is None:
        descriptors = min(DEFAULT_DESCRIPTORS, _descriptor_limit())
    by_descriptors = int((descriptors - FILE_DESCRIPTORS) * CALLER_FRACTION)
    by_memory = limits.unbudgeted_bytes // CONNECTION_BYTES
    return max(1, min(by_descriptors, max(MIN_CONNECTIONS, by_memory)))


def _descriptor_limit() -> int:
    """Limit of the process as the operating system tells it."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else DEFAULT_DESCRIPTORS


def connection_to_close(connections: Iterable[C], now: float) -> C | None:
    """The connection whose place a new one takes; None if none may be closed."""
    idle: tuple[float, C] | None = None
    slow: tuple[float, C] | None = None
    for connection in connections:
        state = connection.state()
        if state.phase is ConnectionPhase.IDLE and now - state.since > FIRST_REQUEST_WAIT_S:
            idle = _longer(idle, state.since, connection)
        elif state.phase in _SLOW_PHASES and now - state.since > SLOW_S:
            slow = _longer(slow, state.since, connection)
    chosen = idle or slow
    return chosen[1] if chosen is not None else None


def _longer(best: tuple[float, C] | None, since: float, connection: C) -> tuple[float, C]:
    return (since, connection) if best is None or since < best[0] else best


def is_overdue(state: ConnectionState, now: float, head_timeout_s: float) -> bool:
    """Whether a connection is closed although there is room for it.

    Parameters
    ==========

    head_timeout_s : time that the configuration gives a caller for the head of a request.
    """
    if state.phase is ConnectionPhase.HEAD:
        return now - state.since > head_timeout_s * HEAD_TIMEOUT_FACTOR
    return state.phase is ConnectionPhase.UNREAD and now - state.since > UNREAD_ANSWER_S
