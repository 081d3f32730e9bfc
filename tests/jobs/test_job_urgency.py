"""Ranks of a job's items: scarce places, long items, priorities, a new owner, the switch."""

import itertools
import math

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs.group_plan import GroupClass
from crankseam.jobs.item_seconds import MIN_ITEMS, ItemSeconds
from crankseam.jobs.job_urgency import LOG_INTERVAL_S, PLAN_INTERVAL_S, JobUrgency, UrgencySources
from crankseam.jobs.model import ItemDefinition, JobDefinition, PartialText
from crankseam.jobs.urgency import item_rank

DUE_S = 7.5
SHORT, LONG = 13, 65
"""Hints of items that need 1.3 and 6.5 s."""


def make_job(hints_by_group, desired=0, priority=5, tenant=""):
    items = [
        ItemDefinition(f"{group}-{number}", "/p", {}, b"", group=group, length_hint=hint)
        for group, hints in hints_by_group.items()
        for number, hint in enumerate(hints)
    ]
    return JobDefinition(
        "j", "h", "/p", items, model="m", desired=desired, tenant=tenant, priority=priority
    )


def learnt_seconds():
    seconds = ItemSeconds()
    for _ in range(MIN_ITEMS):
        seconds.ended("m", ItemDefinition("x", "/", {}, b"", length_hint=10), 1.0, 5)
    return seconds


class Results:
    def __init__(self, finished=(), lost=()):
        self.finished, self.lost = set(finished), set(lost)

    def has_result(self, item_id):
        return item_id in self.finished | self.lost

    def is_lost(self, item_id):
        return item_id in self.lost


class Load:
    """One job's urgency on a clock of its own."""

    def __init__(self, job, *, contended=True, seconds=None, due_s=DUE_S, started_at=0.0):
        self.job, self.now, self.contended = job, 0.0, contended
        self.texts = {item.id: PartialText() for item in job.items}
        self.results = Results()
        sources = UrgencySources(
            lambda job: self.contended,
            seconds or learnt_seconds(),
            lambda item: 0.1,
        )
        self.urgency = JobUrgency(
            job, started_at, started_at + due_s, sources, self.texts, self.results, lambda: self.now
        )

    def of(self, item_id):
        ids = [item.id for item in self.job.items]
        return self.urgency.of_item(ids.index(item_id))

    def order(self):
        """Ids of the unfinished items, in the order in which they are served."""
        unfinished = [one.id for one in self.job.items if not self.results.has_result(one.id)]
        return sorted(unfinished, key=lambda item_id: self.of(item_id).rank())

    def generate(self, item_id, events):
        self.texts[item_id].events.extend("x" * events)


def test_elsewhere_ranks_stay_those_of_the_job_alone():
    load = Load(make_job({"a": [SHORT, LONG], "b": [SHORT]}), contended=False)
    load.now = 3.0
    for index, item in enumerate(load.job.items):
        urgency = load.of(item.id)
        assert urgency.rank() == item_rank(load.job, 0.0, item, index)
        assert urgency.is_wanted() and urgency.level() is None
        assert urgency.request_priority() is None


def test_the_switch_takes_effect_with_the_next_plan():
    load = Load(make_job({"a": [SHORT], "b": [LONG]}), contended=False)
    plain = load.of("a-0").rank()
    load.contended = True
    load.now += PLAN_INTERVAL_S
    assert load.of("a-0").rank() != plain and load.of("a-0").request_priority() == 5
    load.contended = False
    load.now += PLAN_INTERVAL_S
    assert load.of("a-0").rank() == plain and load.of("a-0").request_priority() is None


def test_under_scarcity_groups_become_whole_one_after_the_other():
    load = Load(make_job({"a": [SHORT, SHORT + 2], "b": [SHORT, SHORT], "c": [SHORT + 1] * 2}))
    assert load.order() == ["b-0", "b-1", "a-1", "a-0", "c-0", "c-1"]


def test_the_one_very_long_item_of_each_group_starts_before_all_short_ones():
    load = Load(make_job({group: [SHORT, SHORT, LONG] for group in "abc"}))
    assert load.order()[:3] == ["a-2", "b-2", "c-2"]
    assert load.order()[3:] == ["a-0", "a-1", "b-0", "b-1", "c-0", "c-1"]


def test_before_any_length_is_learnt_the_longest_items_start_first():
    load = Load(make_job({group: [SHORT, LONG] for group in "ab"}), seconds=ItemSeconds())
    assert load.order() == ["a-1", "b-1", "a-0", "b-0"]
    load.now = DUE_S - 0.1
    assert load.of("a-1").request_priority() == 5, "an assumed rate does not make a group late"


def test_without_a_due_time_groups_go_by_their_work():
    load = Load(make_job({"a": [LONG], "b": [SHORT]}), seconds=ItemSeconds(), due_s=math.inf)
    assert load.order() == ["b-0", "a-0"]


def test_groups_beyond_those_that_the_trainer_waits_for_go_last_and_are_not_wanted():
    load = Load(make_job({"a": [SHORT, LONG], "b": [SHORT], "c": [SHORT + 1]}, desired=1))
    assert load.order()[0] == "b-0" and load.order()[-2:] == ["a-1", "a-0"]
    assert load.of("b-0").is_wanted() and not load.of("a-1").is_wanted()
    assert load.of("a-1").request_priority() == 9 and load.of("a-1").level() is None
    load.results.finished.add("b-0")
    load.now += PLAN_INTERVAL_S
    assert not load.of("c-0").is_wanted(), "the step can end"


def test_a_group_of_which_an_item_was_given_up_makes_room_for_another():
    load = Load(make_job({"a": [SHORT, SHORT], "b": [SHORT + 9, SHORT]}, desired=1))
    assert load.of("a-1").is_wanted() and not load.of("b-1").is_wanted()
    load.results.lost.add("a-0")
    load.now += PLAN_INTERVAL_S
    assert load.of("b-1").is_wanted() and not load.of("a-1").is_wanted()


def test_a_step_that_cannot_be_whole_still_goes_on_in_order_of_least_remaining_work():
    load = Load(make_job({"a": [SHORT, SHORT], "b": [SHORT + 9], "c": [SHORT]}))
    load.now = DUE_S - 0.2
    assert load.order() == ["c-0", "b-0", "a-0", "a-1"]
    assert load.of("b-0").is_wanted() and load.of("b-0").request_priority() == 5


def groups_whole_in_time(job, places, order):
    """Number of groups that are whole by the due time, if `places` items run at a time.

    `order` returns the ids of the waiting items in the order in which they are served.
    """
    load = Load(job)
    running, missing = {}, {group: 0 for group in load.urgency._members}
    for item in job.items:
        missing[item.group] += 1
    while load.now <= DUE_S:
        for item_id in [one for one, end in running.items() if end <= load.now]:
            load.results.finished.add(item_id)
            missing[item_id[0]] -= 1
            del running[item_id]
        waiting = [one for one in order(load) if one not in running]
        for item_id in waiting[: places - len(running)]:
            (item,) = [one for one in job.items if one.id == item_id]
            running[item_id] = load.now + item.length_hint / 10.0 + 0.1
        load.now += 0.05
    return sum(count == 0 for count in missing.values())


def half_of_the_places(hints):
    """Half of the places at which all groups would just be whole in time."""
    place_s = sum(hint / 10.0 + 0.1 for group in hints.values() for hint in group)
    return round(place_s / DUE_S / 2)


def longest_first(load):
    ranks = {
        item.id: item_rank(load.job, 0.0, item, index)
        for index, item in enumerate(load.job.items)
        if not load.results.has_result(item.id)
    }
    return sorted(ranks, key=ranks.get)


def test_where_half_of_the_groups_can_be_whole_these_are_whole_in_time():
    # Eight groups of eight items of 1.0 to 1.7 s, and half of the places that they need.
    hints = {group: list(range(10, 18)) for group in "abcdefgh"}
    job, places = make_job(hints), half_of_the_places(hints)
    assert groups_whole_in_time(job, places, longest_first) == 0, "all are late together"
    assert groups_whole_in_time(job, places, Load.order) >= 3, "half, less the one that has begun"


def test_where_places_lack_and_each_group_has_a_long_item_some_groups_are_whole_in_time():
    # Long items that have to start now go first whatever their group, so fewer than half are whole.
    hints = {group: [10, 11, 12, 13, 14, 15, 16, 30] for group in "abcdefgh"}
    job, places = make_job(hints), half_of_the_places(hints)
    assert groups_whole_in_time(job, places, longest_first) == 0
    assert groups_whole_in_time(job, places, Load.order) > 0


def test_the_score_that_a_group_waits_for_goes_before_those_of_texts_with_seconds_left():
    load = Load(make_job({"a": [SHORT, SHORT], "b": [LONG]}))
    load.texts["a-0"].whole = load.texts["b-0"].whole = True
    load.now = 1.5
    assert load.of("b-0").rank() < load.of("a-0").rank(), "b needs only its score"
    load.generate("b-0", 30)
    load.texts["b-0"].whole = False
    load.now = DUE_S - 0.6
    assert load.of("b-0").rank() < load.of("a-0").rank(), "b is long and has to start now"


def test_a_job_of_higher_priority_goes_first_and_a_groups_class_before_priority():
    hints = {"a": [SHORT], "b": [SHORT + 1]}
    urgent = Load(make_job(hints, desired=1, priority=0))
    other = Load(make_job(hints, priority=3))
    assert urgent.of("a-0").rank() < other.of("a-0").rank() < urgent.of("b-0").rank()
    assert urgent.of("a-0").level() < other.of("a-0").level()


def test_an_interrupted_run_goes_on_before_items_that_have_not_begun():
    """Load: samplers break runs off while many items wait; a run must not wait for its group."""
    load = Load(make_job({"a": [SHORT], "b": [SHORT] * 8, "c": [LONG, SHORT]}))
    load.generate("b-5", 4)
    assert load.order()[:3] == ["c-0", "b-5", "a-0"]
    load.now = DUE_S + 1.0
    assert load.order()[0] == "b-5", "also if all groups are late"


def test_what_a_step_still_misses_goes_before_the_next_step_even_if_it_is_late():
    """Load: two steps of a trainer at a time; it waits for the earlier one."""
    earlier = Load(make_job({"a": [LONG], "b": [SHORT]}))
    later = Load(make_job({"a": [SHORT], "b": [SHORT]}), started_at=4.0)
    earlier.now = later.now = 6.0
    assert earlier.urgency.plan is None and earlier.order() == ["b-0", "a-0"]
    assert earlier.urgency.plan.names(GroupClass.LATE) == ("a",)
    assert earlier.of("a-0").rank() < later.of("a-0").rank()


def test_the_rest_of_a_group_that_the_trainer_cannot_do_without_is_wanted():
    """An item was given up, and the trainer waits for as many groups as there are: its step ends
    only with the last result, which must not wait behind the next step's items."""
    load = Load(make_job({"a": [SHORT, SHORT], "b": [SHORT]}))
    load.results.lost.add("a-0")
    assert load.order() == ["b-0", "a-1"] and load.of("a-1").is_wanted()


def test_a_new_owner_makes_the_same_plan_from_listed_results_and_kept_texts():
    job = make_job({group: [SHORT + number, LONG] for number, group in enumerate("abcd")}, 2)
    former = Load(job)
    former.results.finished.add("c-0")
    former.generate("d-1", 20)
    former.now = 2.0
    new = Load(msgspec.json.decode(msgspec.json.encode(job), type=JobDefinition))
    new.results.finished.add("c-0")
    new.texts["d-1"] = PartialText(["x"] * 20)
    new.now = 2.0
    assert new.order() == former.order() and new.urgency.plan == former.urgency.plan
    unlearnt = Load(job, seconds=ItemSeconds())
    unlearnt.results.finished.add("c-0")
    assert set(unlearnt.order()) == set(former.order())
    assert len(unlearnt.urgency.plan.names(GroupClass.CHOSEN)) == 2, "with lengths assumed"


def test_the_plan_is_logged_when_its_sets_change_and_at_most_once_a_second(caplog):
    caplog.set_level("INFO")
    load = Load(make_job({"a": [SHORT], "b": [SHORT], "c": [SHORT]}, desired=2))

    def lines():
        load.of("a-0").rank()
        return [line for line in caplog.records if line.msg == "groups_planned"]

    (line,) = lines()
    assert (line.chosen, line.beyond, line.slack_s) == (("a", "b"), ("c",), 6.1)
    load.results.finished.add("a-0")
    load.now += PLAN_INTERVAL_S
    assert len(lines()) == 1
    load.now = LOG_INTERVAL_S
    assert lines()[1].chosen == ("b",)
    load.now += LOG_INTERVAL_S
    assert len(lines()) == 2, "no set has changed"


HINTS = st.dictionaries(
    st.sampled_from("abcdef"), st.lists(st.integers(0, 200), min_size=1, max_size=5), min_size=1
)


@given(HINTS, st.integers(0, 6), st.floats(0.0, 20.0), st.data())
def test_every_unfinished_item_has_its_own_rank(hints, desired, now, data):
    load = Load(make_job(hints, desired), due_s=data.draw(st.sampled_from([DUE_S, math.inf])))
    ids = [item.id for item in load.job.items]
    load.results.finished |= data.draw(st.sets(st.sampled_from(ids)))
    load.results.lost |= data.draw(st.sets(st.sampled_from(ids)))
    for item_id in data.draw(st.sets(st.sampled_from(ids))):
        load.generate(item_id, data.draw(st.integers(1, 50)))
    load.now = now
    ranks = [load.of(item_id).rank() for item_id in load.order()]
    assert len(set(ranks)) == len(ranks) and len({len(rank) for rank in ranks}) <= 1
    assert all(a < b for a, b in itertools.pairwise(ranks))


@given(HINTS, st.floats(0.0, 6.0))
def test_a_group_is_served_without_others_between_its_items_that_need_not_start_now(hints, now):
    load = Load(make_job(hints))
    load.now = now
    chosen = set(load.urgency.plan.names(GroupClass.CHOSEN)) if load.order() else set()
    groups = [
        item_id[0]
        for item_id in load.order()
        if item_id[0] in chosen and load.of(item_id).rank()[3] > 0.0
    ]
    assert [name for name, _ in itertools.groupby(groups)] == list(dict.fromkeys(groups))
