"""The latency baseline: mixed requests, servers that become slow, and a new normal."""

import random

from crankseam.overload.latency import MAX_ROUTES, MINIMUM_PERIOD_S, Latencies


def add(latencies, durations_s, start=0.0):
    now = start
    for duration_s in durations_s:
        now += duration_s
        latency = latencies.add("r", duration_s, now)
    return latency, now


def test_requests_of_different_lengths_are_no_rise():
    generator = random.Random(3)
    latencies = Latencies()
    for _ in range(20):
        latency, _ = add(latencies, [generator.uniform(0.1, 1.0) for _ in range(100)])
        assert latency.rise() < 2.0


def test_a_rise_shows_after_some_requests_and_becomes_normal_after_two_periods():
    latencies = Latencies()
    latency, now = add(latencies, [0.1] * 100)
    assert latency.rise() == 1.0
    latency, now = add(latencies, [0.5] * 20, now)
    assert latency.rise() > 2.0
    latency, now = add(latencies, [0.5] * int(3 * MINIMUM_PERIOD_S / 0.5), now)
    assert latency.rise() < 1.1


def test_few_samples_prove_nothing_and_an_unknown_route_has_the_assumed_duration():
    latencies = Latencies()
    assert latencies.typical_s("r", 0.7) == 0.7
    latency, _ = add(latencies, [0.1, 9.0, 9.0])
    assert latency.rise() == 1.0


def test_the_number_of_routes_is_bounded():
    latencies = Latencies()
    for number in range(MAX_ROUTES + 50):
        latencies.add(f"r{number}", 0.1, 0.0)
    assert len(latencies._by_route) == MAX_ROUTES
