"""Load: samplers of which some take more than twice as long for the same items."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankseam.orders.assignment import DEFAULT_SLOTS
from crankseam.orders.capacity import PACE_TOLERANCE, capacities_of, relative_paces, total_slots
from tests.orders.factories import make_samplers

paces = st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.01, 1.0), min_size=1)


def test_a_sampler_that_takes_twice_as_long_has_half_the_capacity():
    samplers = make_samplers(4, slots=6)
    relative = relative_paces({"s00": 0.05, "s01": 0.05, "s02": 0.1}, {})
    assert capacities_of(samplers, relative) == {"s00": 6.0, "s01": 6.0, "s02": 3.0, "s03": 6.0}


@given(paces, st.floats(0.1, 10.0))
def test_only_the_ratio_of_paces_counts(paces_s, factor):
    scaled = {key: pace * factor for key, pace in paces_s.items()}
    assert relative_paces(scaled, {}) == pytest.approx(relative_paces(paces_s, {}))


@given(paces, st.lists(st.floats(-0.9, 0.9), min_size=8, max_size=8))
def test_changes_within_the_tolerance_change_no_capacity(paces_s, noise):
    """Each pace and the median deviate by less than half of the tolerance."""
    known = relative_paces(paces_s, {})
    step = PACE_TOLERANCE / 2.0 / (1.0 + PACE_TOLERANCE)
    noisy = {
        key: pace * (1.0 + step * noise[index]) for index, (key, pace) in enumerate(paces_s.items())
    }
    assert relative_paces(noisy, known) == known


def test_a_sampler_that_turns_slow_loses_capacity_at_once_and_gets_it_back():
    known = relative_paces(dict.fromkeys("abc", 0.1), {})
    slow = relative_paces({"a": 0.1, "b": 0.1, "c": 0.3}, known)
    assert slow["c"] == pytest.approx(3.0) and slow["a"] == known["a"]
    assert relative_paces(dict.fromkeys("abc", 0.1), slow) == known


def test_a_sampler_without_observations_keeps_its_known_pace():
    known = relative_paces({"a": 0.1, "b": 0.1, "c": 0.3}, {})
    assert relative_paces({"a": 0.1, "b": 0.1}, known) == known
    assert relative_paces({}, known) == known


def test_a_sampler_that_states_no_possible_number_of_slots_has_the_default():
    samplers = make_samplers(1, slots=-3) + make_samplers(1, slots=0)
    assert total_slots(samplers) == 2 * DEFAULT_SLOTS
    assert capacities_of(samplers, {}) == {"s00": float(DEFAULT_SLOTS)}
