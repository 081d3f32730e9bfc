"""The order of samplers by cost, without clocks, tasks or random numbers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.jobs.places import Cost, may_serve
from crankseam.serving.back_ends import BackEnd, BackEndRecord

BEST = Cost(False, False, 0, 0, 0.0, False, 0.0)
WORST = Cost(True, True, 9, 9, 99.0, True, 0.99)
costs = st.builds(
    Cost,
    st.booleans(),
    st.booleans(),
    st.integers(0, 2),
    st.integers(0, 2),
    st.sampled_from([0.0, 1.0, 2.0]),
    st.booleans(),
    st.sampled_from([0.1, 0.2]),
)


@pytest.mark.parametrize("place", range(len(Cost._fields)))
def test_a_field_outweighs_all_that_come_after_it(place):
    worse_here = Cost(*BEST[:place], WORST[place], *BEST[place + 1 :])
    worse_after = Cost(*BEST[: place + 1], *WORST[place + 1 :])
    assert worse_after < worse_here


def test_the_order_of_cost_fields():
    assert Cost._fields == (
        "is_slow",
        "lacks_memory",
        "pace_class",
        "versions_behind",
        "load",
        "in_other_zone",
        "tie_break",
    )


@given(costs, costs)
def test_it_is_ordered_as_the_bare_tuple_of_its_fields(one, other):
    assert (one < other) == (tuple(one) < tuple(other))


@pytest.mark.parametrize(
    ("model", "min_version", "only_version", "may"),
    [
        ("m", 3, 0, True),
        ("m", 4, 0, False),
        ("m", 0, 2, False),
        ("m", 0, 3, True),
        ("", 9, 9, True),
    ],
)
def test_a_sampler_may_serve_by_its_weight_version(model, min_version, only_version, may):
    sampler = BackEnd(BackEndRecord("s", "svc", "1.1.1.1:1", "z", 8, versions={"m": 3}))
    assert may_serve(sampler, model, min_version, only_version) == may
