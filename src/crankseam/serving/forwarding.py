"""Forwards one request: choice of a back end, attempts, a second attempt for slow ones."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import replace

from crankseam import clocks
from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.model import TrialSubject, default_most_ends
from crankseam.quarantine.trial import Send, Trial
from crankseam.serving import retry
from crankseam.serving.back_ends import BackEnd, BackEndRegistry
from crankseam.serving.choice import choose
from crankseam.serving.messages import (
    Answer,
    AttemptBroken,
    AttemptNotRun,
    BackEndClient,
    InboundRequest,
    StreamingAnswer,
)
from crankseam.serving.retry import TURNED_AWAY_PAUSE_SECONDS, Progress
from crankseam.serving.routes import RequestKind, Route, TrafficSplitter

log = logging.getLogger(__name__)


class Forwarder:
    """Forwards requests of one process.

    Args:
        guard: holds back requests under which back ends ended.
        zone: where this process runs; back ends there are preferred between equals.
        on_begun: called once for each request that may have begun to run, with its tenant and the
            time of promises at which it did.
    """

    def __init__(
        self,
        registry: BackEndRegistry,
        client: BackEndClient,
        guard: CrashGuard,
        zone: str,
        on_begun: Callable[[str, float], None] | None = None,
    ) -> None:
        self._on_begun = on_begun
        self._registry = registry
        self._client = client
        self._guard = guard
        self._zone = zone
        self._splitter = TrafficSplitter()

    async def forward(self, request: InboundRequest, route: Route) -> Answer | StreamingAnswer:
        """Answer a request, within its deadline and its route's timeout.

        Raises:
            Problem: the request was given up; its outcome says whether it may have run.
        """
        service = self._splitter.pick(route)
        end = retry.end_of_attempts(request, route)
        trial = self._guard.begin(_subject(request, route), default_most_ends(route.kind))
        await trial.admit()
        progress = Progress(trial)
        answer: Answer | StreamingAnswer | None = None
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + end - clocks.promised_s()
            ):
                answer = await self._attempt_until_answered(request, route, service, end, progress)
        except TimeoutError:
            answer = None
            progress.reasons.append(retry.reason_of_end(request, route))
        finally:
            if not isinstance(answer, StreamingAnswer):
                trial.close()
            if progress.began_at is not None and self._on_begun is not None:
                self._on_begun(request.tenant, progress.began_at)
        if answer is None:
            answer = progress.last_failure
        log.info(
            "request_answered" if answer is not None else "request_given_up",
            extra={
                "request": request.id,
                "route": route.name,
                "service": service,
                "tenant": request.tenant,
                "status": answer.status if answer is not None else None,
                "attempts": sorted(progress.tried),
                "reasons": progress.reasons,
                "ended": trial.ended,
                "fingerprint": trial.subject.fingerprint if trial.ended else "",
                "seconds": round(clocks.promised_s() - request.received_at, 4),
            },
        )
        if answer is None:
            raise retry.problem_when_given_up(progress)
        return answer

    async def _attempt_until_answered(
        self,
        request: InboundRequest,
        route: Route,
        service: str,
        end: float,
        progress: Progress,
    ) -> Answer | StreamingAnswer | None:
        repeatable = route.kind is RequestKind.REPEATABLE
        while True:
            if not retry.has_attempts_left(route, progress):
                return None
            if clocks.promised_s() >= end:
                raise TimeoutError
            if retry.is_turned_away_for_good(progress) or not progress.trial.may_send():
                return None
            first = self._choose(service, progress)
            if first is None:
                return None
            if repeatable:
                answer = await self._hedged(request, route, service, first, end, progress)
            else:
                answer = await self._attempt(request, route, first, end, progress)
            if answer is not None:
                return answer
            if progress.turned_away:
                await asyncio.sleep(TURNED_AWAY_PAUSE_SECONDS)

    def _choose(self, service: str, progress: Progress) -> BackEnd | None:
        candidates = self._registry.of_service(service)
        now = clocks.paced_s()
        found = choose(candidates, self._zone, now, progress.tried)
        if found is None and retry.may_try_again_where_tried(progress):
            found = choose(candidates, self._zone, now)
        return found

    async def _hedged(
        self,
        request: InboundRequest,
        route: Route,
        service: str,
        first: BackEnd,
        end: float,
        progress: Progress,
    ) -> Answer | StreamingAnswer | None:
        """One attempt, and a second one elsewhere when the first is slow."""
        tasks = {asyncio.create_task(self._attempt(request, route, first, end, progress))}
        try:
            done, tasks = await asyncio.wait(tasks, timeout=retry.hedge_after_s(route))
            may_hedge = retry.has_attempts_left(route, progress) and progress.trial.may_send()
            if not done and may_hedge:
                second = self._choose(service, progress)
                if second is not None and second.record.id not in progress.tried:
                    log.info(
                        "request_hedged",
                        extra={"request": request.id, "slow": first.record.id},
                    )
                    attempt = self._attempt(request, route, second, end, progress)
                    tasks = tasks | {asyncio.create_task(attempt)}
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

    async def _attempt(
        self,
        request: InboundRequest,
        route: Route,
        back_end: BackEnd,
        end: float,
        progress: Progress,
    ) -> Answer | StreamingAnswer | None:
        """One attempt at one back end; None when it gave nothing that ends the request."""
        progress.tried.add(back_end.record.id)
        progress.may_have_run += 1
        back_end.in_flight += 1
        sent_at, ran = clocks.promised_s(), True
        try:
            with progress.trial.sending() as send:
                answer = await self._send(request, route, back_end, end, send)
        except AttemptNotRun as refusal:
            ran = False
            progress.may_have_run -= 1
            progress.turned_away += 1
            progress.reasons.append(f"{back_end.record.id}: {refusal.reason}")
            back_end.was_full()
            self._guard.turned_away(back_end, refusal)
            if refusal.wrong_instance:
                back_end.failed()
            return None
        except AttemptBroken as failure:
            progress.reasons.append(f"{back_end.record.id}: {failure.reason}")
            back_end.failed()
            return None
        finally:
            back_end.in_flight -= 1
            if ran:
                began_at = progress.began_at if progress.began_at is not None else sent_at
                progress.began_at = min(sent_at, began_at)
        if isinstance(answer, StreamingAnswer):
            back_end.succeeded()
            return replace(answer, chunks=self._watched(answer, back_end, progress.trial))
        if retry.is_tried_again(route, answer):
            progress.reasons.append(f"{back_end.record.id}: status {answer.status}")
            progress.last_failure = answer
            back_end.failed()
            return None
        back_end.succeeded()
        return answer

    async def _send(
        self, request: InboundRequest, route: Route, back_end: BackEnd, end: float, send: Send
    ) -> Answer | StreamingAnswer:
        """Send it once, and note for its trial what came of it."""
        relay = route.kind is not RequestKind.REPEATABLE
        try:
            answer = await self._client.send(back_end, request, end, relay)
        except AttemptNotRun:
            send.was_not_run = True
            raise
        except AttemptBroken as failure:
            send.ended_id = await self._guard.ended_id(back_end, failure)
            raise
        send.was_answered = isinstance(answer, Answer) and not retry.is_server_error(answer)
        return answer

    async def _watched(
        self, answer: StreamingAnswer, back_end: BackEnd, trial: Trial
    ) -> AsyncGenerator[bytes, None]:
        """An answer's body as it comes; its back end may end before it is whole."""
        try:
            with trial.sending() as send:
                async with aclosing(answer.chunks) as chunks:
                    try:
                        async for chunk in chunks:
                            yield chunk
                    except AttemptBroken as failure:
                        send.ended_id = await self._guard.ended_id(back_end, failure)
                        raise
                send.was_answered = not retry.is_server_error(answer)
        finally:
            trial.close()


def _subject(request: InboundRequest, route: Route) -> TrialSubject:
    return TrialSubject(
        request.id,
        request.tenant,
        route.name,
        request.method,
        request.host,
        request.target,
        request.body,
    )
