"""The wait that refused callers are told: usable, bounded, and not the same for all."""

import random

from hypothesis import given
from hypothesis import strategies as st

from crankseam.overload.retry_after import (
    MAX_RETRY_AFTER_S,
    MIN_LONGEST_S,
    SPREAD_FRACTION,
    USABLE_FRACTION,
    choose_retry_after_s,
)


@given(st.floats(0.0, 1e9) | st.just(float("inf")), st.floats(-10.0, 100.0), st.integers())
def test_it_is_between_floor_and_bound_and_no_longer_than_callers_wait(drain_s, left_s, seed):
    wait_s = choose_retry_after_s(drain_s, left_s, random.Random(seed))
    assert MIN_LONGEST_S * SPREAD_FRACTION <= wait_s <= MAX_RETRY_AFTER_S
    assert wait_s <= max(MIN_LONGEST_S, left_s * USABLE_FRACTION)


def test_a_herd_is_spread_wherever_the_bounds_are():
    for drain_s, left_s in ((0.0, 60.0), (2.0, 60.0), (100.0, 60.0), (100.0, 3.0)):
        generator = random.Random(5)
        waits = sorted(choose_retry_after_s(drain_s, left_s, generator) for _ in range(1000))
        assert waits[900] > 2.0 * waits[100]
        in_one_tenth = max(
            sum(low <= wait < low + 0.1 * waits[-1] for wait in waits) for low in waits[::50]
        )
        assert in_one_tenth < 250
