"""First filters of the chain: ids, deadline, and the configuration snapshot of a request.

Validates the ids and the deadline header. The configuration lease decides whether this node may
accept new work. The snapshot taken here is used for the whole request.
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
from crankseam.identifiers import timestamp_ms_of
from crankseam.requests import retry_after
from crankseam.requests.bodies import read_body
from crankseam.requests.context import Answer, NextHandler, RequestContext

MAX_ID_LENGTH = 200
"""Maximum length of a request id in characters; records and logs contain the id."""
MAX_FUTURE_SKEW_MS = 60_000
"""How far the date of an idempotency key may lie in the future, to tolerate callers' clock skew."""
MAX_DEADLINE_DIGITS = 9
"""Maximum number of digits in the deadline header: allows up to 11 days and rejects numbers that
cannot be a deadline."""
DEFAULT_DEADLINE_S = 10.0
"""Deadline of a request without a deadline header; the service's own may be shorter."""


class IdentifyFilter:
    """Reads and validates the ids and the body, without any lookup."""

    def __init__(self, retention_s: float) -> None:
        self._retention_ms = retention_s * 1000

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Set the ids and the body of the context; refuse malformed ids and oversized bodies."""
        headers = context.http.headers
        context.request_id = headers.get(REQUEST_ID_HEADER) or str(uuid.uuid4())
        if len(context.request_id) > MAX_ID_LENGTH:
            raise BadRequest(f"{REQUEST_ID_HEADER} is too long", OUTCOME_NOT_RUN)
        key = headers.get(IDEMPOTENCY_HEADER)
        if key is not None:
            context.key_date = self._check_key(key)
            context.idempotency_key = key
        context.body = await read_body(context.http, MAX_REQUEST_BODY_BYTES)
        return await call_next(context)

    def _check_key(self, key: str) -> int:
        try:
            dated = timestamp_ms_of(key)
        except ValueError:
            detail = f"{IDEMPOTENCY_HEADER} must be a UUID of version 7 (RFC 9562)"
            raise BadRequest(detail, OUTCOME_NOT_RUN)
        age_ms = clocks.wall_ms() - dated
        if age_ms > self._retention_ms:
            raise IdentifierExpired("the key is older than what is remembered")
        if age_ms < -MAX_FUTURE_SKEW_MS:
            raise BadRequest(f"{IDEMPOTENCY_HEADER} is dated in the future", OUTCOME_NOT_RUN)
        return dated


class DeadlineFilter:
    """Sets the deadline from the caller's header; `ConfigurationFilter` may shorten it."""

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Set the deadline, relative to the request's arrival."""
        deadline_text = context.http.headers.get(DEADLINE_HEADER)
        allowed_s = DEFAULT_DEADLINE_S
        if deadline_text is not None:
            if not deadline_text.isdecimal() or len(deadline_text) > MAX_DEADLINE_DIGITS:
                raise BadRequest(f"{DEADLINE_HEADER}: whole milliseconds", OUTCOME_NOT_RUN)
            allowed_s = int(deadline_text) / 1000
        context.deadline = context.arrived + allowed_s
        return await call_next(context)


class ConfigurationFilter:
    """Takes one configuration snapshot for the whole request; requires a held lease."""

    def __init__(self, lease: ConfigurationLease) -> None:
        self._lease = lease

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Look up the service; refuse the request if the configuration lease has expired."""
        context.snapshot = self._lease.snapshot
        service = context.snapshot.services.get(context.service_name)
        context.service = service
        if service is not None:
            repeatable = context.http.method in service.repeatable_methods
            context.must_not_repeat = not repeatable
            context.deadline = min(context.deadline, context.arrived + service.deadline)
        if not self._lease.is_held():
            detail = "this node cannot confirm its configuration"
            raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.CONFIGURATION_UNCONFIRMED_S)
        if service is None:
            raise NotFound(f"no service {context.service_name}", OUTCOME_NOT_RUN)
        if context.must_not_repeat and context.idempotency_key is None:
            detail = f"{context.http.method} needs an {IDEMPOTENCY_HEADER}"
            raise BadRequest(detail, OUTCOME_NOT_RUN)
        if clocks.boottime_s() >= context.deadline:
            detail = "the deadline has passed"
            raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.PAST_DEADLINE_S)
        return await call_next(context)
