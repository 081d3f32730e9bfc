"""Runs one item to its result: attempts at samplers, each going on where the last one stopped.

Owns the item's attempts, failures, silences and its request to move; the text that was made so far
is the caller's and grows meanwhile. Relies on RoutedPlaces for places, on the generation client for
events, on CrashGuard for items under which samplers ended. The rules are those of item_retry.py,
urgency.py and migration.py.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from crankseam.jobs.dispatcher import Dispatcher
from crankseam.jobs.errors import ItemFailed, ItemImpossible
from crankseam.jobs.item_retry import (
    ATTEMPT_TIMEOUT_S,
    BROKEN_RETRY_DELAY_S,
    FIRST_EVENT_TIMEOUT_S,
    next_event_timeout_s,
    rejected_backoff_s,
)
from crankseam.jobs.migration import MigrationTimer
from crankseam.jobs.migration_requests import MigrationRequest
from crankseam.jobs.model import (
    GeneratedEvent,
    ItemDefinition,
    ItemResult,
    JobDefinition,
    PartialText,
)
from crankseam.jobs.places import PlaceNeed
from crankseam.jobs.routed_places import RoutedPlaces
from crankseam.jobs.send_outcome import record_send_outcome
from crankseam.jobs.urgency import is_long_run, slots_share
from crankseam.quarantine.crash_guard import CrashGuard
from crankseam.quarantine.holding import DEFAULT_MOST_ENDS_OF_ITEM
from crankseam.quarantine.model import TrialSubject
from crankseam.serving.back_ends import BackEnd
from crankseam.serving.engine_memory import RunSize
from crankseam.serving.messages import AttemptBroken, AttemptNotRun
from crankseam.serving.routes import Route, TrafficSplitter

log = logging.getLogger(__name__)

WARM_UP_S = 0.2
"""Right after its first event a run waits for others' prompts; that says nothing of the pace.
Origin not recorded."""

RouteFinder = Callable[[JobDefinition], Route | None]


class GenerationClient(Protocol):
    """Runs generations at samplers."""

    def generate(
        self,
        back_end: BackEnd,
        job: JobDefinition,
        item: ItemDefinition,
        after: int,
        limit_s: float,
    ) -> AsyncGenerator[GeneratedEvent, None]:
        """Events after number `after`, until the generation is whole.

        Args:
            limit_s: seconds after which the sampler is to stop its work.

        Raises:
            AttemptNotRun, AttemptBroken, ItemFailed, ItemImpossible
        """


def unscored_result(item: ItemDefinition, text: PartialText) -> ItemResult:
    """The result of an item whose text is whole; without a score."""
    return ItemResult(item.id, True, "\n".join(text.events), list(text.versions))


def _subject(job: JobDefinition, item: ItemDefinition) -> TrialSubject:
    return TrialSubject(item.id, job.tenant, "", "POST", job.host, item.path, item.body)


class _Migrate(Exception):
    """The sampler is slow and a place at a faster one was granted."""


@dataclass(frozen=True)
class RunParts:
    """What all runs of a process use.

    Attributes
    ==========

    find_route : the job's route in the newest configuration; None while there is none.
    guard : holds back items under which back ends ended.
    """

    dispatcher: Dispatcher
    client: GenerationClient
    find_route: RouteFinder
    splitter: TrafficSplitter
    guard: CrashGuard


class ItemRun:
    """One item of a job, on its way to a result.

    Args:
        rank: order among all waiting items of this process; smaller goes first.
        kept: events made by earlier attempts, perhaps of another process.
        is_long: whether the item is expected to be among its job's longest.
    """

    def __init__(
        self,
        job: JobDefinition,
        item: ItemDefinition,
        rank: tuple[float, ...],
        parts: RunParts,
        kept: PartialText,
        is_long: bool = False,
    ) -> None:
        self.job = job
        self.item = item
        self._rank = rank
        self._find_route = parts.find_route
        self._dispatcher = parts.dispatcher
        self._places = RoutedPlaces(parts.dispatcher, parts.splitter)
        self._client = parts.client
        self._guard = parts.guard
        self._trial = parts.guard.begin(_subject(job, item), DEFAULT_MOST_ENDS_OF_ITEM)
        self.kept = kept
        self._is_expected_long = is_long
        self._created_at = time.monotonic()
        self._failures = 0
        self._silences = 0
        self._migration_timer = MigrationTimer()
        self._avoided = ""
        self._migration: MigrationRequest | None = None
        self._single_version = False
        self.held_s = 0.0
        """How long it held places so far."""

    async def run(self) -> ItemResult:
        """Try until the item is whole or must be given up."""
        try:
            return await self._run()
        finally:
            self._trial.abandon()
            unused = self._end_migration()
            if unused is not None:
                self._dispatcher.release(unused, self.item.id)

    async def _run(self) -> ItemResult:
        reserved: BackEnd | None = None
        while True:
            if reserved is not None and not self._trial.is_admitted():
                self._dispatcher.release(reserved, self.item.id)
                reserved = None
            await self._trial.wait_admitted()
            async with self._places.hold(
                partial(self._find_route, self.job), self._need(), self._only_version, reserved
            ) as place:
                placed_at = time.monotonic()
                result = await self._attempt(place.back_end, place.route)
                self.held_s += time.monotonic() - placed_at
            if result is not None:
                return result
            reserved = self._end_migration()

    def _text_version(self) -> int:
        """The one version that may go on with the text; 0 if any may."""
        route = self._find_route(self.job)
        if route is None or not route.single_version or not self.kept.versions:
            return 0
        return self.kept.versions[-1]

    def _only_version(self) -> int:
        """See PlaceRequest. A text that no sampler can go on with is forgotten.

        Only for an item that waits: the text of a run under way stays.
        """
        version, route = self._text_version(), self._find_route(self.job)
        if not version or route is None:
            return 0
        services = [share.service for share in route.shares]
        if any(
            self._dispatcher.is_version_available(one, self.job.model, version) for one in services
        ):
            return version
        self.kept.clear()
        return 0

    def _need(self) -> PlaceNeed:
        return PlaceNeed(
            self._rank,
            self.job.model,
            self.job.min_version,
            self._avoided,
            self._is_long(),
            slots_share(bool(self.kept.events), self._is_long()),
            self.item.id,
            self._size(),
        )

    def _size(self) -> RunSize:
        return RunSize(self.item.prompt_tokens, len(self.kept.events), self.item.tokens)

    def _end_migration(self) -> BackEnd | None:
        """End the request to move; the place that it was granted, if it was."""
        request, self._migration = self._migration, None
        return self._dispatcher.end_migration(request) if request is not None else None

    def _is_long(self) -> bool:
        """Whether the step is likely to wait for this item."""
        return self._is_expected_long or is_long_run(len(self.kept.events))

    async def _attempt(self, back_end: BackEnd, route: Route) -> ItemResult | None:
        """One attempt; None when the item must go on."""
        self._avoided = ""
        self._single_version = route.single_version
        self._log("item_sent", back_end, f"load {back_end.expected_load(time.monotonic())}")
        try:
            with self._trial.sending() as send:
                await record_send_outcome(self._guard, send, back_end, self._generate(back_end))
        except AttemptNotRun as refusal:
            pause_s = rejected_backoff_s(refusal.had_room)
            back_end.was_full(pause_s)
            self._migration_timer.rejected(time.monotonic())
            self._log("item_turned_away", back_end, f"{refusal.reason}, avoided {pause_s} s")
            return None
        except AttemptBroken as failure:
            back_end.failed()
            self._avoided = back_end.record.id
            self._log("item_broken", back_end, failure.reason)
            self._trial.report_if_held()
            await asyncio.sleep(BROKEN_RETRY_DELAY_S)
            return None
        except _Migrate:
            self._avoided = back_end.record.id
            self._log("item_moved", back_end, "slow")
            return None
        except ItemFailed:
            self._failures += 1
            self._avoided = back_end.record.id
            self._log("item_failed", back_end, f"failure {self._failures}")
            return self._given_up() if self._failures >= route.max_attempts else None
        except ItemImpossible:
            self._log("item_impossible", back_end, "never")
            return self._given_up()
        back_end.succeeded()
        self._log("item_done", back_end, "whole")
        self.kept.whole = True
        return unscored_result(self.item, self.kept)

    def _given_up(self) -> ItemResult:
        return ItemResult(self.item.id, False)

    def _log(self, event: str, back_end: BackEnd, reason: str) -> None:
        log.info(
            event,
            extra={
                "job": self.job.id,
                "item": self.item.id,
                "back_end": back_end.record.id,
                "reason": reason,
                "events": len(self.kept.events),
                "seconds": round(time.monotonic() - self._created_at, 3),
            },
        )

    async def _generate(self, back_end: BackEnd) -> None:
        """Take events until the generation is whole."""
        after = len(self.kept.events)
        stream = self._client.generate(back_end, self.job, self.item, after, ATTEMPT_TIMEOUT_S)
        last_at: float | None = None
        steady_at = float("inf")
        longest_silence_s = next_event_timeout_s(self._silences)
        async with aclosing(stream) as events:
            while True:
                patience_s = longest_silence_s if last_at is not None else FIRST_EVENT_TIMEOUT_S
                try:
                    async with asyncio.timeout(patience_s):
                        event = await anext(events, None)
                except TimeoutError:
                    self._silences += 1
                    raise AttemptBroken(f"no event for {patience_s} s") from None
                if event is None:
                    return
                now = time.monotonic()
                if last_at is None:
                    steady_at = now + WARM_UP_S
                elif now >= steady_at:
                    self._dispatcher.paces.seen(back_end, now - last_at)
                last_at = now
                self._take(event)
                back_end.runs[self.item.id] = self._size()
                if now >= steady_at:
                    self._migrate_if_slow(back_end)

    def _take(self, event: GeneratedEvent) -> None:
        if event.number != len(self.kept.events) + 1:
            raise AttemptBroken(f"event {event.number} after {len(self.kept.events)}")
        if event.version and event.version < self.job.min_version:
            self.kept.clear()
            raise AttemptBroken(f"made by version {event.version}")
        if self._single_version and self.kept.versions and event.version not in self.kept.versions:
            self.kept.clear()
            raise AttemptBroken("made by two versions")
        self.kept.take(event)
        self._trial.progressed()

    def _migrate_if_slow(self, back_end: BackEnd) -> None:
        now = time.monotonic()
        if not self._migration_timer.may_migrate(now):
            return
        if self._migration_timer.begin_search_if_due(now):
            self._migration = self._dispatcher.request_migration(
                self._migration, back_end, self._need(), self._text_version()
            )
        if self._migration is not None and self._migration.granted is not None:
            self._migration_timer.migrated(now)
            raise _Migrate
