"""Produces the result of an item: generates its text at samplers, then requests its score.

Owns this process's estimate of how long items hold places. Relies on ItemRun and ItemScorer. A text
that is complete but lacks its score stays in `kept`, so that a process that takes the job over
requests only the score.
"""

from __future__ import annotations

import math

import msgspec

from crankseam.jobs.item_retry import DEFAULT_ITEM_TIMEOUT_S, DEFAULT_MAX_ATTEMPTS
from crankseam.jobs.item_run import ItemRun, RunComponents, unscored_result
from crankseam.jobs.item_seconds import ItemSeconds
from crankseam.jobs.job_urgency import UrgencySources
from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText
from crankseam.jobs.scoring import ItemScorer
from crankseam.jobs.urgency import Urgency


class ItemMaker:
    """Produces the results of all items of a process's jobs.

    Parameters
    ==========

    parts : dependencies of the items' runs.
    scorer : requests the scores of the items' texts.
    """

    def __init__(self, parts: RunComponents, scorer: ItemScorer) -> None:
        self._parts = parts
        self._find_route = parts.find_route
        self._scorer = scorer
        self.item_seconds = ItemSeconds()

    def item_timeout_s(self, job: JobDefinition) -> float:
        """The `item_timeout_s` of the job's route: seconds after which an item may be given up."""
        route = self._find_route(job)
        return route.item_timeout_s if route is not None else DEFAULT_ITEM_TIMEOUT_S

    def due_s(self, job: JobDefinition) -> float:
        """Seconds after its submission at which a job's results are due; infinite if never."""
        route = self._find_route(job)
        return route.due_s if route is not None else math.inf

    def urgency_sources(self) -> UrgencySources:
        """What the urgency of this process's items depends on, besides their job."""
        return UrgencySources(self._is_contended, self.item_seconds, self._scoring_s)

    def _is_contended(self, job: JobDefinition) -> bool:
        route = self._find_route(job)
        if route is None:
            return False
        return any(self._parts.contention.is_contended(share.service) for share in route.shares)

    def _scoring_s(self, item: ItemDefinition) -> float:
        return self._scorer.expected_s(item.scoring) if item.scoring is not None else 0.0

    async def make(
        self,
        job: JobDefinition,
        item: ItemDefinition,
        urgency: Urgency,
        kept: PartialText,
        is_long: bool,
    ) -> ItemResult:
        """Generate and score an item.

        Parameters
        ==========

        urgency : urgency of the item among all waiting items of this process.
        kept : text generated so far, which is extended in place.
        is_long : whether the item is expected to be among its job's longest.
        """
        if kept.whole:
            result = unscored_result(item, kept)
        else:
            expected_s = self.item_seconds.expected_s(job.model, item)
            run = ItemRun(job, item, urgency, self._parts, kept, is_long, expected_s)
            result = await self._run_item(run)
        if not result.completed or item.scoring is None:
            return result
        route = self._find_route(job)
        attempts = route.max_attempts if route is not None else DEFAULT_MAX_ATTEMPTS
        score = await self._scorer.score(job, item, item.scoring, urgency, attempts)
        if score is None:
            return ItemResult(item.id, False)
        return msgspec.structs.replace(result, score=score)

    async def _run_item(self, run: ItemRun) -> ItemResult:
        """Generate an item's text; record how long it held places if all of it was made here."""
        was_resumed = bool(run.kept.events)
        result = await run.run()
        if result.completed and not was_resumed:
            events = len(run.kept.events)
            self.item_seconds.ended(run.job.model, run.item, run.held_s, events)
        return result
