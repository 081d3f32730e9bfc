"""What the forwarding of a request takes and gives, free of any wire.

The adapter to a platform makes an `InboundRequest`, sends it by its `BackEndClient`, and turns the
`Answer` into its own form. An attempt that gave no answer is one of two errors: `AttemptNotRun`
(it did not run and never will) or `AttemptBroken` (it may have run).
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from typing import Protocol

from crankseam.errors import CrankseamError
from crankseam.serving.back_ends import BackEnd

Headers = tuple[tuple[str, str], ...]
"""Names and values in the order in which they came; a name may stand there more than once."""


@dataclass(frozen=True, slots=True)
class InboundRequest:
    """One attempt of a caller.

    Attributes
    ==========

    target : path and query as they stood in the request.
    headers : all but those of the connection and those that the adapter sets anew.
    received_at : time of promises, in seconds, at which it came.
    deadline : time of promises, in seconds, until which the caller waits.
    tenant : name of the tenant on whose behalf it runs; empty where there is none.
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


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a back end."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamingAnswer:
    """The head of an answer whose body is passed on as it comes.

    `chunks` raises `AttemptBroken` when the body ends before it is whole.
    """

    status: int
    headers: Headers
    chunks: AsyncGenerator[bytes, None]


@dataclass
class AttemptNotRun(CrankseamError):
    """The back end did not run the request and never will."""

    reason: str
    wrong_instance: bool = False
    had_room: bool = False
    """It rejected the request for another reason than load: a version is being loaded."""


@dataclass
class AttemptBroken(CrankseamError):
    """The attempt gave no whole answer; the request may have run."""

    reason: str
    lost_connection: bool = False
    """Whether its connection broke: the back end may have ended."""


class BackEndClient(Protocol):
    """Sends requests to back ends."""

    async def send(
        self, back_end: BackEnd, request: InboundRequest, deadline: float, relay: bool
    ) -> Answer | StreamingAnswer:
        """Send one attempt.

        Parameters
        ==========

        deadline : time of promises, in seconds, at which the back end is to stop its work.
        relay : whether an answer of events is wanted as a `StreamingAnswer`.

        Raises
        ======

        AttemptNotRun, AttemptBroken
        """
