"""Places at contended services whose back ends differ in speed, from moment to moment or for good.

Guards against samplers and app servers that are slow and get as much work as the others, since only
the number of requests counted.
"""

import math

from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs import places
from crankseam.jobs.places import COMPLETION_DECIMALS, AssignmentRound, PlaceNeed, PlaceRequest
from crankseam.serving.back_ends import BackEndRecord, BackEndRegistry, slots_of
from crankseam.serving.contention import NoContention
from crankseam.serving.expected_completion import CompletionEstimates, expected_completion
from crankseam.serving.paces import SamplerPaces
from crankseam.serving.service_times import RATIOS_MAX_AGE_S, ServiceTimes
from tests.support.clock import FakeClock


class AlwaysContended(NoContention):
    def is_contended(self, _service):
        return True


class FixedFactors(CompletionEstimates):
    """Estimates with given time factors."""

    def __init__(self, factors):
        super().__init__(AlwaysContended(), ServiceTimes())
        self.factors = factors

    def time_factors(self, service, back_ends, now):
        return self.factors


def registry(slots):
    back_ends = BackEndRegistry()
    for number, count in enumerate(slots):
        back_ends.update(BackEndRecord(f"b{number}", "s", "1.1.1.1:1", "z", count))
    return back_ends


def assigned(round_, need=None):
    request = PlaceRequest((0.0,), 0, need or PlaceNeed((0.0,)), "s", 0, None)
    back_end = round_.assign(request)
    if back_end is not None:
        back_end.occupy_slot()
    return back_end


def test_a_slow_app_server_gets_scoring_requests_only_where_the_others_are_full(monkeypatch):
    clock = FakeClock(100.0)
    monkeypatch.setattr(places, "time", clock)
    back_ends, times = registry([4, 4, 4]), ServiceTimes(clock.monotonic)
    fast, other, slow = back_ends.of_service("s")
    for back_end, duration_s in ((fast, 0.04), (other, 0.04), (slow, 0.2)):
        for _ in range(4):
            times.record_answer(back_end, "score", duration_s)
    clock.now += 2 * RATIOS_MAX_AGE_S
    estimates = CompletionEstimates(AlwaysContended(), times)
    round_ = AssignmentRound(back_ends, SamplerPaces(), "z", estimates=estimates)
    need = PlaceNeed((0.0,), slots_share=0.75)
    assert slow not in [assigned(round_, need) for _ in range(6)]
    assert [assigned(round_, need) for _ in range(3)] == [slow] * 3
    assert assigned(round_, need) is None


def test_a_sampler_that_is_slow_at_the_moment_is_passed_over():
    back_ends = registry([8, 8])
    slow_now, usual = back_ends.of_service("s")
    estimates = CompletionEstimates(AlwaysContended(), ServiceTimes())
    for back_end, slowdown in ((slow_now, 2.5), (usual, 1.0)):
        back_end.slowdown = back_end.average_slowdown = slowdown
        back_end.reported_at = math.inf
    round_ = AssignmentRound(back_ends, SamplerPaces(), "z", estimates=estimates)
    assert [assigned(round_) for _ in range(3)] == [usual] * 3


def test_where_all_are_equally_slow_the_load_decides_as_it_did():
    back_ends = registry([8, 8])
    one, other = back_ends.of_service("s")
    one.in_flight, other.in_flight = 2, 5
    factors = FixedFactors({"b0": 2.4, "b1": 2.4})
    round_ = AssignmentRound(back_ends, SamplerPaces(), "z", estimates=factors)
    assert assigned(round_) is one


def cost(back_end, factors):
    """Cost of one more request before it is assigned; there is no report of others."""
    load, slots = float(back_end.in_flight), slots_of(back_end)
    completion = expected_completion(load, slots, factors[back_end.record.id])
    return round(completion, COMPLETION_DECIMALS)


@given(
    st.lists(st.tuples(st.integers(1, 16), st.floats(0.1, 60.0)), min_size=1, max_size=8),
    st.integers(1, 60),
)
def test_the_queue_yields_the_cheapest_place_at_each_step(back_ends_and_factors, items):
    """The queue relies on costs that only grow during a round."""
    back_ends = registry([slots for slots, _ in back_ends_and_factors])
    factors = {f"b{number}": one for number, (_, one) in enumerate(back_ends_and_factors)}
    round_ = AssignmentRound(back_ends, SamplerPaces(), "z", estimates=FixedFactors(factors))
    known = back_ends.of_service("s")
    for _ in range(items):
        free = {one.record.id: cost(one, factors) for one in known if one.in_flight < slots_of(one)}
        chosen = assigned(round_)
        if not free:
            assert chosen is None
        else:
            assert free[chosen.record.id] == min(free.values())
