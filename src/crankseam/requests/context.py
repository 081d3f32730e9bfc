"""The state that the request filters share, the answer that they return, and the filter chain.

The chain is nested: each filter calls the next one. One `RequestContext` exists for each handling
of a request and is discarded once the answer was sent. Times are seconds of `clocks.boottime_s`,
which also advances while the machine is suspended.
"""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from crankseam import clocks
from crankseam.config.kinds import Service
from crankseam.config.snapshot import Snapshot
from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.decisions import Decision


@dataclass
class Answer:
    """A buffered answer, or one that was already streamed to the caller.

    Attributes:
        body: the whole body; None if it was streamed through `response`.
    """

    status: int
    headers: dict[str, str]
    body: bytes | None
    response: web.StreamResponse | None = None


@dataclass
class RequestContext:
    """The state of one request in the filter chain.

    Attributes:
        deadline: time (`clocks.boottime_s`) at which the caller stops waiting.
        dispatched: whether any byte of the request may have reached a back end.
    """

    http: web.Request
    service_name: str
    path: str
    body: bytes = b""
    request_id: str = ""
    idempotency_key: str | None = None
    key_date: int = 0
    arrived: float = field(default_factory=clocks.boottime_s)
    deadline: float = 0.0
    snapshot: Snapshot | None = None
    service: Service | None = None
    must_not_repeat: bool = False
    claim_token: str = field(default_factory=lambda: secrets.token_hex(8))
    """Distinguishes this handling of the request from all others, even of the same attempt."""
    has_remote_home: bool = False
    """Whether the service's home region, which holds the request's record, is another region."""
    dispatched: bool = False
    answer_started: bool = False
    """Whether a part of the answer has been sent to the caller."""
    decision: Decision | None = None

    def remaining(self) -> float:
        """Return the seconds until the caller's deadline."""
        return self.deadline - clocks.boottime_s()

    def outcome_so_far(self) -> str:
        """Return the outcome to report at this point: `not_run` until a byte may have been sent."""
        return OUTCOME_UNKNOWN if self.dispatched else OUTCOME_NOT_RUN

    def require_service(self) -> Service:
        """Return the service; valid only after `ConfigurationFilter` has set it."""
        assert self.service is not None
        return self.service


NextHandler = Callable[[RequestContext], Awaitable[Answer]]
Filter = Callable[[RequestContext, NextHandler], Awaitable[Answer]]


def build_chain(filters: list[Filter], last: NextHandler) -> NextHandler:
    """Compose the filters into one handler; each filter calls the next, the last calls `last`."""
    chain = last
    for request_filter in reversed(filters):
        chain = _bind(request_filter, chain)
    return chain


def _bind(request_filter: Filter, call_next: NextHandler) -> NextHandler:
    async def step(context: RequestContext) -> Answer:
        return await request_filter(context, call_next)

    return step
