import random

import pytest

from crankseam.jobs.item_seconds import (
    DEFAULT_ITEM_S,
    MIN_ITEMS,
    MIN_REMAINING_FRACTION,
    ExpectedWork,
    ItemSeconds,
)
from crankseam.jobs.model import ItemDefinition, JobDefinition


def item(number, hint=0):
    return ItemDefinition(f"i{number}", "/p", {}, b"", length_hint=hint)


def job(hints, model="m"):
    items = [item(number, hint) for number, hint in enumerate(hints)]
    return JobDefinition("j", "h", "/p", items, model=model)


def test_nothing_is_told_before_some_items_ended():
    item_seconds = ItemSeconds()
    for number in range(MIN_ITEMS - 1):
        item_seconds.ended("m", item(number), 2.0)
    assert item_seconds.mean_s(job([0, 0])) == 0.0
    item_seconds.ended("m", item(9), 2.0)
    assert item_seconds.mean_s(job([0, 0])) == pytest.approx(2.0)
    assert (
        item_seconds.mean_s(job([0], model="other")) == 0.0 and item_seconds.mean_s(job([])) == 0.0
    )


def test_short_items_that_end_first_do_not_pass_for_all():
    item_seconds = ItemSeconds()
    for number in range(20):
        item_seconds.ended("m", item(number, hint=10), 0.4)
    assert item_seconds.mean_s(job([10, 10, 100])) == pytest.approx(1.6)


def test_an_item_is_expected_to_take_seconds_by_its_hint_once_enough_have_ended():
    item_seconds = ItemSeconds()
    assert item_seconds.expected_s("m", item(0, hint=100)) == DEFAULT_ITEM_S
    for number in range(MIN_ITEMS):
        item_seconds.ended("m", item(number, hint=10), 0.4)
    assert item_seconds.expected_s("m", item(0, hint=100)) == pytest.approx(4.0)
    assert item_seconds.expected_s("other", item(0, hint=100)) == DEFAULT_ITEM_S


def test_the_estimate_follows_recent_items():
    item_seconds = ItemSeconds()
    for number in range(300):
        item_seconds.ended("m", item(number), 1.0)
    for number in range(1500):
        item_seconds.ended("m", item(number), 3.0)
    assert item_seconds.mean_s(job([0])) == pytest.approx(3.0, rel=0.05)


def test_hints_that_are_off_for_each_item_average_out():
    item_seconds, generator = ItemSeconds(), random.Random(7)
    for number in range(256):
        tokens = generator.choice([20, 40, 200])
        item_seconds.ended(
            "m", item(number, round(tokens * generator.uniform(0.5, 1.5))), tokens * 0.02
        )
    expected = 0.02 * (20 + 40 + 200) / 3
    assert item_seconds.mean_s(job([20, 40, 200])) == pytest.approx(expected, rel=0.1)


def test_the_work_of_a_job_is_that_of_all_its_hints_and_its_longest_item_stands_out():
    item_seconds = ItemSeconds()
    assert item_seconds.expected_work(job([10])) == ExpectedWork()
    for number in range(20):
        item_seconds.ended("m", item(number, hint=10), 0.4)
    work = item_seconds.expected_work(job([10, 10, 100]))
    assert work.total_s == pytest.approx(4.8) and work.longest_item_s == pytest.approx(4.0)
    assert item_seconds.expected_work(job([])) == ExpectedWork()


def test_what_an_item_still_needs_falls_with_its_events_but_not_to_nothing():
    item_seconds = ItemSeconds()
    assert item_seconds.rate("m") is None
    for number in range(MIN_ITEMS):
        item_seconds.ended("m", item(number, hint=40), 2.0, events=20)
    rate = item_seconds.rate("m")
    left = [rate.remaining_s(item(0, hint=80), events) for events in (0, 20, 40, 400)]
    assert left == pytest.approx([4.0, 2.0, *[4.0 * MIN_REMAINING_FRACTION] * 2])


def test_the_start_of_short_items_does_not_pass_for_the_pace_of_long_ones():
    """Load: a step whose short items end first; its long ones must not be taken for late."""
    item_seconds, generator = ItemSeconds(), random.Random(7)
    for number in range(20):
        events = generator.randint(4, 20)
        hint = round(2 * events * generator.uniform(0.5, 1.5))
        item_seconds.ended("m", item(number, hint), 0.5 + 0.05 * events, events)
    long_s = item_seconds.rate("m").remaining_s(item(0, hint=2 * 140), 0)
    assert long_s == pytest.approx(0.5 + 0.05 * 140, rel=0.2)


def test_events_that_are_unknown_do_not_count_as_progress():
    item_seconds = ItemSeconds()
    for number in range(MIN_ITEMS):
        item_seconds.ended("m", item(number, hint=40), 2.0)
    assert item_seconds.rate("m").remaining_s(item(0, hint=40), 20) == pytest.approx(2.0)
