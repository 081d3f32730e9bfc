"""Plan of groups: a step that cannot be whole, one very long item a group, and scarce places.

The load is a step whose groups wait for fewer places than they need. It guards against all groups
becoming whole together and after the due time, which happens if their items are served without
regard to their groups.
"""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs.group_plan import (
    BEGUN_WORK_FACTOR,
    LENGTH_ERROR_FRACTION,
    GroupClass,
    GroupWork,
    plan_groups,
)

GROUP_WORK = st.builds(
    GroupWork,
    name=st.just(""),
    work_s=st.floats(0.1, 50.0),
    critical_path_s=st.floats(0.1, 10.0),
    has_begun=st.booleans(),
    is_lost=st.booleans(),
)
GROUPS = st.lists(GROUP_WORK, max_size=30).map(
    lambda groups: [
        GroupWork(f"g{number}", one.work_s, one.critical_path_s, one.has_begun, one.is_lost)
        for number, one in enumerate(groups)
    ]
)
TIME_LEFT = st.one_of(st.floats(-5.0, 20.0), st.just(math.inf))


def equal_groups(count, work_s=8.0, critical_path_s=1.0, **changes):
    return [GroupWork(f"g{n}", work_s, critical_path_s, **changes) for n in range(count)]


def test_the_groups_that_need_the_least_are_chosen_as_many_as_the_trainer_waits_for():
    groups = [GroupWork(f"g{work}", float(work), 1.0) for work in (9, 3, 5)]
    plan = plan_groups(groups, needed=2, time_left_s=7.0)
    assert plan.names(GroupClass.CHOSEN) == ("g3", "g5")
    assert plan.names(GroupClass.BEYOND) == ("g9",)
    assert plan.tightest_slack_s() == 6.0 and plan.work_s() == 8.0


def test_groups_that_cannot_be_whole_any_more_take_no_place_from_those_that_can():
    groups = [*equal_groups(2, critical_path_s=9.0), *equal_groups(1, work_s=90.0)]
    plan = plan_groups(groups, needed=3, time_left_s=2.0)
    assert plan.names(GroupClass.CHOSEN) == ("g0",) and plan.groups[0].work_s == 90.0
    assert len(plan.names(GroupClass.LATE)) == 2, "the trainer waits for them"


def test_a_step_that_cannot_be_whole_in_time_goes_on_with_the_least_remaining_work():
    groups = [GroupWork(f"g{work}", float(work), 5.0) for work in (9, 3, 5)]
    plan = plan_groups(groups, needed=2, time_left_s=1.0)
    assert [group.name for group in plan.groups] == ["g3", "g5", "g9"]
    assert plan.names(GroupClass.LATE) == ("g3", "g5")
    assert plan.names(GroupClass.INFEASIBLE) == ("g9",)
    assert plan.tightest_slack_s() == math.inf


def test_a_group_whose_very_long_item_may_just_fit_is_not_taken_for_late():
    groups = equal_groups(3, critical_path_s=10.0)
    time_left_s = 10.0 * (1.0 - LENGTH_ERROR_FRACTION)
    assert plan_groups(groups, 3, time_left_s).names(GroupClass.CHOSEN) == ("g0", "g1", "g2")
    assert not plan_groups(groups, 3, time_left_s - 0.1).names(GroupClass.CHOSEN)


def test_a_group_that_has_begun_stays_before_one_that_needs_a_little_less():
    begun = GroupWork("begun", 5.0, 1.0, has_begun=True)
    other = GroupWork("other", 5.0 * BEGUN_WORK_FACTOR + 0.1, 1.0)
    assert plan_groups([other, begun], 1, 9.0).names(GroupClass.CHOSEN) == ("begun",)


def test_a_group_with_an_item_that_was_given_up_goes_last():
    lost = GroupWork("lost", 0.1, 0.1, is_lost=True)
    plan = plan_groups([lost, *equal_groups(2, critical_path_s=50.0)], 3, 1.0)
    assert [group.name for group in plan.groups] == ["g0", "g1", "lost"]
    assert plan.names(GroupClass.LATE) == ("g0", "g1", "lost"), "the trainer waits for all"
    plan = plan_groups([lost, *equal_groups(2)], 2, 5.0)
    assert plan.names(GroupClass.INFEASIBLE) == ("lost",), "it gets enough others"


@given(GROUPS, st.integers(0, 30), TIME_LEFT)
def test_each_group_has_one_position_and_no_more_are_wanted_than_the_trainer_waits_for(
    groups, needed, time_left_s
):
    plan = plan_groups(groups, needed, time_left_s)
    assert sorted(group.name for group in plan.groups) == sorted(group.name for group in groups)
    assert [group.position for group in plan.groups] == list(range(len(groups)))
    assert [group.group_class for group in plan.groups] == sorted(
        group.group_class for group in plan.groups
    )
    chosen, late = plan.names(GroupClass.CHOSEN), plan.names(GroupClass.LATE)
    assert len(chosen) + len(late) <= needed
    if plan.names(GroupClass.BEYOND):
        assert len(chosen) == needed, "none is beyond while the trainer waits for more"
    assert len(chosen) + len(late) == min(needed, len(groups))


@given(GROUPS, st.integers(0, 30), TIME_LEFT)
def test_a_group_with_less_work_and_the_same_longest_item_is_never_behind(
    groups, needed, time_left_s
):
    positions = {g.name: g.position for g in plan_groups(groups, needed, time_left_s).groups}
    for less in groups:
        for more in groups:
            alike = (less.critical_path_s, less.has_begun, less.is_lost) == (
                more.critical_path_s,
                more.has_begun,
                more.is_lost,
            )
            if alike and less.work_s < more.work_s:
                assert positions[less.name] < positions[more.name]


@given(GROUPS, st.integers(0, 30), TIME_LEFT)
def test_the_same_knowledge_gives_the_same_plan(groups, needed, time_left_s):
    plan = plan_groups(groups, needed, time_left_s)
    assert plan == plan_groups(list(groups), needed, time_left_s)


@pytest.mark.parametrize("needed", [0, 1])
def test_a_job_without_unfinished_groups_has_an_empty_plan(needed):
    plan = plan_groups([], needed, 5.0)
    assert plan.groups == () and plan.tightest_slack_s() == math.inf and plan.work_s() == 0.0
