"""Which groups of a job to finish by its due time, and in which order.

Inputs: the unfinished groups with their expected remaining work and longest remaining item; the
number of groups that the trainer still waits for; the time left until the results are due. All are
known to the job's owner at the time of the plan.
Rule: the groups are ordered by remaining work, least first; a group that has begun counts for
BEGUN_WORK_FACTOR of it. A group can be whole in time if its longest item fits into the time left
with the shortest likely length (LENGTH_ERROR_FRACTION). As many of these groups as the trainer
waits for are chosen, the others are beyond. If too few can be whole in time, those with the least
work of the rest are late: the trainer still waits for them. A group of which an item was given up
comes last of all, and is late if the trainer cannot get enough others. How many places the job
will get is not known, and does not matter for the order: groups are served one after the other.
Purpose: under scarcity as many groups as possible are whole in time, one after the other, rather
than all of them together and late.
Logged as: `groups_planned`.
Tested by: tests/jobs/test_group_plan.py.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass

LENGTH_ERROR_FRACTION = 0.3
"""An item may need this fraction less or more than its expected seconds, because hints of lengths
are inaccurate. A group wrongly classed as late is ranked behind others, which makes it late."""
BEGUN_WORK_FACTOR = 0.8
"""Fraction of its work for which a group that has begun counts, so that estimates that change a
little do not reorder the groups, and texts already generated are used."""


class GroupClass(enum.IntEnum):
    """What the plan expects of a group; in a job, groups of a smaller class are served first."""

    CHOSEN = 0
    """The trainer waits for it, and it can be whole in time."""
    LATE = 1
    """It cannot be whole in time, but the trainer waits for it, as too few others can be."""
    BEYOND = 2
    """It could be whole in time, but the trainer does not wait for it."""
    INFEASIBLE = 3
    """It cannot be whole in time, or not at all, and the trainer does not wait for it."""

    def is_wanted(self) -> bool:
        """Whether the trainer waits for the group."""
        return self <= GroupClass.LATE


@dataclass(frozen=True, slots=True)
class GroupWork:
    """What an unfinished group still needs.

    Attributes
    ==========

    work_s : expected seconds of all its unfinished items, including their scoring.
    critical_path_s : expected seconds of the longest of these items.
    has_begun : whether one of its items has a text or a result.
    is_lost : whether one of its items was given up, so that it never will be whole.
    """

    name: str
    work_s: float
    critical_path_s: float
    has_begun: bool = False
    is_lost: bool = False


@dataclass(frozen=True, slots=True)
class PlannedGroup:
    """Place of a group in a plan.

    Attributes
    ==========

    position : position in the order of the plan, counted from 0 over all classes.
    slack_s : time left after the expected end of the longest item, if it started now; negative if
        there is none.
    """

    name: str
    group_class: GroupClass
    position: int
    slack_s: float
    work_s: float


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """The unfinished groups of a job, in the order in which they are served."""

    groups: tuple[PlannedGroup, ...] = ()

    def names(self, group_class: GroupClass) -> tuple[str, ...]:
        """The groups of a class, in the order of the plan."""
        return tuple(group.name for group in self.groups if group.group_class is group_class)

    def same_sets(self, other: GroupPlan) -> bool:
        """Whether each unfinished group has the same class in both plans."""
        return _classes(self) == _classes(other)

    def tightest_slack_s(self) -> float:
        """Least slack of a chosen group; infinite if none is chosen."""
        chosen = (group for group in self.groups if group.group_class is GroupClass.CHOSEN)
        return min((group.slack_s for group in chosen), default=math.inf)

    def work_s(self) -> float:
        """Expected remaining seconds of work of the chosen groups."""
        chosen = (group for group in self.groups if group.group_class is GroupClass.CHOSEN)
        return sum(group.work_s for group in chosen)


def _classes(plan: GroupPlan) -> dict[str, GroupClass]:
    return {group.name: group.group_class for group in plan.groups}


def counted_work_s(group: GroupWork) -> float:
    """Seconds by which a group is ordered."""
    return group.work_s * BEGUN_WORK_FACTOR if group.has_begun else group.work_s


def can_be_whole(group: GroupWork, time_left_s: float) -> bool:
    """Whether a group can be whole in time, if its items need the shortest likely seconds.

    Examples
    ========

    >>> group = GroupWork("g", work_s=6.0, critical_path_s=2.0)
    >>> can_be_whole(group, 1.5), can_be_whole(group, 1.0)
    (True, False)
    """
    shortest_s = group.critical_path_s * (1.0 - LENGTH_ERROR_FRACTION)
    return not group.is_lost and shortest_s <= time_left_s


def plan_groups(groups: Sequence[GroupWork], needed: int, time_left_s: float) -> GroupPlan:
    """Plan the unfinished groups of a job.

    Parameters
    ==========

    groups : the unfinished groups, in the order of the job, which decides between equal ones.
    needed : number of further whole groups that the trainer waits for.
    time_left_s : seconds until the results are due; infinite if they never are.

    Examples
    ========

    >>> long, short = GroupWork("long", 9.0, 4.0), GroupWork("short", 2.0, 1.0)
    >>> plan = plan_groups([long, short], needed=1, time_left_s=5.0)
    >>> plan.names(GroupClass.CHOSEN), plan.names(GroupClass.BEYOND)
    (('short',), ('long',))
    """
    chosen: list[GroupWork] = []
    beyond: list[GroupWork] = []
    infeasible: list[GroupWork] = []
    for group in sorted(groups, key=lambda one: (one.is_lost, counted_work_s(one))):
        if not can_be_whole(group, time_left_s):
            infeasible.append(group)
        elif len(chosen) < needed:
            chosen.append(group)
        else:
            beyond.append(group)
    late = infeasible[: max(0, needed - len(chosen))]
    not_needed = infeasible[len(late) :]
    return _numbered(
        time_left_s,
        (GroupClass.CHOSEN, chosen),
        (GroupClass.LATE, late),
        (GroupClass.BEYOND, beyond),
        (GroupClass.INFEASIBLE, not_needed),
    )


def _numbered(time_left_s: float, *classes: tuple[GroupClass, list[GroupWork]]) -> GroupPlan:
    planned: list[PlannedGroup] = []
    for group_class, groups in classes:
        for group in groups:
            slack_s = time_left_s - group.critical_path_s
            planned.append(
                PlannedGroup(group.name, group_class, len(planned), slack_s, group.work_s)
            )
    return GroupPlan(tuple(planned))
