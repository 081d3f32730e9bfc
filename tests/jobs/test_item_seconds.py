import random

import pytest

from crankseam.jobs.item_seconds import FEWEST_ITEMS, ItemSeconds
from crankseam.jobs.model import ItemDefinition, JobDefinition


def item(number, hint=0):
    return ItemDefinition(f"i{number}", "/p", {}, b"", length_hint=hint)


def job(hints, model="m"):
    items = [item(number, hint) for number, hint in enumerate(hints)]
    return JobDefinition("j", "h", "/p", items, model=model)


def test_nothing_is_told_before_some_items_ended():
    known = ItemSeconds()
    for number in range(FEWEST_ITEMS - 1):
        known.ended("m", item(number), 2.0)
    assert known.mean_s(job([0, 0])) == 0.0
    known.ended("m", item(9), 2.0)
    assert known.mean_s(job([0, 0])) == pytest.approx(2.0)
    assert known.mean_s(job([0], model="other")) == 0.0 and known.mean_s(job([])) == 0.0


def test_short_items_that_end_first_do_not_pass_for_all():
    known = ItemSeconds()
    for number in range(20):
        known.ended("m", item(number, hint=10), 0.4)
    assert known.mean_s(job([10, 10, 100])) == pytest.approx(1.6)


def test_what_is_learned_follows_what_ends():
    known = ItemSeconds()
    for number in range(300):
        known.ended("m", item(number), 1.0)
    for number in range(1500):
        known.ended("m", item(number), 3.0)
    assert known.mean_s(job([0])) == pytest.approx(3.0, rel=0.05)


def test_hints_that_are_off_for_each_item_average_out():
    known, generator = ItemSeconds(), random.Random(7)
    for number in range(256):
        tokens = generator.choice([20, 40, 200])
        known.ended("m", item(number, round(tokens * generator.uniform(0.5, 1.5))), tokens * 0.02)
    expected = 0.02 * (20 + 40 + 200) / 3
    assert known.mean_s(job([20, 40, 200])) == pytest.approx(expected, rel=0.1)
