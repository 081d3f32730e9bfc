"""Makes the result of an item: its text at samplers, then the score of that text.

Owns what this process learns of how long items hold places. Relies on ItemRun and ItemScorer. A
text that is whole but lacks its score stays in `kept`: who takes the job over only asks for the
score.
"""

from __future__ import annotations

import math

import msgspec

from crankseam.jobs.item_retry import DEFAULT_MAX_ATTEMPTS, DEFAULT_MAX_QUEUE_S
from crankseam.jobs.item_run import ItemRun, RunParts, whole_result
from crankseam.jobs.item_seconds import ItemSeconds
from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText
from crankseam.jobs.scoring import ItemScorer


class ItemMaker:
    """What all items of a process's jobs are made with.

    Parameters
    ==========

    parts : what their runs use.
    """

    def __init__(self, parts: RunParts, scorer: ItemScorer) -> None:
        self._parts = parts
        self._find_route = parts.find_route
        self._scorer = scorer
        self.item_seconds = ItemSeconds()

    def longest_queue_s(self, job: JobDefinition) -> float:
        """How long after its job was submitted an item may be given up."""
        route = self._find_route(job)
        return route.longest_queue_s if route is not None else DEFAULT_MAX_QUEUE_S

    def due_s(self, job: JobDefinition) -> float:
        """How long after it was submitted a job's results are due."""
        route = self._find_route(job)
        return route.due_s if route is not None else math.inf

    async def make(
        self,
        job: JobDefinition,
        item: ItemDefinition,
        rank: tuple[float, ...],
        kept: PartialText,
        is_long: bool,
    ) -> ItemResult:
        """The item's result; `kept` grows meanwhile. See ItemRun."""
        if kept.whole:
            result = whole_result(item, kept)
        else:
            result = await self._result_of(ItemRun(job, item, rank, self._parts, kept, is_long))
        if not result.completed or item.scoring is None:
            return result
        route = self._find_route(job)
        attempts = route.max_attempts if route is not None else DEFAULT_MAX_ATTEMPTS
        score = await self._scorer.score(job, item, item.scoring, rank, attempts)
        if score is None:
            return ItemResult(item.id, False)
        return msgspec.structs.replace(result, score=score)

    async def _result_of(self, run: ItemRun) -> ItemResult:
        """Run an item, and learn how long it held places if all of it was made here."""
        begun_elsewhere = bool(run.kept.events)
        result = await run.run()
        if result.completed and not begun_elsewhere:
            self.item_seconds.ended(run.job.model, run.item, run.held_s)
        return result
