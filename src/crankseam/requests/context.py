"""What the filters of the chain know of one request, and the answer they make.

Owns the order of the chain: each filter calls the one after it. A context belongs to one handling
of one request and is dropped with its answer. Times are seconds of the clock of promises.
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
    """A whole answer, or (body None) one that was already streamed through `response`."""

    status: int
    headers: dict[str, str]
    body: bytes | None
    response: web.StreamResponse | None = None


@dataclass
class RequestContext:
    """One request on its way through the chain.

    Attributes:
        deadline: time of promises at which the caller stops waiting.
        dispatched: whether any byte may have reached a back end.
    """

    http: web.Request
    service_name: str
    path: str
    body: bytes = b""
    request_id: str = ""
    idempotency_key: str | None = None
    key_date: int = 0
    arrived: float = field(default_factory=clocks.promised_s)
    deadline: float = 0.0
    snapshot: Snapshot | None = None
    service: Service | None = None
    must_not_repeat: bool = False
    claim_token: str = field(default_factory=lambda: secrets.token_hex(8))
    """Tells this handling of the request from any other, also of the same attempt."""
    is_foreign: bool = False
    """Whether the service's home, and so the request's record, is in another region."""
    dispatched: bool = False
    answer_started: bool = False
    """Whether a part of the answer has been passed on to the caller."""
    decision: Decision | None = None

    def remaining(self) -> float:
        """Seconds the caller still waits."""
        return self.deadline - clocks.promised_s()

    def outcome_so_far(self) -> str:
        """What may be said of the request now: `not_run` until a byte may have left."""
        return OUTCOME_UNKNOWN if self.dispatched else OUTCOME_NOT_RUN

    def require_service(self) -> Service:
        """The service, known once the configuration filter has run."""
        assert self.service is not None
        return self.service


Next = Callable[[RequestContext], Awaitable[Answer]]
Filter = Callable[[RequestContext, Next], Awaitable[Answer]]


def build_chain(filters: list[Filter], last: Next) -> Next:
    """Join filters so that each calls the one after it."""
    chain = last
    for item in reversed(filters):
        chain = _bind(item, chain)
    return chain


def _bind(item: Filter, following: Next) -> Next:
    async def step(context: RequestContext) -> Answer:
        return await item(context, following)

    return step
