"""Inputs and results of request forwarding, independent of any wire protocol.

The platform adapter creates an `InboundRequest`, implements the `BackEndClient` that sends it, and
converts the `Answer` to its own format. An attempt without an answer raises one of two errors:
`AttemptNotRun` (the back end did not run the request and never will) or `AttemptBroken` (the back
end may have run the request).

Times are in seconds of the suspend-aware clock, `clocks.boottime_s`.
"""

from __future__ import annotations

import math
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Protocol

from crankseam.errors import CrankseamError
from crankseam.memory.guard import RequestMemory
from crankseam.serving.back_ends import BackEnd

Headers = tuple[tuple[str, str], ...]
"""Names and values in the order received; a name may occur more than once."""


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """A request as received from a caller; a caller's retry is a new request.

    Attributes
    ==========

    target : path and query string exactly as received.
    headers : all headers except hop-by-hop headers and those that the adapter sets itself.
    received_at : time at which the request arrived.
    deadline : time until which the caller waits for the answer.
    tenant : name of the tenant that the request belongs to; empty if there is none.
    priority : priority of the request, 0 is served first; None for the priority of its route.
    memory : holds the bytes of the body and of the answer; None if the process has no memory
        budget.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes
    received_at: float
    deadline: float
    tenant: str = ""
    priority: int | None = None
    memory: RequestMemory | None = field(default=None, compare=False, repr=False)


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of a back end."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamingAnswer:
    """Status and headers of an answer whose body is forwarded while it is received.

    `chunks` yields the body, and raises `AttemptBroken` if the body ends before it is complete.

    Attributes
    ==========

    size_bytes : size of the whole body; None if it is not known.
    due_at : time, in seconds of `clocks.boottime_s`, at which an incomplete answer is broken off.
    """

    status: int
    headers: Headers
    chunks: AsyncGenerator[bytes, None]
    size_bytes: int | None = None
    due_at: float = math.inf


@dataclass
class AttemptNotRun(CrankseamError):
    """The back end did not run the request and never will."""

    reason: str
    wrong_instance: bool = False
    had_free_slots: bool = False
    """Whether the back end reported free slots: the reason for the rejection was then not its load
    but, for instance, a weight version that it is loading."""
    was_received: bool = False
    """Whether the back end itself rejected the request; otherwise the connection failed."""

    @property
    def is_full(self) -> bool:
        """Whether the back end rejected the request for lack of a free slot."""
        return self.was_received and not self.had_free_slots and not self.wrong_instance


@dataclass
class AttemptBroken(CrankseamError):
    """The attempt gave no complete answer; the request may have run."""

    reason: str
    lost_connection: bool = False
    """Whether the connection broke, in which case the back end may have terminated."""


class BackEndClient(Protocol):
    """Sends requests to back ends."""

    async def send(
        self, back_end: BackEnd, request: InboundRequest, deadline: float, relay: bool
    ) -> Answer | StreamingAnswer:
        """Send a request once.

        Parameters
        ==========

        deadline : time at which the back end should stop working on the request.
        relay : whether an event stream is returned as a `StreamingAnswer` instead of an `Answer`.

        Raises
        ======

        AttemptNotRun, AttemptBroken
        """
