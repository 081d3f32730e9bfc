"""When a relay takes members and zones for dead."""

from crankseam.cluster.liveness import MemberSilence, ZoneSilence, is_probably_cut_off


def test_a_relay_that_was_paused_itself_declares_nobody_dead():
    silence = MemberSilence(dead_after=4.0, now=0.0)
    silence.hear(["a", "b"], now=0.0)
    silence.tick(1.0, now=0.0)
    now = 30.0  # this process was stopped
    silence.tick(1.0, now)
    assert silence.dead(["a", "b"], now) == []
    for _ in range(5):
        now += 1.0
        silence.tick(1.0, now)
        silence.hear(["a"], now)
    assert silence.dead(["a", "b"], now) == ["b"]


def test_relays_do_not_keep_a_dead_member_alive_by_telling_each_other():
    """Found with 420 nodes: none of 21 deaths was noticed, since each of the two relays
    of a zone counted the other's hearsay as a sign of life and passed it on."""
    now = 0.0
    first, second = (MemberSilence(dead_after=4.0, now=now) for _ in range(2))
    first.hear(["a"], now)
    second.hear(["a"], now)
    for _ in range(8):
        now += 1.0
        for silence, other in ((first, second), (second, first)):
            silence.tick(1.0, now)
            silence.hear_from_relay(other.heard_here(now), now)
    assert first.dead(["a"], now) == ["a"]
    assert second.dead(["a"], now) == ["a"]


def test_a_node_that_becomes_a_relay_again_does_not_count_old_silence():
    """Found in review: what was heard an hour ago, as a relay, made every member look dead."""
    silence = MemberSilence(dead_after=3.0, now=0.0)
    silence.hear(["a"], now=0.0)
    silence.reset()  # no relay for a while
    assert silence.dead(["a"], now=50.0) == []
    assert silence.dead(["a"], now=54.0) == ["a"]


def test_an_overloaded_relay_counts_only_the_time_in_which_it_listened():
    """Found with 420 nodes on an overloaded machine: relays that lagged by less than a
    pause declared 350 members dead, and the news of it kept all overloaded."""
    now = 0.0
    silence = MemberSilence(dead_after=3.0, now=now)
    silence.hear(["a"], now)
    silence.tick(0.25, now)
    for _ in range(6):
        now += 1.2  # each turn of its loop takes a second too long
        silence.tick(0.25, now)
    assert silence.dead(["a"], now) == []
    for _ in range(12):
        now += 0.25
        silence.tick(0.25, now)
    assert silence.dead(["a"], now) == ["a"]


def test_what_the_other_relay_heard_counts_as_of_when_it_heard_it():
    silence = MemberSilence(dead_after=3.0, now=0.0)
    silence.hear(["a"], now=0.0)
    silence.hear_from_relay({"a": 2000}, now=4.0)
    assert silence.dead(["a"], now=5.0) == []
    assert silence.dead(["a"], now=5.1) == ["a"]


def test_a_zone_is_dead_from_its_full_silence_on():
    zones = ZoneSilence(dead_after=4.5, recent=1.5)
    assert not zones.is_dead("zone-b", now=10.0)  # starts counting
    assert not zones.is_dead("zone-b", now=14.4)
    assert zones.is_dead("zone-b", now=14.5)
    zones.hear("zone-b", now=15.0)
    assert not zones.is_dead("zone-b", now=16.0)


def test_seconds_in_which_the_relay_did_not_listen_are_no_silence_of_a_zone():
    zones = ZoneSilence(dead_after=4.5, recent=1.5)
    zones.hear("zone-b", now=0.0)
    zones.skip(10.0)
    assert not zones.is_dead("zone-b", now=14.0)
    assert zones.is_dead("zone-b", now=14.5)


def test_a_zone_counts_as_heard_for_as_long_as_its_answer_is_recent():
    zones = ZoneSilence(dead_after=4.5, recent=1.5)
    zones.hear("zone-b", now=100.0)
    assert zones.heard_any(["zone-b", "zone-c"], now=101.4)
    assert not zones.heard_any(["zone-b", "zone-c"], now=101.5)
    assert not zones.heard_any(["zone-c"], now=101.0)


def test_a_relay_that_hears_almost_nobody_is_probably_cut_off():
    assert is_probably_cut_off(watched=5, silent=3, hears_another_zone=False)
    assert not is_probably_cut_off(watched=5, silent=3, hears_another_zone=True)
    assert not is_probably_cut_off(watched=6, silent=3, hears_another_zone=False)
    assert not is_probably_cut_off(watched=2, silent=2, hears_another_zone=False)
