"""Last handler of the chain: sends the request to a back end and returns the answer.

The router chooses the back end, `attempts` decides whether a failed attempt is retried, and the
quarantine holds requests under which back ends crashed. `may_send` tells whether this node may send
work at all; it is checked directly before the first byte is sent.

`serving/forwarding` is the counterpart on the users' platform. It differs on purpose: there, a slow
request may get a hedged second attempt, a back end may reject a request for lack of a free slot,
and a request that may run only once has no replicated record, so it is never resent after its first
byte was sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
from aiohttp import web

from crankseam.back_end_probe import BackEndProbe
from crankseam.clients.address_probe import refuses_connections
from crankseam.clients.bounded_responses import MAX_UNSIZED_ANSWER_BYTES, read_limited
from crankseam.config.kinds import BackEnd
from crankseam.constants import (
    DEADLINE_HEADER,
    DECISION_HEADER,
    IDEMPOTENCY_HEADER,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    REQUEST_ID_HEADER,
)
from crankseam.decisions import Decision, DecisionLog
from crankseam.errors import DeadlineExceeded, OutcomeUnknown, Unavailable
from crankseam.quarantine.model import RequestIdentity, crash_id
from crankseam.quarantine.quarantine import Quarantine
from crankseam.quarantine.request_tracker import RequestTracker, Send
from crankseam.requests import retry_after
from crankseam.requests.attempts import (
    has_time_to_forward,
    may_retry_after_lost_answer,
    new_retry_budget,
)
from crankseam.requests.context import Answer, RequestContext
from crankseam.requests.headers import end_to_end_headers
from crankseam.routing import Choice, Router
from crankseam.serving.tenants import NO_TENANT

CHUNK_BYTES = 64 * 1024
"""Chunk size in which the answer to a repeatable request is streamed. An answer that ends within
the first chunk is buffered, as is every answer to a request that must not be repeated."""
MIN_SERVER_ERROR_STATUS = 500
"""An answer with this status or a higher one means that the back end failed on the request."""


def _request_identity(context: RequestContext) -> RequestIdentity:
    http = context.http
    return RequestIdentity(
        context.request_id,
        NO_TENANT,
        context.service_name,
        http.method,
        context.service_name,
        http.raw_path,
        context.body,
    )


class _NotSent(Exception):
    """The connection to the back end failed, so no byte of the request was sent."""


class Forwarder:
    """Sends requests to back ends, with retries."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        router: Router,
        decisions: DecisionLog,
        may_send: Callable[[], bool],
        probe: BackEndProbe,
        quarantine: Quarantine,
    ) -> None:
        self._probe = probe
        self._quarantine = quarantine
        self._session = session
        self._may_send = may_send
        self._router = router
        self._decisions = decisions
        self._budget = new_retry_budget()

    async def __call__(self, context: RequestContext) -> Answer:
        """Forward the request; raises Problem if no attempt gave an answer."""
        self._budget.count_attempt()
        service = context.require_service()
        tracker = RequestTracker(self._quarantine, _request_identity(context), service.crash_limit)
        await tracker.admit()
        try:
            return await self._attempt_until_answered(context, tracker)
        finally:
            tracker.close()

    async def _attempt_until_answered(
        self, context: RequestContext, tracker: RequestTracker
    ) -> Answer:
        tried: set[str] = set()
        while True:
            choice = self._choose(context, frozenset(tried))
            if choice.back_end is None:
                detail = "no back end can take the request"
                raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.NO_BACK_END_S)
            if not await self._probe.may_receive_work(choice.back_end):
                tried.add(choice.back_end.name)
                continue
            try:
                with tracker.sending() as send:
                    return await self._attempt(context, choice.back_end, send)
            except _NotSent:
                tried.add(choice.back_end.name)
            except OutcomeUnknown:
                if not may_retry_after_lost_answer(context, tracker):
                    raise
                tried.add(choice.back_end.name)
            if not self._budget.try_spend():
                outcome = context.outcome_so_far()
                raise Unavailable("retry budget spent", outcome, retry_after.NO_BACK_END_S)

    def _choose(self, context: RequestContext, tried: frozenset[str]) -> Choice:
        service = context.require_service()
        choice = self._router.choose(service.name, service.back_ends, excluded=tried)
        context.decision = self._decide(context, choice)
        return choice

    def _decide(self, context: RequestContext, choice: Choice) -> Decision:
        assert context.snapshot is not None
        chosen = choice.back_end.name if choice.back_end else None
        decision = Decision(
            decision_id=self._decisions.new_id(),
            kind="route" if chosen else "refuse",
            subject=context.request_id,
            node=self._decisions.node,
            revision=context.snapshot.revision,
            at="",
            reason="least load" if chosen else "no candidate is eligible",
            choice=chosen,
            candidates=choice.candidates,
            aliases=[context.idempotency_key] if context.idempotency_key else [],
        )
        self._decisions.record(decision)
        return decision

    async def _attempt(self, context: RequestContext, back_end: BackEnd, send: Send) -> Answer:
        target = f"{context.service_name}/{back_end.name}"
        # Checked directly before sending, since the process may have been suspended since routing.
        if not self._may_send():
            outcome = context.outcome_so_far()
            raise Unavailable("this node was cut off or stopped", outcome, retry_after.STALE_VIEW_S)
        remaining = context.remaining()
        if not has_time_to_forward(remaining):
            outcome = context.outcome_so_far()
            detail = "the deadline passed before it was forwarded"
            raise DeadlineExceeded(detail, outcome, retry_after.PAST_DEADLINE_S)
        self._router.start(target)
        try:
            async with asyncio.timeout(remaining):
                answer = await self._send(context, back_end, remaining)
            send.was_answered = answer.status < MIN_SERVER_ERROR_STATUS
            return answer
        except aiohttp.ClientConnectorError as error:
            send.was_not_run = True
            self._router.record_connection_failure(target)
            raise _NotSent from error
        except TimeoutError:
            raise OutcomeUnknown("no answer before the deadline", OUTCOME_UNKNOWN)
        except (aiohttp.ClientError, ConnectionError) as error:
            self._router.record_connection_failure(target)
            if await refuses_connections(back_end.address):
                send.crashed_id = crash_id(back_end.name)
            raise OutcomeUnknown(f"connection broke: {type(error).__name__}", OUTCOME_UNKNOWN)
        finally:
            self._router.finish(target)

    async def _send(self, context: RequestContext, back_end: BackEnd, remaining: float) -> Answer:
        url = f"http://{back_end.address}/{context.path}"
        request = self._session.request(
            context.http.method,
            url,
            params=context.http.query,
            data=context.body,
            headers=self._headers(context, remaining),
            allow_redirects=False,
            trace_request_ctx=context,
        )
        async with request as upstream:
            headers = end_to_end_headers(upstream.headers)
            if context.must_not_repeat:
                body = await read_limited(upstream, MAX_UNSIZED_ANSWER_BYTES)
                return Answer(upstream.status, headers, body)
            return await self._stream(context, upstream, headers)

    @staticmethod
    def _headers(context: RequestContext, remaining: float) -> dict[str, str]:
        headers = end_to_end_headers(context.http.headers)
        headers[REQUEST_ID_HEADER] = context.request_id
        headers[DEADLINE_HEADER] = str(int(remaining * 1000))
        if context.idempotency_key:
            headers[IDEMPOTENCY_HEADER] = context.idempotency_key
        return headers

    async def _stream(
        self,
        context: RequestContext,
        upstream: aiohttp.ClientResponse,
        headers: dict[str, str],
    ) -> Answer:
        """Stream the answer to the caller.

        If the back end's answer breaks off, the caller's connection is aborted, so that a truncated
        answer never looks complete.
        """
        first_chunk = await upstream.content.read(CHUNK_BYTES)
        if upstream.content.at_eof():
            return Answer(upstream.status, headers, first_chunk)
        response = web.StreamResponse(status=upstream.status, headers=headers)
        if context.decision is not None:
            response.headers[DECISION_HEADER] = context.decision.decision_id
        context.answer_started = True
        await response.prepare(context.http)
        try:
            await response.write(first_chunk)
            async for chunk in upstream.content.iter_chunked(CHUNK_BYTES):
                await response.write(chunk)
            await response.write_eof()
        except BaseException:
            if context.http.transport is not None:
                context.http.transport.abort()
            raise
        return Answer(upstream.status, headers, None, response)


def dispatch_trace_config() -> aiohttp.TraceConfig:
    """Return a trace configuration that marks a request as dispatched before its first byte."""
    trace = aiohttp.TraceConfig()

    async def on_connection_ready(
        _session: aiohttp.ClientSession, trace_context: object, _params: object
    ) -> None:
        context = getattr(trace_context, "trace_request_ctx", None)
        if isinstance(context, RequestContext):
            context.dispatched = True

    trace.on_connection_create_end.append(on_connection_ready)
    trace.on_connection_reuseconn.append(on_connection_ready)
    return trace
