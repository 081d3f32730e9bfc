"""Load: models of different urgency need more capacity together than the service has."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.orders.demand import ModelWork
from crankseam.orders.shares import REBALANCE_THRESHOLD, shares_by_work
from crankseam.orders.urgent_shares import (
    QUOTA_FRACTION,
    ServiceShares,
    ShareReason,
    urgent_shares,
)
from tests.orders.factories import model_work

needs = st.floats(0.0, 300.0)
works_by_model = st.dictionaries(
    st.sampled_from("abcdef"), st.builds(model_work, needs, st.integers(0, 2)), min_size=1
)
capacities = st.floats(10.0, 500.0)
IDLE = ModelWork()


def quotas_of(works):
    """Slots that each model keeps, as a fraction of the capacity."""
    needs = {model: work.needed_slots for model, work in works.items()}
    if not any(needs.values()):
        return dict.fromkeys(works, QUOTA_FRACTION / len(works))
    return {model: QUOTA_FRACTION * share for model, share in shares_by_work(needs).items()}


@given(works_by_model, capacities)
def test_shares_add_up_and_every_model_keeps_its_quota(works, capacity):
    shares = urgent_shares(works, capacity).shares
    assert sum(shares.values()) == pytest.approx(1.0)
    for model, quota in quotas_of(works).items():
        assert shares[model] >= quota - 1e-9


@given(works_by_model, capacities)
def test_no_model_lacks_slots_while_a_less_urgent_one_has_more_than_its_quota(works, capacity):
    decided = urgent_shares(works, capacity)
    quotas = quotas_of(works)
    slots = {model: share * capacity for model, share in decided.shares.items()}
    lacking = [model for model in works if slots[model] < works[model].needed_slots - 1e-6]
    assert decided.reason is ShareReason.SCARCE or not lacking
    for model in lacking:
        for other in works:
            if works[other].due[0].priority > works[model].due[0].priority:
                assert slots[other] <= quotas[other] * capacity + 1e-6


@given(works_by_model, capacities)
def test_of_one_priority_who_needs_more_never_gets_less(works, capacity):
    shares = urgent_shares(works, capacity).shares
    for model, work in works.items():
        for other, other_work in works.items():
            if work.due[0].priority == other_work.due[0].priority:
                if work.needed_slots <= other_work.needed_slots:
                    assert shares[model] <= shares[other] + 1e-9


def test_while_all_fits_shares_follow_work_per_time_left():
    decided = urgent_shares({"a": model_work(30.0, 1), "b": model_work(60.0, 0)}, 180.0)
    assert decided.shares == pytest.approx({"a": 1 / 3, "b": 2 / 3})
    assert decided.reason is ShareReason.FITS


def test_what_does_not_fit_is_taken_from_the_less_urgent():
    works = {"a": model_work(60.0, 0), "b": model_work(60.0, 1)}
    decided = urgent_shares(works, 100.0)
    assert decided.shares == pytest.approx({"a": 0.6, "b": 0.4})
    assert decided.reason is ShareReason.SCARCE


def test_urgent_work_of_a_model_does_not_take_its_other_work_along():
    both = ModelWork(model_work(10.0, 0).due + model_work(90.0, 1).due)
    works = {"a": both, "b": model_work(60.0, 0)}
    shares = urgent_shares(works, 100.0).shares
    assert shares["a"] == pytest.approx(quotas_of(works)["a"]), "the quota covers its urgent work"


def test_shares_are_equal_until_all_work_is_known_and_then_stay():
    shares = ServiceShares()
    works = {"a": model_work(60.0), "b": None}
    assert shares.update(works, 100.0).shares == {}
    known = shares.update({**works, "b": model_work(20.0)}, 100.0)
    assert known.shares == pytest.approx({"a": 0.75, "b": 0.25})
    assert shares.update(works, 100.0) is known
    assert shares.update({**works, "c": IDLE}, 100.0).shares == {}


def test_a_change_below_the_threshold_changes_nothing():
    shares = ServiceShares()
    first = shares.update({"a": model_work(50.0), "b": model_work(50.0)}, 100.0)
    delta = 99.0 * REBALANCE_THRESHOLD
    assert shares.update({"a": model_work(50.0 + delta), "b": model_work(50.0)}, 100.0) is first
    late = shares.update({"a": model_work(70.0), "b": model_work(50.0)}, 100.0)
    assert late.shares["a"] > first.shares["a"]


def test_an_idle_model_lends_to_a_late_one_and_gets_its_share_back():
    shares = ServiceShares()
    usual = {"a": model_work(50.0), "b": model_work(40.0)}
    first = shares.update(usual, 100.0).shares
    assert shares.update({**usual, "b": IDLE}, 100.0).shares == first, "nobody lacks slots"
    lent = shares.update({"a": model_work(90.0), "b": IDLE}, 100.0).shares
    assert lent == pytest.approx({"a": 0.8125, "b": 0.1875})
    assert shares.update({"a": model_work(50.0), "b": IDLE}, 100.0).shares == lent
    assert shares.update(usual, 100.0).shares == pytest.approx(first)


def test_an_idle_service_changes_no_shares():
    shares = ServiceShares()
    first = shares.update({"a": model_work(50.0), "b": model_work(10.0)}, 100.0)
    assert shares.update({"a": IDLE, "b": IDLE}, 100.0) is first


def test_capacity_that_is_lost_is_taken_from_the_less_urgent_at_once():
    shares = ServiceShares()
    works = {"a": model_work(60.0, 0), "b": model_work(60.0, 1)}
    assert shares.update(works, 120.0).shares["a"] == pytest.approx(0.5)
    assert shares.update(works, 80.0).shares["a"] == pytest.approx(0.625)
