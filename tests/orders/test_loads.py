import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.orders.loads import (
    CARRIERS_PER_LOAD,
    LATE_SHARE,
    LOAD_DELAY_S,
    SHORTEST_STEP_S,
    Load,
    NamedVersion,
    free_loads,
    loads_at_once,
    loads_to_start,
)
from crankseam.serving.back_ends import BackEnd, BackEndRecord


def sampler(number, models=("a",)):
    versions = dict.fromkeys(models, 1)
    return BackEnd(BackEndRecord(f"s{number}", "llm", "1.1.1.1:1", "z", 8, versions=versions))


def loads(models, count=10):
    return [Load("llm", model, sampler(number)) for number in range(count) for model in models]


@pytest.mark.parametrize(
    ("samplers", "most"), [(1, 2), (5, 2), (9, 4), (10, 4), (23, 9), (24, 10), (600, 240)]
)
def test_loads_at_once_of_a_service(samplers, most):
    assert loads_at_once(samplers) == most


def test_the_first_named_version_loads_at_once_and_the_next_after_the_burst():
    first = NamedVersion.first(1, 100.0)
    second = first.followed_by(2, 110.0)
    assert second == NamedVersion(2, 110.0, 110.0 + LOAD_DELAY_S, 10.0)
    early = second.followed_by(3, 110.0 + SHORTEST_STEP_S - 0.1)
    assert early.loads_from == early.named_at, "the trainer is behind and waits for the load"
    assert early.interval_s == pytest.approx((10.0 + SHORTEST_STEP_S - 0.1) / 2.0)


def test_a_step_is_late_after_a_share_of_the_usual_time():
    assert not NamedVersion.first(1, 0.0).is_late(1e9), "nobody knows how long a step takes"
    named = NamedVersion(2, 0.0, 0.0, 10.0)
    assert not named.is_late(LATE_SHARE * 10.0 - 0.01)
    assert named.is_late(LATE_SHARE * 10.0)
    fast = NamedVersion(2, 0.0, 0.0, 0.1)
    assert not fast.is_late(LATE_SHARE * SHORTEST_STEP_S - 0.01)


def test_free_loads_are_an_equal_share_of_the_service():
    assert free_loads([sampler(number, ("a", "b")) for number in range(7)]) == 4
    assert free_loads([sampler(number, ()) for number in range(3)]) == 3


@given(st.integers(0, 30), st.integers(0, 30), st.integers(0, 4))
def test_few_load_at_a_time(samplers, carriers, under_way):
    begun = [Load("llm", "a", sampler(100 + number)) for number in range(under_way)]
    started = loads_to_start(loads(["a", "b"]), begun, {"llm": samplers}, dict(a=carriers, b=3))
    all_loads = begun + started
    assert len(all_loads) <= max(under_way, loads_at_once(samplers))
    of_a = sum(load.model == "a" for load in all_loads)
    assert of_a <= max(under_way, 1, carriers // CARRIERS_PER_LOAD)


def test_a_sampler_loads_one_model_at_a_time_and_the_first_of_the_list_goes_first():
    waiting = loads(["a", "b"], 3)
    under_way = [waiting[0]]
    started = loads_to_start(waiting, under_way, {"llm": 8}, {"a": 9, "b": 9})
    assert [(load.model, load.back_end.record.id) for load in started] == [("a", "s1"), ("a", "s2")]
