import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.orders.shares import (
    MIN_EQUAL_SHARE_FRACTION,
    REBALANCE_THRESHOLD,
    ModelShares,
    shares_by_work,
)

work_by_model = st.dictionaries(
    st.text("abcdef", min_size=1, max_size=3), st.floats(0.001, 1e6), min_size=1, max_size=6
)


@given(work_by_model)
def test_shares_add_up_and_nobody_is_left_without(work_s):
    shares = shares_by_work(work_s)
    assert sum(shares.values()) == pytest.approx(1.0)
    min_share = MIN_EQUAL_SHARE_FRACTION / len(work_s)
    assert all(share >= min_share - 1e-9 for share in shares.values())


@given(work_by_model)
def test_more_work_never_gets_less(work_s):
    shares = shares_by_work(work_s)
    by_work = sorted(work_s, key=lambda model: work_s[model])
    for less, more in zip(by_work, by_work[1:], strict=False):
        assert shares[less] <= shares[more] + 1e-9


def test_shares_are_equal_until_the_work_of_each_model_is_known():
    shares = ModelShares()
    assert shares.update({"a", "b"}, {"a": 30.0}) == {}
    assert shares.update({"a", "b"}, {"a": 30.0, "b": 70.0}) == pytest.approx({"a": 0.3, "b": 0.7})


def test_shares_stand_until_the_work_has_become_another():
    shares = ModelShares()
    first = shares.update({"a", "b"}, {"a": 50.0, "b": 50.0})
    assert shares.update({"a", "b"}, {"a": 54.0, "b": 46.0}) == first
    assert shares.update({"a", "b"}, {"b": 50.0}) == first, (
        "known shares stay in force while the work is unknown"
    )
    moved = shares.update({"a", "b"}, {"a": 50.0 + 101.0 * REBALANCE_THRESHOLD, "b": 43.0})
    assert moved["a"] > first["a"] + REBALANCE_THRESHOLD


def test_a_model_that_is_new_ends_the_old_shares():
    shares = ModelShares()
    shares.update({"a", "b"}, {"a": 30.0, "b": 70.0})
    assert shares.update({"a", "b", "c"}, {"a": 30.0, "b": 70.0}) == {}
