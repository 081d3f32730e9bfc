import math

import msgspec
import pytest

from crankseam.jobs import demand as module
from crankseam.jobs.demand import (
    PEAK_RETENTION_S,
    UNKNOWN_PRIORITY,
    ModelDemand,
    OpenJob,
    decode_open_job,
)
from crankseam.jobs.due_work import (
    MAX_LATE_S,
    MIN_OPEN_WORK_FRACTION,
    NEED_RETENTION_S,
    UNKNOWN_DUE_S,
    due_work,
)
from crankseam.orders.demand import ModelWork
from tests.support.clock import FakeClock


def test_the_most_items_open_at_one_moment_count_for_a_while(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(module, "time", clock)
    demand = ModelDemand()
    assert demand.peak_open_items("m") is None
    demand.opened("j1", OpenJob("m", 60))
    demand.opened("j2", OpenJob("m", 40))
    demand.opened("j3", OpenJob("other", 7))
    demand.ended("j1")
    demand.ended("never seen")
    assert demand.peak_open_items("m") == 100 and demand.peak_open_items("other") == 7
    clock.now += PEAK_RETENTION_S + 1.0
    demand.opened("j4", OpenJob("m", 5))
    assert demand.peak_open_items("m") == 45


def test_a_value_that_can_not_be_read_tells_nothing():
    assert decode_open_job(b"") == decode_open_job(b"\xc1") == OpenJob()


def test_the_newest_jobs_oldest_version_counts_whatever_job_ends_first():
    demand = ModelDemand()
    assert demand.min_usable_version("m") is None
    demand.opened("j2", OpenJob("m", 5, min_version=4))
    demand.opened("j1", OpenJob("m", 5, min_version=3))
    demand.ended("j2")
    assert demand.min_usable_version("m") == 4 and demand.min_usable_version("other") is None


def test_the_work_of_a_model_uses_the_newest_known_item_seconds():
    demand = ModelDemand()
    demand.opened("j1", OpenJob("m", 10))
    assert demand.required_slot_seconds("m") is None
    demand.opened("j2", OpenJob("m", 10, item_s=1.5))
    demand.ended("j1")
    demand.opened("j3", OpenJob("m", 10))
    assert demand.required_slot_seconds("m") == 30.0, "the peak was twenty open items"


class OpenJobOfEarlierBuild(msgspec.Struct, frozen=True):
    """The stored value as the build before defined it."""

    model: str = ""
    items: int = 0
    min_version: int = 0
    item_s: float = 0.0
    tenant: str = ""


def test_a_value_of_the_build_before_is_decoded():
    """Guards against values lost in a rolling update, where processes of both builds run."""
    stored = msgspec.msgpack.encode(OpenJobOfEarlierBuild("m", 10, 3, 1.5, "t"))
    job = decode_open_job(stored)
    assert job == OpenJob("m", 10, 3, 1.5, "t")
    assert job.expected_work_s() == 15.0 and job.tightness() == 0.0


def test_the_build_before_decodes_the_new_value():
    """Guards against values lost in a rolling update, where processes of both builds run."""
    stored = msgspec.msgpack.encode(OpenJob("m", 10, 3, 1.5, "t", 0, 18.0, 4.0, 7.5))
    expected = OpenJobOfEarlierBuild("m", 10, 3, 1.5, "t")
    assert msgspec.msgpack.decode(stored, type=OpenJobOfEarlierBuild) == expected


def test_due_work_is_told_by_priority_with_the_time_left(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(module, "time", clock)
    demand = ModelDemand()
    assert demand.due_work("m") == ModelWork()
    demand.opened("j1", OpenJob("m", 10, priority=0, work_s=80.0, longest_item_s=4.0, due_s=8.0))
    clock.now = 2.0
    demand.opened("j1", OpenJob("m", 10, priority=0, work_s=80.0, longest_item_s=4.0, due_s=8.0))
    demand.opened("j2", OpenJob("m", 10, priority=1, work_s=40.0, due_s=8.0))
    work = demand.due_work("m")
    assert [due.priority for due in work.due] == [0, 1] and work.tightness == 0.5
    assert work.needed_slots == pytest.approx(15.0)
    clock.now = 7.0
    late = demand.due_work("m").due[0]
    assert late.left_s == 1.0, "known since 0"
    assert late.needed_slots == pytest.approx(MIN_OPEN_WORK_FRACTION * 80.0)


def test_due_work_is_kept_between_steps_and_an_idle_model_has_none(monkeypatch):
    clock = FakeClock()
    monkeypatch.setattr(module, "time", clock)
    demand = ModelDemand()
    demand.opened("j1", OpenJob("m", 10, work_s=80.0, due_s=8.0))
    clock.now = 3.0
    demand.ended("j1")
    clock.now += NEED_RETENTION_S
    assert demand.due_work("m").needed_slots == pytest.approx(10.0)
    clock.now += 0.1
    assert demand.due_work("m").due == ()


def test_due_work_of_jobs_without_estimate_is_that_of_earlier_items_or_unknown():
    """The owner of a model's jobs is new, or of the build before, and states no work."""
    demand = ModelDemand()
    demand.opened("j1", OpenJob("m", 10, due_s=10.0))
    assert demand.due_work("m") is None and demand.due_work("other") == ModelWork()
    demand.opened("j2", OpenJob("m", 10, item_s=1.5))
    demand.ended("j1")
    demand.opened("j3", OpenJob("m", 20, due_s=10.0))
    needed = 10 * 1.5 / UNKNOWN_DUE_S + 20 * 1.5 / 10.0
    assert demand.due_work("m").needed_slots == pytest.approx(needed, rel=0.01)


def test_a_job_of_the_build_before_has_the_urgency_of_the_models_other_jobs():
    """In a rolling update, a job of an earlier build would pass for the least urgent one."""
    demand = ModelDemand()
    demand.opened("j1", OpenJob("m", 10, item_s=1.0))
    assert [due.priority for due in demand.due_work("m").due] == [UNKNOWN_PRIORITY]
    demand.opened("j2", OpenJob("m", 10, item_s=1.0, priority=0, work_s=10.0, due_s=5.0))
    urgent = demand.due_work("m").due[0]
    assert urgent.priority == 0 and urgent.needed_slots == pytest.approx(4.0, rel=0.01)


ABSURD = [math.nan, math.inf, -math.inf, -1.0, 1e308]


@pytest.mark.parametrize("value", ABSURD)
@pytest.mark.parametrize("name", ["item_s", "work_s", "longest_item_s", "due_s"])
def test_a_stored_value_that_no_job_can_have_counts_as_unknown(name, value):
    """Guards against a division by zero, or a share that is not a number, for all processes."""
    stated = {"item_s": 1.0, "work_s": 80.0, "longest_item_s": 4.0, "due_s": 8.0}
    jobs = [OpenJob("m", 10, priority=0, **stated | {name: field}) for field in (value, 0.0)]
    read = [decode_open_job(msgspec.msgpack.encode(job)) for job in jobs]
    assert read[0] == read[1]
    demand = ModelDemand()
    demand.opened("j1", read[0])
    demand.opened("j2", read[0])
    assert math.isfinite(demand.due_work("m").needed_slots)


def test_a_negative_number_of_items_counts_as_none():
    demand = ModelDemand()
    demand.opened("j1", decode_open_job(msgspec.msgpack.encode(OpenJob("m", -5, item_s=1.0))))
    assert demand.due_work("m") == ModelWork() and demand.peak_open_items("m") is None


def test_a_job_of_unknown_work_that_nobody_ends_does_not_make_the_model_unknown(monkeypatch):
    """Else the shares of its service would not change again until its key is gone."""
    clock = FakeClock()
    monkeypatch.setattr(module, "time", clock)
    demand = ModelDemand()
    demand.opened("j1", OpenJob("m", 10, priority=0, due_s=8.0))
    clock.now = 8.0 + MAX_LATE_S
    assert demand.due_work("m") is None
    clock.now += 0.1
    assert demand.due_work("m") == ModelWork()


def test_ten_thousand_jobs_cost_no_more_than_a_few_looks_at_each(monkeypatch):
    """A process that joins sees all open jobs at once, on the loop that answers requests."""
    looks = 0

    def counted(*args):
        nonlocal looks
        looks += 1
        return due_work(*args)

    monkeypatch.setattr(module, "due_work", counted)
    monkeypatch.setattr(module, "time", FakeClock())
    demand = ModelDemand()
    for number in range(10_000):
        demand.opened(f"j{number}", OpenJob("m", 1, item_s=1.0, work_s=1.0, due_s=8.0))
    assert demand.peak_open_items("m") == 10_000
    assert demand.due_work("m").needed_slots == pytest.approx(1250.0)
    for number in range(10_000):
        demand.ended(f"j{number}")
    assert looks <= 4 * 10_000
