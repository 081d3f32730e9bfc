"""Which outputs of earlier jobs an item of a new job may use.

A trainer that ends a step asks for the groups that were not whole once more, under the same ids.

Inputs: outputs of the newest KEPT_JOBS jobs that ended in this process, in its memory alone; the
new job's items and `min_version`; whether its route wants one weight version for a whole text.
Rule: an item of the same id, body, model and tenant takes what the newest such job made of it, if
each weight version that made it is known and new enough, and there is one only where the route
wants that. A whole text whose scoring request changed is scored again, not made again.
Protects: the samplers from making the same tokens twice.
Shown by: `texts_carried`. Held by: tests/jobs/test_earlier_outputs.py.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText

KEPT_JOBS = 8
"""Ended jobs whose outputs a process keeps, the newest ones: some steps of each model. Origin not
recorded."""


@dataclass
class JobOutputs:
    """What was made of a job's items so far.

    Attributes
    ==========

    finished : results of items that are whole, by item.
    partial : texts of the others that have any event, by item.
    """

    finished: dict[str, ItemResult] = field(default_factory=dict)
    partial: dict[str, PartialText] = field(default_factory=dict)


@dataclass(frozen=True)
class _EndedJob:
    model: str
    tenant: str
    items: dict[str, ItemDefinition]
    texts: JobOutputs


class EarlierOutputs:
    """Outputs of the jobs that ended here lately."""

    def __init__(self) -> None:
        self._ended: OrderedDict[str, _EndedJob] = OrderedDict()

    def keep(self, job: JobDefinition, texts: JobOutputs) -> None:
        """Keep what was made of a job that ended."""
        self._ended[job.id] = _EndedJob(
            job.model, job.tenant, {item.id: item for item in job.items}, texts
        )
        while len(self._ended) > KEPT_JOBS:
            self._ended.popitem(last=False)

    def fitting(self, job: JobDefinition, single_version: bool) -> JobOutputs:
        """What may be used of earlier jobs' outputs for this one.

        Parameters
        ==========

        single_version : whether all events of a text must be made by one weight version.
        """
        fitting = JobOutputs()
        for item in job.items:
            for ended in reversed(self._ended.values()):
                if self._is_same(item, job, ended):
                    earlier = ended.items[item.id]
                    self._take(item, earlier, job, ended.texts, single_version, fitting)
                    break
        return fitting

    @staticmethod
    def _is_same(item: ItemDefinition, job: JobDefinition, ended: _EndedJob) -> bool:
        earlier = ended.items.get(item.id)
        if earlier is None or ended.tenant != job.tenant:
            return False
        return earlier.body == item.body and ended.model == job.model

    @staticmethod
    def _take(
        item: ItemDefinition,
        earlier: ItemDefinition,
        job: JobDefinition,
        texts: JobOutputs,
        single_version: bool,
        fitting: JobOutputs,
    ) -> None:
        item_id = item.id
        finished, partial = texts.finished.get(item_id), texts.partial.get(item_id)
        if finished is not None and _versions_fit(finished.versions, job, single_version):
            if item.scoring == earlier.scoring:
                fitting.finished[item_id] = finished
            else:
                # The text is as good as before; its score belongs to another request.
                whole = PartialText([finished.text], list(finished.versions), whole=True)
                fitting.partial[item_id] = whole
        elif partial is not None and _versions_fit(partial.versions, job, single_version):
            fitting.partial[item_id] = PartialText(
                list(partial.events), list(partial.versions), partial.whole
            )


def _versions_fit(versions: list[int], job: JobDefinition, single_version: bool) -> bool:
    """Whether a text of these versions may be a result of the job; untold versions never fit."""
    if not versions or min(versions) < job.min_version:
        return False
    return len(versions) == 1 or not single_version
