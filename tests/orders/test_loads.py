import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.orders.loads import (
    LATE_STEP_FRACTION,
    LOAD_DELAY_S,
    SAMPLERS_PER_LOAD,
    SHORTEST_STEP_S,
    AnnouncedVersion,
    Load,
    free_load_count,
    loads_to_start,
    max_concurrent_loads,
)
from crankseam.serving.back_ends import BackEnd, BackEndRecord


def sampler(number, models=("a",)):
    versions = dict.fromkeys(models, 1)
    return BackEnd(BackEndRecord(f"s{number}", "llm", "1.1.1.1:1", "z", 8, versions=versions))


def loads(models, count=10):
    return [Load("llm", model, sampler(number)) for number in range(count) for model in models]


@pytest.mark.parametrize(
    ("samplers", "max_loads"), [(1, 2), (5, 2), (9, 4), (10, 4), (23, 9), (24, 10), (600, 240)]
)
def test_loads_at_once_of_a_service(samplers, max_loads):
    assert max_concurrent_loads(samplers) == max_loads


def test_the_first_named_version_loads_at_once_and_the_next_after_the_burst():
    first = AnnouncedVersion.first(1, 100.0)
    second = first.followed_by(2, 110.0)
    assert second == AnnouncedVersion(2, 110.0, 110.0 + LOAD_DELAY_S, 10.0)
    early = second.followed_by(3, 110.0 + SHORTEST_STEP_S - 0.1)
    assert early.load_after == early.announced_at, "the trainer is behind and waits for the load"
    assert early.interval_s == pytest.approx((10.0 + SHORTEST_STEP_S - 0.1) / 2.0)


def test_a_step_is_late_after_a_share_of_the_usual_time():
    assert not AnnouncedVersion.first(1, 0.0).is_late_in_step(1e9), (
        "the step duration is still unknown"
    )
    announced = AnnouncedVersion(2, 0.0, 0.0, 10.0)
    assert not announced.is_late_in_step(LATE_STEP_FRACTION * 10.0 - 0.01)
    assert announced.is_late_in_step(LATE_STEP_FRACTION * 10.0)
    fast = AnnouncedVersion(2, 0.0, 0.0, 0.1)
    assert not fast.is_late_in_step(LATE_STEP_FRACTION * SHORTEST_STEP_S - 0.01)


def test_free_loads_are_an_equal_share_of_the_service():
    assert free_load_count([sampler(number, ("a", "b")) for number in range(7)]) == 4
    assert free_load_count([sampler(number, ()) for number in range(3)]) == 3


@given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 4))
def test_few_load_at_a_time(samplers, assigned, in_progress_count):
    in_progress = [Load("llm", "a", sampler(100 + number)) for number in range(in_progress_count)]
    started = loads_to_start(
        loads(["a", "b"]), in_progress, {"llm": samplers}, dict(a=assigned, b=3)
    )
    all_loads = in_progress + started
    assert len(all_loads) <= max(in_progress_count, max_concurrent_loads(samplers))
    loads_of_a = sum(load.model == "a" for load in all_loads)
    assert loads_of_a <= max(in_progress_count, 1, assigned // SAMPLERS_PER_LOAD)


def test_a_sampler_loads_one_model_at_a_time_and_the_first_of_the_list_goes_first():
    waiting = loads(["a", "b"], 3)
    in_progress = [waiting[0]]
    started = loads_to_start(waiting, in_progress, {"llm": 8}, {"a": 9, "b": 9})
    assert [(load.model, load.back_end.record.id) for load in started] == [("a", "s1"), ("a", "s2")]
