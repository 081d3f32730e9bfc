import pytest

from crankseam.serving import paces as module
from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.paces import OBSERVATION_MAX_AGE_S, SamplerPaces
from tests.support.clock import FakeClock


def make_samplers(count):
    return [BackEnd(BackEndRecord(f"s{n}", "llm", "1.1.1.1:1", "z", 8)) for n in range(count)]


@pytest.fixture
def clock(monkeypatch):
    """Replaces the monotonic clock of the module `paces`; tests advance it."""

    made = FakeClock(100.0)
    monkeypatch.setattr(module, "time", made)
    return made


def observe_stream(paces, clock, sampler, interval_s, for_s):
    """Record the events of one stream for `for_s` seconds."""
    end = clock.now + for_s
    while clock.now < end:
        clock.now += interval_s
        paces.record_interval(sampler, interval_s)


def test_a_short_burst_of_slow_events_does_not_change_a_samplers_class(clock):
    paces = SamplerPaces()
    fast, other = make_samplers(2)
    for one in (fast, other):
        observe_stream(paces, clock, one, 0.05, 3.0)
    observe_stream(paces, clock, fast, 0.08, 0.16)
    assert paces.classes([fast, other]) == {"s0": 0, "s1": 0}


def test_many_events_at_one_moment_count_as_one(clock):
    paces = SamplerPaces()
    (sampler,) = make_samplers(1)
    observe_stream(paces, clock, sampler, 0.05, 3.0)
    for _ in range(100):
        paces.record_interval(sampler, 0.5)
    assert paces.steady_s(sampler) == pytest.approx(0.05)


def test_a_sampler_that_turns_slow_shows_within_a_second(clock):
    paces = SamplerPaces()
    samplers = make_samplers(4)
    for one in samplers:
        observe_stream(paces, clock, one, 0.05, 2.0)
    observe_stream(paces, clock, samplers[0], 0.2, 0.8)
    assert paces.slow_ids(samplers) == {samplers[0].record.id}


def test_unknown_samplers_stand_in_the_middle():
    paces = SamplerPaces()
    fast, slow, slower, unknown = make_samplers(4)
    paces.record_interval(fast, 0.050)
    paces.record_interval(slow, 0.066)
    paces.record_interval(slower, 0.081)
    assert paces.classes([fast, slow, slower, unknown]) == {"s0": 0, "s1": 2, "s2": 4, "s3": 2}
    assert SamplerPaces().classes([fast, slow]) == {"s0": 0, "s1": 0}


def test_own_observations_go_before_what_others_told_and_are_forgotten(clock):
    paces = SamplerPaces()
    (sampler,) = make_samplers(1)
    paces.update_from_process("p", {"s0": 0.07})
    assert paces.steady_s(sampler) == 0.07 and paces.recent_s(sampler) is None
    paces.record_interval(sampler, 0.05)
    assert paces.steady_s(sampler) == 0.05
    assert paces.own_table() == {"s0": 0.05}
    clock.now += OBSERVATION_MAX_AGE_S + 1.0
    assert paces.steady_s(sampler) == 0.07
    assert paces.own_table() == {}
    paces.update_from_process("p", {})
    assert paces.steady_s(sampler) is None
