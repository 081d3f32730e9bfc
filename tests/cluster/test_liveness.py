"""Failure detection: when a relay declares members and zones dead."""

from crankseam.cluster.liveness import (
    MemberFailureDetector,
    ZoneFailureDetector,
    is_probably_cut_off,
)


def test_a_relay_that_was_paused_itself_declares_nobody_dead():
    detector = MemberFailureDetector(dead_after=4.0, now=0.0)
    detector.record_contact(["a", "b"], now=0.0)
    detector.tick(1.0, now=0.0)
    now = 30.0  # this process was stopped
    detector.tick(1.0, now)
    assert detector.dead(["a", "b"], now) == []
    for _ in range(5):
        now += 1.0
        detector.tick(1.0, now)
        detector.record_contact(["a"], now)
    assert detector.dead(["a", "b"], now) == ["b"]


def test_relays_do_not_keep_a_dead_member_alive_by_telling_each_other():
    """Guards against relays that pass on contacts which they only know from each other.

    With 420 nodes none of 21 deaths was detected: each of the two relays of a zone counted the
    other's report as a contact of its own and reported it back.
    """
    now = 0.0
    first, second = (MemberFailureDetector(dead_after=4.0, now=now) for _ in range(2))
    first.record_contact(["a"], now)
    second.record_contact(["a"], now)
    for _ in range(8):
        now += 1.0
        for detector, other in ((first, second), (second, first)):
            detector.tick(1.0, now)
            detector.merge_relay_contacts(other.own_contact_ages(now), now)
    assert first.dead(["a"], now) == ["a"]
    assert second.dead(["a"], now) == ["a"]


def test_a_node_that_becomes_a_relay_again_does_not_count_old_silence():
    """Guards against contacts that are kept while a node is not a relay: when it became a relay
    again after an hour, they made every member look dead."""
    detector = MemberFailureDetector(dead_after=3.0, now=0.0)
    detector.record_contact(["a"], now=0.0)
    detector.reset()  # the node is not a relay for a while
    assert detector.dead(["a"], now=50.0) == []
    assert detector.dead(["a"], now=54.0) == ["a"]


def test_an_overloaded_relay_counts_only_the_time_in_which_it_listened():
    """Guards against counting the delay of an overloaded relay as silence of the members.

    With 420 nodes on an overloaded machine, relays whose delays were each too short to count as a
    stall declared 350 members dead, and the resulting updates kept all nodes overloaded.
    """
    now = 0.0
    detector = MemberFailureDetector(dead_after=3.0, now=now)
    detector.record_contact(["a"], now)
    detector.tick(0.25, now)
    for _ in range(6):
        now += 1.2  # each iteration of the relay's loop is about a second late
        detector.tick(0.25, now)
    assert detector.dead(["a"], now) == []
    for _ in range(12):
        now += 0.25
        detector.tick(0.25, now)
    assert detector.dead(["a"], now) == ["a"]


def test_what_the_other_relay_heard_counts_as_of_when_it_heard_it():
    detector = MemberFailureDetector(dead_after=3.0, now=0.0)
    detector.record_contact(["a"], now=0.0)
    detector.merge_relay_contacts({"a": 2000}, now=4.0)
    assert detector.dead(["a"], now=5.0) == []
    assert detector.dead(["a"], now=5.1) == ["a"]


def test_a_zone_is_dead_from_its_full_silence_on():
    zones = ZoneFailureDetector(dead_after=4.5, recent_within=1.5)
    assert not zones.is_dead("zone-b", now=10.0)  # starts counting
    assert not zones.is_dead("zone-b", now=14.4)
    assert zones.is_dead("zone-b", now=14.5)
    zones.record_contact("zone-b", now=15.0)
    assert not zones.is_dead("zone-b", now=16.0)


def test_seconds_in_which_the_relay_did_not_listen_are_no_silence_of_a_zone():
    zones = ZoneFailureDetector(dead_after=4.5, recent_within=1.5)
    zones.record_contact("zone-b", now=0.0)
    zones.exclude_time(10.0)
    assert not zones.is_dead("zone-b", now=14.0)
    assert zones.is_dead("zone-b", now=14.5)


def test_a_zone_counts_as_heard_for_as_long_as_its_answer_is_recent():
    zones = ZoneFailureDetector(dead_after=4.5, recent_within=1.5)
    zones.record_contact("zone-b", now=100.0)
    assert zones.any_recent_contact(["zone-b", "zone-c"], now=101.4)
    assert not zones.any_recent_contact(["zone-b", "zone-c"], now=101.5)
    assert not zones.any_recent_contact(["zone-c"], now=101.0)


def test_a_relay_that_hears_almost_nobody_is_probably_cut_off():
    assert is_probably_cut_off(watched=5, silent=3, reaches_other_zone=False)
    assert not is_probably_cut_off(watched=5, silent=3, reaches_other_zone=True)
    assert not is_probably_cut_off(watched=6, silent=3, reaches_other_zone=False)
    assert not is_probably_cut_off(watched=2, silent=2, reaches_other_zone=False)
