"""Decides which outputs of ended jobs the items of a new job may reuse.

When a trainer ends a step, it requests the groups that were not complete again in its next job,
under the same item ids.

Inputs: the outputs of the newest MAX_RETAINED_JOBS jobs that ended in this process, which are held
in memory only; the new job's items and `min_version`; whether its route requires that a single
weight version generates a whole text.
Rule: an item reuses the output of the newest ended job that has an item of the same id, body, model
and tenant. All weight versions that generated the output must be known and at least `min_version`;
if the route requires a single version, there must be only one. A complete text whose scoring
request has changed is scored again, but not generated again.
Purpose: to keep the samplers from generating the same tokens twice.
Logged as: `texts_carried`.
Tested by: tests/jobs/test_earlier_outputs.py.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from crankseam.jobs.model import ItemDefinition, ItemResult, JobDefinition, PartialText

MAX_RETAINED_JOBS = 8
"""Number of ended jobs whose outputs a process retains: enough for several steps of each model."""


@dataclass
class JobOutputs:
    """The outputs that have been generated for a job's items.

    Attributes
    ==========

    finished : results of the completed items, by item id.
    partial : texts of the other items that have at least one event, by item id.
    """

    finished: dict[str, ItemResult] = field(default_factory=dict)
    partial: dict[str, PartialText] = field(default_factory=dict)


@dataclass(frozen=True)
class _EndedJob:
    model: str
    tenant: str
    items: dict[str, ItemDefinition]
    outputs: JobOutputs


class EarlierOutputs:
    """The outputs of the jobs that ended most recently in this process."""

    def __init__(self) -> None:
        self._ended: OrderedDict[str, _EndedJob] = OrderedDict()

    def keep(self, job: JobDefinition, outputs: JobOutputs) -> None:
        """Retain the outputs of an ended job; evicts the oldest job beyond MAX_RETAINED_JOBS."""
        self._ended[job.id] = _EndedJob(
            job.model, job.tenant, {item.id: item for item in job.items}, outputs
        )
        while len(self._ended) > MAX_RETAINED_JOBS:
            self._ended.popitem(last=False)

    def reusable_outputs(self, job: JobDefinition, single_version: bool) -> JobOutputs:
        """The outputs of earlier jobs that a new job may reuse.

        Parameters
        ==========

        single_version : whether one weight version must generate all events of a text.
        """
        reusable = JobOutputs()
        for item in job.items:
            for ended in reversed(self._ended.values()):
                if self._is_same_item(item, job, ended):
                    earlier = ended.items[item.id]
                    self._add_reusable(item, earlier, job, ended.outputs, single_version, reusable)
                    break
        return reusable

    @staticmethod
    def _is_same_item(item: ItemDefinition, job: JobDefinition, ended: _EndedJob) -> bool:
        earlier = ended.items.get(item.id)
        if earlier is None or ended.tenant != job.tenant:
            return False
        return earlier.body == item.body and ended.model == job.model

    @staticmethod
    def _add_reusable(
        item: ItemDefinition,
        earlier: ItemDefinition,
        job: JobDefinition,
        outputs: JobOutputs,
        single_version: bool,
        reusable: JobOutputs,
    ) -> None:
        item_id = item.id
        finished, partial = outputs.finished.get(item_id), outputs.partial.get(item_id)
        if finished is not None and _versions_allowed(finished.versions, job, single_version):
            if item.scoring == earlier.scoring:
                reusable.finished[item_id] = finished
            else:
                # The text remains valid, but its score answers a different scoring request.
                whole = PartialText([finished.text], list(finished.versions), whole=True)
                reusable.partial[item_id] = whole
        elif partial is not None and _versions_allowed(partial.versions, job, single_version):
            reusable.partial[item_id] = PartialText(
                list(partial.events), list(partial.versions), partial.whole
            )


def _versions_allowed(versions: list[int], job: JobDefinition, single_version: bool) -> bool:
    """Whether a text of these versions may be a result of the job; False if none is known."""
    if not versions or min(versions) < job.min_version:
        return False
    return len(versions) == 1 or not single_version
