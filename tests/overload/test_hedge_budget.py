"""Hedging stops where all servers are slow, and goes on where one is."""

from hypothesis import given
from hypothesis import strategies as st

from crankseam.overload.hedge_budget import (
    HEDGES_PER_REQUEST,
    RESERVE,
    HedgeBudget,
    HedgeRefusal,
)


@given(st.lists(st.booleans(), max_size=300))
def test_hedges_are_at_most_the_fraction_of_the_requests_and_the_reserve(wants_hedge):
    budget, hedges = HedgeBudget(), 0
    for requests, wanted in enumerate(wants_hedge, 1):
        budget.record_request()
        if wanted:
            hedges += budget.try_take(waiting=0, running=1, limit=10) is None
        assert hedges <= RESERVE + requests * HEDGES_PER_REQUEST + 1e-6


def test_a_quiet_time_saves_up_no_more_than_the_reserve():
    budget = HedgeBudget()
    for _ in range(1000):
        budget.record_request()
    taken = [budget.try_take(0, 1, 10) for _ in range(10)]
    assert taken.count(None) == int(RESERVE) and taken[-1] is HedgeRefusal.BUDGET


def test_none_is_sent_while_others_wait_or_the_limit_is_in_use_and_no_token_is_lost():
    budget = HedgeBudget()
    assert budget.try_take(waiting=1, running=1, limit=10) is HedgeRefusal.WAITING
    assert budget.try_take(waiting=0, running=10, limit=10) is HedgeRefusal.LIMIT
    assert budget.tokens == RESERVE
