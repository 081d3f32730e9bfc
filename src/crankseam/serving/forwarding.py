"""Forwards requests to back ends, with retries and hedging where the route allows them.

Owns the attempts of a request: their tasks, their cancellation at the deadline, and the updates to
the state of each back end (slots in use, failures). The decisions are made elsewhere: `choice`
selects the back end, `retry` limits the attempts, `quarantine` holds back requests that make back
ends crash, and `overload` decides who waits, who is refused and who is hedged. Relies on the
registry for the back ends that discovery reports, and on a `BackEndClient` for the wire protocol.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import dataclass, field, replace

from crankseam import clocks
from crankseam.errors import Unavailable
from crankseam.overload.gate import OverloadGate
from crankseam.overload.messages import GateRequest
from crankseam.overload.permits import Permit
from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.holding import DEFAULT_CRASH_LIMIT
from crankseam.quarantine.model import RequestIdentity
from crankseam.quarantine.request_tracker import RequestTracker, Send
from crankseam.serving import retry
from crankseam.serving.attempt_observer import AttemptObserver, no_observer
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.choice import choose_back_end
from crankseam.serving.contention import NoContention
from crankseam.serving.drain import Drain, stop_refusal
from crankseam.serving.expected_completion import CompletionEstimates, no_estimates
from crankseam.serving.messages import (
    Answer,
    AttemptBroken,
    AttemptNotRun,
    BackEndClient,
    InboundRequest,
    StreamingAnswer,
)
from crankseam.serving.retry import AttemptHistory
from crankseam.serving.routes import RequestKind, Route, TrafficSplitter

log = logging.getLogger(__name__)

MIN_ERROR_STATUS = 400
"""Lowest HTTP status of an answer that may have come without the work of its route being done."""


@dataclass
class _Forwarding:
    """State of one request that is being forwarded.

    Attributes
    ==========

    give_up_at : time, in seconds of `clocks.boottime_s`, at which the request is given up.
    permit : the place of the request; another one after it returned to the waiting line.
    """

    request: InboundRequest
    route: Route
    service: str
    give_up_at: float
    tracker: RequestTracker
    permit: Permit
    gate_request: GateRequest
    history: AttemptHistory = field(default_factory=AttemptHistory)


class Forwarder:
    """Forwards the requests that one process receives.

    Parameters
    ==========

    guard : holds back requests during which back ends terminated.
    zone : zone of this process; among equally loaded back ends, those in this zone are preferred.
    gate : limits the requests of contended services; no service is limited if it is missing.
    estimates : time factors of the back ends of contended services.
    observer : observes the attempts at contended services.
    drain : the planned stop of the process, by whose end requests are given up.

    Attributes
    ==========

    on_started : callbacks invoked once for each request that may have started to run, with its
        tenant and the time, in seconds of `clocks.boottime_s`, at which it was first sent.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        client: BackEndClient,
        guard: CrashGuard,
        zone: str,
        gate: OverloadGate | None = None,
        estimates: CompletionEstimates | None = None,
        observer: AttemptObserver | None = None,
        drain: Drain | None = None,
    ) -> None:
        self._drain = drain or Drain(math.inf)
        self._gate = gate or OverloadGate(registry, NoContention())
        self._estimates = estimates or no_estimates()
        self._observer = observer or no_observer()
        self.on_started: list[Callable[[str, float], None]] = []
        self._registry = registry
        self._client = client
        self._guard = guard
        self._zone = zone
        self._splitter = TrafficSplitter()

    async def forward(self, request: InboundRequest, route: Route) -> Answer | StreamingAnswer:
        """Return the answer to a request, within its deadline and the timeout of its route.

        Raises
        ======

        Problem : the request was given up; `outcome` states whether it may have run.
        """
        service = self._splitter.pick(
            route, self._registry.with_back_ends(route.weighted_services())
        )
        give_up_at = min(retry.give_up_time(request, route), self._drain.ends_at)
        tracker = self._guard.track(request_identity(request, route), DEFAULT_CRASH_LIMIT)
        gate_request = GateRequest(request, route, service, give_up_at)
        permit = await self._drain.run_until_end(self._admit(gate_request, tracker), stop_refusal())
        forwarding = _Forwarding(request, route, service, give_up_at, tracker, permit, gate_request)
        history = forwarding.history
        answer: Answer | StreamingAnswer | None = None
        try:
            async with self._drain.timeout_at(give_up_at):
                answer = await self._attempt_until_answered(forwarding)
            if answer is not None and not history.rejections and _is_success(answer):
                forwarding.permit.record_answer()
        except TimeoutError:
            answer = None
            history.reasons.append(retry.give_up_reason(request, route, self._drain.ends_at))
        finally:
            if not isinstance(answer, StreamingAnswer):
                tracker.close()
                forwarding.permit.release(may_have_run=history.began_at is not None)
            if history.began_at is not None:
                for notify in self.on_started:
                    notify(request.tenant, history.began_at)
        if answer is None:
            answer = history.last_failure
        _log_outcome(forwarding, answer)
        if answer is None:
            retry_after_s = self._gate.retry_after_s(gate_request)
            if retry_after_s is None:
                retry_after_s = retry.RETRY_AFTER_NO_BACK_END_S
            raise retry.give_up_problem(history, retry_after_s)
        if isinstance(answer, StreamingAnswer):
            return replace(answer, chunks=forwarding.permit.hold_during(answer.chunks))
        return answer

    async def _admit(self, gate_request: GateRequest, tracker: RequestTracker) -> Permit:
        """Return the place of a request; raises Unavailable if it is refused."""
        await tracker.admit()
        try:
            return await self._gate.enter(gate_request)
        except BaseException:
            tracker.close()
            raise

    async def _attempt_until_answered(
        self, forwarding: _Forwarding
    ) -> Answer | StreamingAnswer | None:
        route, history = forwarding.route, forwarding.history
        while retry.has_attempts_left(route, history):
            if clocks.boottime_s() >= forwarding.give_up_at:
                raise TimeoutError
            if retry.is_rejected_too_often(history) and not await self._return_to_line(forwarding):
                return None
            if not forwarding.tracker.may_send():
                return None
            first = self._choose(forwarding)
            if first is None:
                return None
            if route.kind is RequestKind.REPEATABLE:
                answer = await self._attempt_hedged(forwarding, first)
            else:
                answer = await self._attempt(forwarding, first)
            if answer is not None:
                return answer
            if history.rejections:
                await asyncio.sleep(retry.REJECTION_PAUSE_S)
        return None

    async def _return_to_line(self, forwarding: _Forwarding) -> bool:
        """Give the place back after many rejections and wait for another one; False if refused."""
        history = forwarding.history
        if not forwarding.permit.is_limited or not retry.may_return_to_line(history):
            return False
        forwarding.permit.release(may_have_run=False)
        try:
            forwarding.permit = await self._gate.enter(forwarding.gate_request)
        except Unavailable as refusal:
            history.reasons.append(refusal.detail)
            return False
        history.record_return()
        return True

    def _choose(self, forwarding: _Forwarding) -> BackEnd | None:
        history = forwarding.history
        now = clocks.monotonic_s()
        service = self._registry.of_service(forwarding.service)
        candidates = [back_end for back_end in service if self._registry.may_send(back_end, now)]
        factors = self._estimates.time_factors(forwarding.service, service, now)
        chosen = choose_back_end(candidates, self._zone, now, history.tried, time_factors=factors)
        if chosen is None and retry.may_reuse_back_ends(history):
            chosen = choose_back_end(candidates, self._zone, now, time_factors=factors)
        return chosen

    async def _attempt_hedged(
        self, forwarding: _Forwarding, first: BackEnd
    ) -> Answer | StreamingAnswer | None:
        """Make one attempt, and a concurrent one at another back end if the first is slow."""
        tasks = {asyncio.create_task(self._attempt(forwarding, first))}
        try:
            hedge_delay_s = retry.hedge_delay_s(forwarding.route)
            done, tasks = await asyncio.wait(tasks, timeout=hedge_delay_s)
            if not done:
                second = self._choose_hedge(forwarding, first)
                if second is not None:
                    log.info(
                        "request_hedged",
                        extra={"request": forwarding.request.id, "slow": first.record.id},
                    )
                    tasks = tasks | {asyncio.create_task(self._attempt(forwarding, second))}
            while True:
                for task in done:
                    answer = task.result()
                    if answer is not None:
                        return answer
                if not tasks:
                    return None
                done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    def _choose_hedge(self, forwarding: _Forwarding, slow: BackEnd) -> BackEnd | None:
        """Return the back end for the hedged attempt; None if none is allowed or available."""
        history = forwarding.history
        if not retry.has_attempts_left(forwarding.route, history):
            return None
        if not forwarding.tracker.may_send():
            return None
        second = self._choose(forwarding)
        if second is None or second.record.id in history.tried:
            return None
        if not forwarding.permit.may_hedge(slow.record.id):
            return None
        return second

    async def _attempt(
        self, forwarding: _Forwarding, back_end: BackEnd
    ) -> Answer | StreamingAnswer | None:
        """Make one attempt at a back end; None if the request is not completed by it."""
        history = forwarding.history
        history.record_sent(back_end.record.id)
        back_end.occupy_slot()
        sent_at, may_have_run = clocks.boottime_s(), True
        try:
            with (
                self._observer.caller_attempt(back_end, forwarding.route.name) as observed,
                forwarding.tracker.sending() as send,
            ):
                answer = await self._send(forwarding, back_end, send)
                observed.is_complete = _is_complete_success(answer)
        except AttemptNotRun as rejection:
            may_have_run = False
            history.record_rejected(back_end.record.id, rejection.reason)
            self._handle_rejection(back_end, rejection)
            return None
        except AttemptBroken as failure:
            history.record_broken(back_end.record.id, failure.reason)
            back_end.record_failure()
            return None
        finally:
            back_end.release_slot()
            if may_have_run:
                history.record_possible_start(sent_at)
        return self._handle_answer(forwarding, back_end, answer)

    async def _send(
        self, forwarding: _Forwarding, back_end: BackEnd, send: Send
    ) -> Answer | StreamingAnswer:
        """Send the request once, and record the outcome for its request tracker."""
        relay = forwarding.route.kind is not RequestKind.REPEATABLE
        try:
            answer = await self._client.send(
                back_end, forwarding.request, forwarding.give_up_at, relay
            )
        except AttemptNotRun:
            send.was_not_run = True
            raise
        except AttemptBroken as failure:
            send.crashed_id = await self._guard.crashed_id(back_end, failure)
            raise
        send.was_answered = isinstance(answer, Answer) and not retry.is_server_error(answer)
        return answer

    def _handle_rejection(self, back_end: BackEnd, rejection: AttemptNotRun) -> None:
        back_end.record_rejection()
        self._guard.on_rejected(back_end, rejection)
        if rejection.is_full:
            self._gate.record_full(back_end.record.service)
        if rejection.wrong_instance:
            back_end.record_failure()

    def _handle_answer(
        self, forwarding: _Forwarding, back_end: BackEnd, answer: Answer | StreamingAnswer
    ) -> Answer | StreamingAnswer | None:
        """Return the answer for the caller; None if another attempt may follow."""
        if isinstance(answer, StreamingAnswer):
            back_end.record_success()
            return replace(
                answer, chunks=self._monitored_body(answer, back_end, forwarding.tracker)
            )
        if retry.is_retryable(forwarding.route, answer):
            forwarding.history.record_server_error(back_end.record.id, answer)
            back_end.record_failure()
            return None
        back_end.record_success()
        return answer

    async def _monitored_body(
        self, answer: StreamingAnswer, back_end: BackEnd, tracker: RequestTracker
    ) -> AsyncGenerator[bytes, None]:
        """Forward the body of an answer while it is received, and record how it ended.

        The back end may terminate before the body is complete.
        """
        try:
            with tracker.sending() as send:
                async with aclosing(answer.chunks) as chunks:
                    try:
                        async for chunk in chunks:
                            yield chunk
                    except AttemptBroken as failure:
                        send.crashed_id = await self._guard.crashed_id(back_end, failure)
                        raise
                send.was_answered = not retry.is_server_error(answer)
        finally:
            tracker.close()


def _is_complete_success(answer: Answer | StreamingAnswer) -> bool:
    """Whether an answer tells how long the back end takes for the work of its route."""
    return isinstance(answer, Answer) and _is_success(answer)


def _is_success(answer: Answer | StreamingAnswer) -> bool:
    """Whether the status says that the work of the route was done or has begun."""
    return answer.status < MIN_ERROR_STATUS


def _log_outcome(forwarding: _Forwarding, answer: Answer | StreamingAnswer | None) -> None:
    request, history, tracker = forwarding.request, forwarding.history, forwarding.tracker
    log.info(
        "request_answered" if answer is not None else "request_given_up",
        extra={
            "request": request.id,
            "route": forwarding.route.name,
            "service": forwarding.service,
            "tenant": request.tenant,
            "status": answer.status if answer is not None else None,
            "attempts": sorted(history.tried),
            "reasons": history.reasons,
            "ended": tracker.ended,
            "fingerprint": tracker.identity.fingerprint if tracker.ended else "",
            "seconds": round(clocks.boottime_s() - request.received_at, 4),
        },
    )


def request_identity(request: InboundRequest, route: Route) -> RequestIdentity:
    """Return the parts of a request that the quarantine compares and that its log lines contain."""
    return RequestIdentity(
        request.id,
        request.tenant,
        route.name,
        request.method,
        request.host,
        request.target,
        request.body,
    )
