"""Scheduling order of waiting items, and the share of a sampler's slots that each kind may fill.

Inputs: the job's priority; the time at which the job started in this process (monotonic); the
hinted output length in tokens, which is often far off; the number of events that a run has
generated. At a contended service also the plan of the job's groups, the expected remaining seconds
of the item and the time at which the job's results are due; they are at most PLAN_INTERVAL_S of
job_urgency.py old.
Rule: items are served in ascending order of rank, that is, by priority (0 first), then by start
time rounded down to spans of START_SPAN_S, then by descending length hint, then by position in the
job. At a contended service the rank is that of `planned_rank`, and samplers are told the urgency
by `request_priority`. An item counts as long if its hint exceeds LONG_HINT_FACTOR times the median
hint of its job, or once its run has generated LONG_RUN_EVENTS events. Items that have not started
and are not long leave a share of each sampler's slots free; scoring requests leave half of them
free, or fewer at a contended service (scoring_reserve.py).
Purpose: keeps training steps short, since a step ends with its longest item, and protects callers
whose requests use the same back ends as scoring requests. Where callers compete, the groups that a
step needs become whole one after the other.
Logged as: `item_sent`, `scoring_sent`, `groups_planned`.
Tested by: tests/jobs/test_urgency.py.
"""

from __future__ import annotations

import math
import statistics
from typing import Protocol

from crankseam.jobs.group_plan import LENGTH_ERROR_FRACTION, GroupClass, PlannedGroup
from crankseam.jobs.model import ItemDefinition, JobDefinition

START_SPAN_S = 2.0
"""Jobs whose start times fall into the same span of this length are ranked as if they had started
together, so that they share the samplers item by item."""
PRIORITY_FIELD = 1
"""Position of the job's priority in a rank, after the class of the item's group."""
RANK_CLASS_FIELDS = 2
"""Number of fields at the start of a rank that go before the shares of tenants: the class of the
item's group and the priority."""
UNPLANNED_CLASS = 0.0
"""Class of all groups of a job without a plan."""
LONG_HINT_FACTOR = 1.5
"""An item is expected to be long if its hint exceeds this multiple of its job's median hint.
Such items are served early and placed on the fastest samplers, since their groups end with them."""
LONG_RUN_EVENTS = 12
"""A run that has generated this many events is likely to be one that its step waits for. The larger
the value, the later such a run is migrated away from a slow sampler."""
NEW_ITEM_SLOTS_SHARE = 0.84
"""Share of a sampler's slots that items may fill that have not started and are not long. The
remaining slots are reserved for interrupted runs and long items, which a step waits for and which
would otherwise queue behind short ones. In eight simulated days with faults, this cut the mean step
time from 7.36 to 7.15 s (docs/DECISIONS.md)."""
SCORING_SLOTS_SHARE = 0.5
"""Share of a back end's slots that scoring requests may fill. Callers' requests use the same back
ends, and find the other half free even if many items finish at the same time."""

START_MARGIN_S = 0.5
"""A long item is served before the others of its class and priority once it has to start within
this time: about a wait for the next free place, and one resumption elsewhere."""
LOWEST_REQUEST_PRIORITY = 9
"""Least urgent priority that samplers know; 0 is the most urgent."""


class Urgency(Protocol):
    """Urgency of one item, which may change while the item waits."""

    def rank(self) -> tuple[float, ...]:
        """Sort key among all waiting items of this process; the smallest is served first."""

    def level(self) -> int | None:
        """Priority by which the item ages (aging.py); None if it does not age."""

    def is_wanted(self) -> bool:
        """Whether the trainer waits for the item."""

    def request_priority(self) -> int | None:
        """Priority that a sampler is told; None if it is told none."""


def item_rank(
    job: JobDefinition, started_at: float, item: ItemDefinition, index: int
) -> tuple[float, ...]:
    """Sort key of an item among all waiting items of this process; the smallest is served first.

    Parameters
    ==========

    started_at : monotonic time at which the job started in this process.
    index : position of the item in its job.
    """
    start_span = started_at // START_SPAN_S
    return (
        UNPLANNED_CLASS,
        float(job.priority),
        start_span,
        -float(item.length_hint),
        float(index),
    )


def must_start(remaining_s: float, due_at: float, now: float) -> bool:
    """Whether an item may miss its due time unless it starts now.

    This counts for long items only: the short ones of a step that lacks places come to this point
    together, and would be late together if they were served by their latest start.

    Parameters
    ==========

    remaining_s : expected seconds that the item still needs, including its scoring.
    due_at, now : monotonic times.

    Examples
    ========

    >>> must_start(6.5, due_at=7.5, now=0.0), must_start(1.3, due_at=7.5, now=0.0)
    (True, False)
    """
    return now + remaining_s * (1.0 + LENGTH_ERROR_FRACTION) + START_MARGIN_S >= due_at


def planned_rank(
    job: JobDefinition,
    group: PlannedGroup,
    started_at: float,
    due_at: float,
    now: float,
    remaining_s: float,
    is_long: bool,
    is_interrupted: bool,
    index: int,
) -> tuple[float, ...]:
    """Sort key of an item at a contended service.

    The order is: groups that the trainer waits for, whether chosen or late; priority; interrupted
    runs of these groups, and of the chosen ones the long items that must start now, by their latest
    start; then earlier jobs, groups in the order of the plan, and the items that need the longest
    first. Late groups of a step go before the next step's, since its trainer waits for the earlier
    one. Among the jobs of one class and priority, tenants get their shares; see
    fairness/round_order.py.

    Parameters
    ==========

    remaining_s : expected seconds that the item still needs, including its scoring.
    is_long : whether the item is expected to be long by its hint.
    is_interrupted : whether the item has begun; if it waits, its run was broken off or moved.
    """
    is_wanted = group.group_class.is_wanted()
    may_be_late = is_long and group.group_class is GroupClass.CHOSEN
    if is_wanted and (is_interrupted or (may_be_late and must_start(remaining_s, due_at, now))):
        order = (0.0, due_at - remaining_s, 0.0)
    else:
        order = (1.0, started_at // START_SPAN_S, float(group.position))
    return (
        0.0 if is_wanted else float(group.group_class),
        float(job.priority),
        *order,
        -remaining_s,
        float(index),
    )


def request_priority(priority: int, group_class: GroupClass) -> int:
    """Priority of a request at a sampler, from the job's priority and the class of its group.

    Late groups keep the priority of their job: its trainer waits for them.

    Examples
    ========

    >>> [request_priority(3, group_class) for group_class in GroupClass]
    [3, 3, 9, 9]
    """
    if not group_class.is_wanted():
        return LOWEST_REQUEST_PRIORITY
    return max(0, min(priority, LOWEST_REQUEST_PRIORITY))


def long_hint_threshold(job: JobDefinition) -> float:
    """Length hint, in tokens, above which an item of a job is expected to be long.

    Infinite if no item of the job has a hint.
    """
    hints = [item.length_hint for item in job.items if item.length_hint]
    return LONG_HINT_FACTOR * statistics.median(hints) if hints else math.inf


def is_long_run(events: int) -> bool:
    """Whether a run that has generated this many events counts as long."""
    return events >= LONG_RUN_EVENTS


def slots_share(has_begun: bool, is_long: bool) -> float:
    """Share of a sampler's slots that runs of this kind may fill."""
    return 1.0 if has_begun or is_long else NEW_ITEM_SLOTS_SHARE
