import pytest

from crankseam.quarantine import holding


def test_a_request_is_held_after_two_ends():
    assert holding.DEFAULT_CRASH_LIMIT == 2
    assert not holding.is_held(1, 2) and holding.is_held(2, 2) and holding.is_held(3, 2)


def test_a_send_under_way_counts_as_an_end_that_may_come():
    assert holding.may_send_again(0, 1, 2)
    assert not holding.may_send_again(1, 1, 2)
    assert not holding.may_send_again(2, 0, 2)


def test_each_probe_makes_the_hold_longer_and_the_last_lasts_a_day():
    assert [holding.hold_duration_s(probes) for probes in range(5)] == [
        3.0,
        12.0,
        48.0,
        86400.0,
        86400.0,
    ]


@pytest.mark.parametrize(
    "held, stored, expected_s",
    [(True, True, 86400.0), (False, True, 600.0), (True, False, 60.0), (False, False, 60.0)],
)
def test_what_only_a_peer_told_is_forgotten_first(held, stored, expected_s):
    assert holding.retention_s(held, stored) == expected_s


def test_who_waits_asks_again_within_half_a_second_and_never_at_once():
    assert holding.retry_after_s(2.5) == 2.5 and holding.retry_after_s(0.0) == 0.5
    assert [holding.probe_pause_s(held_s) for held_s in (2.5, 0.2, 0.0)] == [0.5, 0.2, 0.05]
