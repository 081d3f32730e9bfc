"""Estimates of the wait: measured drain, unknown drain, and back ends that stopped answering."""

import pytest

from crankseam.overload.estimate import DRAIN_WINDOW_S, DrainRate, estimate_answer


def busy_drain(per_s, seconds, duration_s):
    drain = DrainRate()
    drain.set_busy(True, 0.0)
    for number in range(int(per_s * seconds)):
        drain.record_end(duration_s, (number + 1) / per_s)
    return drain


def test_the_measured_rate_counts_while_the_limit_was_in_use_for_the_whole_window():
    drain = busy_drain(per_s=20, seconds=10, duration_s=0.5)
    assert drain.per_s(1000, 9.0, 10.0) == pytest.approx(20.0, rel=0.05)


def test_a_service_that_was_not_full_is_estimated_by_its_limit_not_by_its_few_requests():
    drain = busy_drain(per_s=2, seconds=10, duration_s=0.5)
    drain.set_busy(False, 10.0)
    drain.set_busy(True, 10.0)
    assert drain.per_s(10, 9.0, 10.0) == pytest.approx(20.0)


def test_before_anything_ended_the_assumed_duration_counts():
    drain = DrainRate()
    drain.set_busy(True, 100.0)
    assert drain.per_s(10, 2.0, 100.0) == pytest.approx(5.0)
    assert drain.age_s(100.0) == float("inf")


def test_back_ends_that_stop_answering_lower_the_rate_the_longer_the_silence():
    drain = busy_drain(per_s=20, seconds=10, duration_s=0.5)
    rates = [drain.per_s(10, 9.0, 10.0 + DRAIN_WINDOW_S + silence_s) for silence_s in (1, 10, 100)]
    assert rates == sorted(rates, reverse=True) and rates[-1] < 0.1


def test_an_estimate_fits_if_wait_and_run_do():
    estimate = estimate_answer(9, drain_per_s=10.0, run_s=0.5)
    assert estimate.fits(1.5) and not estimate.fits(1.49)
