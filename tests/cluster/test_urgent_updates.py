"""Pause between two rounds of urgent updates."""

from crankseam.cluster.urgent_updates import next_pause

HEARTBEAT = 1.0


def test_rounds_that_follow_each_other_are_spaced_out_up_to_two_heartbeats():
    pause, pauses = 0.125, []
    for _ in range(6):
        pause = next_pause(since_last=pause, pause=pause, heartbeat=HEARTBEAT)
        pauses.append(pause)
    assert pauses == [0.25, 0.5, 1.0, 2.0, 2.0, 2.0]


def test_after_a_calm_of_more_than_four_pauses_the_pause_is_short_again():
    assert next_pause(since_last=8.0, pause=2.0, heartbeat=HEARTBEAT) == 2.0
    assert next_pause(since_last=8.1, pause=2.0, heartbeat=HEARTBEAT) == 0.125
