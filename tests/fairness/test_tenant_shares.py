"""Answers the load of a tenant whose jobs run at several processes."""

from hypothesis import given
from hypothesis import strategies as st

from crankseam.fairness.tenant_shares import (
    MAX_HANDICAP_S,
    MIN_SHARE,
    handicap_s,
    weight_in_model,
)

ITEMS = st.integers(0, 10**9)


@given(ITEMS, ITEMS, ITEMS)
def test_more_open_work_elsewhere_never_raises_the_weight(items, less, more):
    less, more = sorted((less, more))
    assert MIN_SHARE <= weight_in_model(items, more) <= weight_in_model(items, less) <= 1.0
    assert 0.0 <= handicap_s(less) <= handicap_s(more) <= MAX_HANDICAP_S


@given(st.lists(st.integers(1, 100), min_size=1, max_size=10))
def test_the_weights_of_a_tenant_in_all_its_models_add_up_to_one_share(items):
    total = sum(items)
    weights = [weight_in_model(own, total - own) for own in items]
    floors = MIN_SHARE * sum(weight == MIN_SHARE for weight in weights)
    assert 1.0 - 1e-9 <= sum(weights) <= 1.0 + floors + 1e-9


def test_unknown_open_work_weighs_the_same():
    assert weight_in_model(0, 0) == weight_in_model(60, 0) == 1.0 and handicap_s(0) == 0.0
