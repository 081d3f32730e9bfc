"""The learnt limit: full back ends, slow ones, lost ones, and recovery."""

from hypothesis import given
from hypothesis import strategies as st

from crankseam.overload.concurrency import REJECTION_FACTOR, ConcurrencyLimit


def limit_of(slots):
    limit = ConcurrencyLimit()
    limit.set_slots(slots)
    return limit


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("slots"), st.integers(0, 100)),
        st.tuples(st.just("success"), st.integers(0, 200)),
        st.tuples(st.just("rejection"), st.floats(0.0, 5.0)),
        st.tuples(st.just("latency"), st.floats(0.0, 5.0)),
    )
)


@given(STEPS)
def test_it_is_at_least_one_and_never_above_the_slots(steps):
    limit = limit_of(10)
    for now, (kind, value) in enumerate(steps):
        if kind == "slots":
            limit.set_slots(value)
        elif kind == "success":
            if limit.may_rise(value):
                limit.record_success(value)
        elif kind == "rejection":
            limit.record_rejection(float(now), value)
        else:
            limit.record_high_latency(float(now), value)
        assert 1 <= limit.requests <= max(1, limit.slots)


def test_it_starts_at_the_slots_and_falls_and_rises_with_them_in_proportion():
    limit = limit_of(100)
    assert limit.requests == 100
    limit.record_rejection(0.0, 1.0)
    limit.set_slots(50)
    assert limit.requests == 35
    limit.set_slots(100)
    assert limit.requests == 70
    limit.set_slots(0)
    assert limit.requests == 1
    limit.set_slots(40)
    assert limit.requests == 40, "as for a new service"


def test_rejections_of_one_moment_count_once_whatever_their_number():
    limit = limit_of(100)
    for _ in range(20):
        limit.record_rejection(5.0, 0.5)
    assert limit.requests == int(100 * REJECTION_FACTOR)
    limit.record_high_latency(5.4, 0.5)
    assert limit.requests == 70
    limit.record_high_latency(5.5, 0.5)
    assert limit.requests == 63


def succeed(limit, running, free_slots):
    if limit.may_rise(running):
        limit.record_success(free_slots)


def lowered_limit(slots):
    limit = limit_of(slots)
    for now in range(5):
        limit.record_rejection(float(now), 0.5)
    return limit


def test_it_rises_by_one_a_round_and_only_while_it_is_in_use():
    limit = lowered_limit(100)
    low = limit.requests
    for _ in range(100):
        succeed(limit, running=low - 1, free_slots=0)
    assert limit.requests == low
    for _ in range(2 * (low + 2)):
        succeed(limit, running=100, free_slots=24)
    assert low + 1 <= limit.requests <= low + 3


def test_it_doubles_in_a_round_while_many_slots_are_free():
    limit = lowered_limit(100)
    low = limit.requests
    for _ in range(low):
        succeed(limit, running=100, free_slots=25)
    assert limit.requests == 2 * low
