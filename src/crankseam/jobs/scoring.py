"""Requests the score of an item whose text is complete.

The request follows the routes of the newest configuration. It is retried until a back end answers
it, until back ends have run it and reported a failure as often as the routes allow, or until the
job ends. It is sent only after this process has received the last event of the text, so the score
always belongs to the complete text.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from crankseam import clocks
from crankseam.backoff import Backoff
from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.errors import ScoringFailed
from crankseam.jobs.item_retry import (
    SCORING_REJECTED_BACKOFF_S,
    SCORING_RETRY_BASE_S,
    SCORING_RETRY_CAP_S,
    max_scoring_failures,
    scoring_timeout_s,
)
from crankseam.jobs.item_seconds import DEFAULT_ITEM_S
from crankseam.jobs.model import ItemDefinition, JobDefinition, ScoringRequest
from crankseam.jobs.places import PlaceNeed
from crankseam.jobs.routed_places import RoutedPlaces
from crankseam.jobs.scoring_reserve import ScoringReserve, fixed_reserve
from crankseam.jobs.send_outcome import record_send_outcome
from crankseam.jobs.urgency import Urgency
from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.holding import DEFAULT_CRASH_LIMIT
from crankseam.quarantine.model import RequestIdentity
from crankseam.serving.attempt_observer import AttemptObserver, no_observer
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.messages import AttemptBroken, AttemptNotRun
from crankseam.serving.routes import Route, TrafficSplitter
from crankseam.serving.tenants import NO_TENANT

log = logging.getLogger(__name__)

ScoringRouteFinder = Callable[[ScoringRequest], Route | None]


class ScoringClient(Protocol):
    """Sends scoring requests to back ends."""

    async def score(
        self,
        back_end: BackEnd,
        request: ScoringRequest,
        deadline: float,
        priority: int | None = None,
    ) -> str:
        """Send a scoring request and return the signature of the answer.

        Args:
            deadline: time at which the back end is to stop its work, on the clock of
                `clocks.boottime_s`.
            priority: urgency that the back end is told; None for none.

        Raises:
            AttemptNotRun, AttemptBroken, ScoringFailed
        """


def _request_identity(request: ScoringRequest) -> RequestIdentity:
    return RequestIdentity(
        request.id, NO_TENANT, "", "POST", request.host, request.path, request.body
    )


class ItemScorer:
    """Sends the scoring requests of one process's jobs.

    Parameters
    ==========

    find_route : returns the route of a scoring request in the newest configuration, None if there
        is none.
    guard : holds back scoring requests that are suspected of crashing back ends.
    observer : observes the attempts at contended services.
    reserve : tells which share of their slots contended services keep free for callers.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        client: ScoringClient,
        find_route: ScoringRouteFinder,
        splitter: TrafficSplitter,
        guard: CrashGuard,
        observer: AttemptObserver | None = None,
        reserve: ScoringReserve | None = None,
    ) -> None:
        self._observer = observer or no_observer()
        self._reserve = reserve or fixed_reserve()
        self._places = RoutedPlaces(dispatcher, splitter)
        self._client = client
        self._guard = guard
        self._find_route = find_route

    async def score(
        self,
        job: JobDefinition,
        item: ItemDefinition,
        request: ScoringRequest,
        urgency: Urgency,
        job_attempts: int,
    ) -> str | None:
        """The score of an item; None if its scoring request failed too often.

        Parameters
        ==========

        urgency : urgency of the item.
        job_attempts : `max_attempts` of the job's route; the route of the scoring request may allow
            more.
        """
        run = _ScoringRun(self._client, self._guard, self._observer, job, item, request)
        try:
            return await self._try_until_scored(run, request, urgency, job_attempts, job.tenant)
        finally:
            run.tracker.abandon()

    def expected_s(self, request: ScoringRequest) -> float:
        """Seconds after which a scoring request that found a place is expected to be answered."""
        route = self._find_route(request)
        return route.target_latency_s if route is not None else 0.0

    async def _try_until_scored(
        self,
        run: _ScoringRun,
        request: ScoringRequest,
        urgency: Urgency,
        job_attempts: int,
        tenant: str,
    ) -> str | None:
        work_s = DEFAULT_ITEM_S
        while True:
            await run.tracker.wait_until_admitted()
            need = PlaceNeed(
                urgency.rank(),
                avoided=run.avoided,
                slots_share=self._reserve.slots_share(self._find_route(request)),
                tenant=tenant,
                work_s=work_s,
            )
            async with self._places.hold(
                partial(self._find_route, request), need, urgency=urgency
            ) as place:
                # The tenant is charged once, as all scoring requests count the same.
                work_s = 0.0
                priority = urgency.request_priority()
                score = await run.attempt(place.route, place.back_end, priority)
            if score is not None:
                return score
            if run.should_give_up(max_scoring_failures(place.route, job_attempts), place.back_end):
                return None
            await asyncio.sleep(run.backoff.next_delay())


class _ScoringRun:
    """One item's scoring request, with the state of its attempts."""

    def __init__(
        self,
        client: ScoringClient,
        guard: CrashGuard,
        observer: AttemptObserver,
        job: JobDefinition,
        item: ItemDefinition,
        request: ScoringRequest,
    ) -> None:
        self._client = client
        self._guard = guard
        self._observer = observer
        self.tracker = guard.track(_request_identity(request), DEFAULT_CRASH_LIMIT)
        self._job = job
        self._item = item
        self._request = request
        self._failures = 0
        self._timeouts = 0
        self._started_at = time.monotonic()
        self.avoided = ""
        """Id of the back end to which the last attempt was sent; empty before the first one."""
        self.backoff = Backoff(SCORING_RETRY_BASE_S, SCORING_RETRY_CAP_S)

    async def attempt(
        self, route: Route, back_end: BackEnd, priority: int | None = None
    ) -> str | None:
        """Send the request once; None if the attempt gave no score."""
        timeout_s = scoring_timeout_s(route, self._timeouts)
        self.avoided = back_end.record.id
        self._log("scoring_sent", back_end, f"patience {timeout_s:.2f} s")
        try:
            async with asyncio.timeout(timeout_s):
                with (
                    self._observer.attempt(back_end, route.name) as observed,
                    self.tracker.sending() as send,
                ):
                    deadline = clocks.boottime_s() + timeout_s
                    call = self._client.score(back_end, self._request, deadline, priority)
                    score = await record_send_outcome(self._guard, send, back_end, call)
                    observed.is_complete = True
        except AttemptNotRun as refusal:
            back_end.record_rejection(SCORING_REJECTED_BACKOFF_S)
            if refusal.wrong_instance:
                back_end.record_failure()
            self._log("scoring_turned_away", back_end, refusal.reason)
            return None
        except AttemptBroken as failure:
            back_end.record_failure()
            self._log("scoring_broken", back_end, failure.reason)
            self.tracker.report_if_held()
            return None
        except TimeoutError:
            self._timeouts += 1
            back_end.record_failure()
            self._log("scoring_broken", back_end, "no answer in time")
            return None
        except ScoringFailed:
            self._failures += 1
            self._log("scoring_failed", back_end, f"failure {self._failures}")
            return None
        back_end.record_success()
        self._log("scoring_done", back_end, score)
        return score

    def should_give_up(self, max_failures: int, back_end: BackEnd) -> bool:
        """Whether the request has failed as often as the routes allow; if so, log that."""
        if self._failures < max_failures:
            return False
        self._log("scoring_given_up", back_end, f"failure {self._failures}")
        return True

    def _log(self, event: str, back_end: BackEnd, reason: str) -> None:
        log.info(
            event,
            extra={
                "job": self._job.id,
                "item": self._item.id,
                "request": self._request.id,
                "back_end": back_end.record.id,
                "reason": reason,
                "seconds": round(time.monotonic() - self._started_at, 3),
            },
        )
