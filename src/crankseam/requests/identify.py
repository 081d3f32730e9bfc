"""First filters: who and what the request is, how long it may take, under which configuration.

Owns the forms of the ids and the deadline header. Relies on the configuration lease for whether
this node may take new work; the snapshot taken here holds for the whole request.
"""

from __future__ import annotations

import uuid

from crankseam import clocks
from crankseam.cluster.configuration_lease import ConfigurationLease
from crankseam.constants import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    MAX_REQUEST_BODY_BYTES,
    OUTCOME_NOT_RUN,
    REQUEST_ID_HEADER,
)
from crankseam.errors import BadRequest, IdentifierExpired, NotFound, Unavailable
from crankseam.identifiers import date_of
from crankseam.requests import retry_after
from crankseam.requests.context import Answer, Next, RequestContext

MAX_ID_LENGTH = 200
"""Characters of a request id, which stands in records and logs. Origin not recorded."""
FUTURE_MARGIN_MS = 60_000
"""Callers' clocks may run ahead by this much. Origin not recorded."""
MAX_DEADLINE_DIGITS = 9
"""Digits of the deadline header: up to 11 days, and no number that could not be one."""
DEFAULT_DEADLINE_S = 10.0
"""Of a request whose caller names none; the service's own may be shorter. Origin not recorded."""


class IdentifyFilter:
    """Reads the ids and the body. Nothing is looked up yet."""

    def __init__(self, retention_s: float) -> None:
        self._retention_ms = retention_s * 1000

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Fill in the ids; refuse malformed ones."""
        headers = context.http.headers
        context.request_id = headers.get(REQUEST_ID_HEADER) or str(uuid.uuid4())
        if len(context.request_id) > MAX_ID_LENGTH:
            raise BadRequest(f"{REQUEST_ID_HEADER} is too long", OUTCOME_NOT_RUN)
        key = headers.get(IDEMPOTENCY_HEADER)
        if key is not None:
            context.key_date = self._check_key(key)
            context.idempotency_key = key
        context.body = await context.http.read()
        if len(context.body) > MAX_REQUEST_BODY_BYTES:
            raise BadRequest("the body is too large", OUTCOME_NOT_RUN)
        return await call_next(context)

    def _check_key(self, key: str) -> int:
        try:
            dated = date_of(key)
        except ValueError:
            detail = f"{IDEMPOTENCY_HEADER} must be a UUID of version 7 (RFC 9562)"
            raise BadRequest(detail, OUTCOME_NOT_RUN)
        age_ms = clocks.wall_ms() - dated
        if age_ms > self._retention_ms:
            raise IdentifierExpired("the key is older than what is remembered")
        if age_ms < -FUTURE_MARGIN_MS:
            raise BadRequest(f"{IDEMPOTENCY_HEADER} is dated in the future", OUTCOME_NOT_RUN)
        return dated


class DeadlineFilter:
    """Takes the caller's deadline; the service's own may shorten it later."""

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Set the deadline, counted from the request's arrival."""
        raw = context.http.headers.get(DEADLINE_HEADER)
        allowed_s = DEFAULT_DEADLINE_S
        if raw is not None:
            if not raw.isdecimal() or len(raw) > MAX_DEADLINE_DIGITS:
                raise BadRequest(f"{DEADLINE_HEADER}: whole milliseconds", OUTCOME_NOT_RUN)
            allowed_s = int(raw) / 1000
        context.deadline = context.arrived + allowed_s
        return await call_next(context)


class ConfigurationFilter:
    """Takes one snapshot for the whole request, and only under a held lease."""

    def __init__(self, lease: ConfigurationLease) -> None:
        self._lease = lease

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Look up the service; refuse new work when the lease has run out."""
        context.snapshot = self._lease.snapshot
        service = context.snapshot.services.get(context.service_name)
        context.service = service
        if service is not None:
            repeatable = context.http.method in service.repeatable_methods
            context.must_not_repeat = not repeatable
            context.deadline = min(context.deadline, context.arrived + service.deadline)
        if not self._lease.is_held():
            detail = "this node cannot confirm its configuration"
            raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.UNCONFIRMED_S)
        if service is None:
            raise NotFound(f"no service {context.service_name}", OUTCOME_NOT_RUN)
        if context.must_not_repeat and context.idempotency_key is None:
            detail = f"{context.http.method} needs an {IDEMPOTENCY_HEADER}"
            raise BadRequest(detail, OUTCOME_NOT_RUN)
        if clocks.promised_s() >= context.deadline:
            detail = "the deadline has passed"
            raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.PAST_DEADLINE_S)
        return await call_next(context)
