"""Urgency of one job's items in the process that owns it, kept up to date while they wait.

Owns the job's current plan of groups and the rank of each item, both of which follow from the job,
its results and texts, the learnt rate of the model's items, and the time. Nothing is stored: after
a take-over, the new owner plans from the listed results and the kept texts. The due time counts
from the start of the job in this process, and the rate is the one that this process has learnt, so
a new owner may take groups for feasible that are not; it orders them in the same way. The rules
are in group_plan.py and urgency.py. At a service that is not contended, ranks stay those of
`item_rank`.
"""

from __future__ import annotations

import logging
import math
import statistics
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from crankseam.jobs.group_plan import GroupClass, GroupPlan, GroupWork, plan_groups
from crankseam.jobs.item_seconds import ItemSeconds, WorkRate, work_units
from crankseam.jobs.model import ItemDefinition, JobDefinition, PartialText
from crankseam.jobs.urgency import item_rank, long_hint_threshold, planned_rank, request_priority

log = logging.getLogger(__name__)

PLAN_INTERVAL_S = 0.25
"""Minimum time between two plans of a job."""
LOG_INTERVAL_S = 1.0
"""Minimum time between two lines `groups_planned` of a job."""


class ResultLookup(Protocol):
    """Tells which items of a job have results."""

    def has_result(self, item_id: str) -> bool:
        """Whether an item has its result, listed or pending."""

    def is_lost(self, item_id: str) -> bool:
        """Whether an item's result says that the item was given up."""


@dataclass(frozen=True, slots=True)
class UrgencySources:
    """What the urgency of items depends on, besides their job.

    Attributes
    ==========

    is_contended : whether callers compete for the service of a job's route.
    item_seconds : learnt rates of items.
    scoring_s : expected seconds for which an item's scoring takes; 0 if it has none.
    """

    is_contended: Callable[[JobDefinition], bool]
    item_seconds: ItemSeconds
    scoring_s: Callable[[ItemDefinition], float]


def assumed_rate(job: JobDefinition, due_s: float) -> WorkRate:
    """Rate while none has been learnt: relative to the median item, or so that the longest is due.

    Parameters
    ==========

    due_s : seconds from the start of the job until its results are due; infinite if never. If it is
        known, the longest item is assumed to need all of it, and therefore starts first.
    """
    units = [work_units(item) for item in job.items]
    s_per_unit = due_s / max(units) if math.isfinite(due_s) else 1.0 / statistics.median(units)
    return WorkRate(s_per_unit, is_learnt=False)


class ItemUrgency:
    """Urgency of one item; implements `Urgency`."""

    __slots__ = ("_index", "_job_urgency")

    def __init__(self, job_urgency: JobUrgency, index: int) -> None:
        self._job_urgency = job_urgency
        self._index = index

    def rank(self) -> tuple[float, ...]:
        """See Urgency."""
        return self._job_urgency.rank(self._index)

    def level(self) -> int | None:
        """See Urgency."""
        group_class = self._job_urgency.group_class(self._index)
        if group_class is None or not group_class.is_wanted():
            return None
        return self._job_urgency.job.priority

    def is_wanted(self) -> bool:
        """See Urgency."""
        group_class = self._job_urgency.group_class(self._index)
        return group_class is None or group_class.is_wanted()

    def request_priority(self) -> int | None:
        """See Urgency."""
        group_class = self._job_urgency.group_class(self._index)
        if group_class is None:
            return None
        return request_priority(self._job_urgency.job.priority, group_class)


class JobUrgency:
    """The current plan and ranks of one job.

    Parameters
    ==========

    started_at : monotonic time at which the job started in this process.
    due_at : monotonic time at which its results are due; infinite if never.
    texts : the texts generated so far, by item id; read at each plan.
    now : returns the monotonic time.

    Attributes
    ==========

    plan : the current plan; None while the job's service is not contended.
    """

    def __init__(
        self,
        job: JobDefinition,
        started_at: float,
        due_at: float,
        sources: UrgencySources,
        texts: Mapping[str, PartialText],
        results: ResultLookup,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.job = job
        self.plan: GroupPlan | None = None
        self._started_at = started_at
        self._due_at = due_at
        self._sources = sources
        self._texts = texts
        self._results = results
        self._now = now
        self._ranks = [
            item_rank(job, started_at, item, index) for index, item in enumerate(job.items)
        ]
        self._unplanned_ranks = self._ranks
        self._classes: dict[str, GroupClass] = {}
        """Class of each unfinished group; empty while there is no plan."""
        self._members: dict[str, list[int]] = {}
        """Indexes of the items of each group."""
        for index, item in enumerate(job.items):
            self._members.setdefault(item.group, []).append(index)
        threshold = long_hint_threshold(job)
        self._are_long = [item.length_hint > threshold for item in job.items]
        self._next_plan_at = float("-inf")
        self._next_log_at = float("-inf")
        self._logged = GroupPlan()

    def of_item(self, index: int) -> ItemUrgency:
        """Urgency of the item at this position."""
        return ItemUrgency(self, index)

    def rank(self, index: int) -> tuple[float, ...]:
        """Current rank of an item."""
        self._plan_if_due()
        return self._ranks[index]

    def group_class(self, index: int) -> GroupClass | None:
        """Current class of an item's group; None while there is no plan for it."""
        self._plan_if_due()
        return self._classes.get(self.job.items[index].group)

    # --- plan

    def _plan_if_due(self) -> None:
        now = self._now()
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + PLAN_INTERVAL_S
        if self._sources.is_contended(self.job):
            self._make_plan(now)
        else:
            self.plan, self._ranks, self._classes = None, self._unplanned_ranks, {}

    def _make_plan(self, now: float) -> None:
        rate = self._sources.item_seconds.rate(self.job.model)
        if rate is None:
            rate = assumed_rate(self.job, self._due_at - self._started_at)
        remaining_s = self._remaining_s(rate)
        groups = self._unfinished_groups(remaining_s)
        time_left_s = self._due_at - now
        # An assumed rate does not tell which groups can be whole in time.
        is_known = rate.is_learnt or time_left_s <= 0.0
        plan = plan_groups(groups, self._needed_groups(), time_left_s if is_known else math.inf)
        self.plan = plan
        self._classes = {group.name: group.group_class for group in plan.groups}
        self._ranks = self._planned_ranks(plan, remaining_s, now)
        self._log_if_changed(plan, now)

    def _remaining_s(self, rate: WorkRate) -> dict[int, float]:
        """Expected seconds of each item without a result, including its scoring."""
        remaining_s: dict[int, float] = {}
        for index, item in enumerate(self.job.items):
            if self._results.has_result(item.id):
                continue
            text = self._texts[item.id]
            text_s = 0.0 if text.whole else rate.remaining_s(item, len(text.events))
            remaining_s[index] = text_s + self._sources.scoring_s(item)
        return remaining_s

    def _unfinished_groups(self, remaining_s: Mapping[int, float]) -> list[GroupWork]:
        groups: list[GroupWork] = []
        for name, members in self._members.items():
            seconds = [remaining_s[index] for index in members if index in remaining_s]
            if not seconds:
                continue
            groups.append(
                GroupWork(
                    name,
                    work_s=sum(seconds),
                    critical_path_s=max(seconds),
                    has_begun=len(seconds) < len(members) or self._has_text(members),
                    is_lost=self._is_lost(members),
                )
            )
        return groups

    def _has_text(self, members: list[int]) -> bool:
        return any(self._texts[self.job.items[index].id].events for index in members)

    def _is_lost(self, members: list[int]) -> bool:
        return any(self._results.is_lost(self.job.items[index].id) for index in members)

    def _needed_groups(self) -> int:
        """Number of further whole groups that the trainer waits for."""
        required = min(self.job.desired or len(self._members), len(self._members))
        return max(0, required - sum(map(self._is_whole, self._members.values())))

    def _is_whole(self, members: list[int]) -> bool:
        ids = [self.job.items[index].id for index in members]
        return all(map(self._results.has_result, ids)) and not any(map(self._results.is_lost, ids))

    def _planned_ranks(
        self, plan: GroupPlan, remaining_s: Mapping[int, float], now: float
    ) -> list[tuple[float, ...]]:
        ranks = list(self._ranks)
        for group in plan.groups:
            for index in self._members[group.name]:
                if index in remaining_s:
                    ranks[index] = planned_rank(
                        self.job,
                        group,
                        self._started_at,
                        self._due_at,
                        now,
                        remaining_s[index],
                        self._are_long[index],
                        self._is_interrupted(index),
                        index,
                    )
        return ranks

    def _is_interrupted(self, index: int) -> bool:
        text = self._texts[self.job.items[index].id]
        return bool(text.events) and not text.whole

    def _log_if_changed(self, plan: GroupPlan, now: float) -> None:
        if now < self._next_log_at or plan.same_sets(self._logged):
            return
        self._logged = plan
        self._next_log_at = now + LOG_INTERVAL_S
        log.info(
            "groups_planned",
            extra={
                "job": self.job.id,
                "chosen": plan.names(GroupClass.CHOSEN),
                "late": plan.names(GroupClass.LATE),
                "beyond": plan.names(GroupClass.BEYOND),
                "infeasible": plan.names(GroupClass.INFEASIBLE),
                "time_left_s": _rounded(self._due_at - now),
                "slack_s": _rounded(plan.tightest_slack_s()),
                "work_s": round(plan.work_s(), 3),
            },
        )


def _rounded(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
