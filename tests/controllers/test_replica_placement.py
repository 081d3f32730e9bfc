"""How long a replica set may differ from the desired one before a member moves it."""

from crankseam.controllers.replica_placement import required_wait_s


def test_each_further_member_waits_one_delay_more():
    assert [required_wait_s(1.5, position, is_leaving=False) for position in range(3)] == [
        1.5,
        3.0,
        4.5,
    ]


def test_a_leaving_member_moves_at_once():
    assert required_wait_s(1.5, 2, is_leaving=True) == 0.0
