from hypothesis import given
from hypothesis import strategies as st

from crankseam.coordination.avoidance import AvoidedPeers


def test_the_time_doubles_up_to_the_longest_and_begins_anew_after_an_answer():
    avoided = AvoidedPeers(2.0, 16.0)
    now, times = 0.0, []
    for _ in range(6):
        avoided.avoid("a", now)
        before = now
        while avoided.is_avoided("a", now):
            now += 1.0
        times.append(now - before)
    assert times == [2.0, 4.0, 8.0, 16.0, 16.0, 16.0]
    avoided.answered("a")
    assert not avoided.has_failed_repeatedly("a")
    avoided.avoid("a", now)
    assert avoided.is_avoided("a", now + 1.9) and not avoided.is_avoided("a", now + 2.0)
    assert not avoided.has_failed_repeatedly("a")


def test_without_a_longest_time_each_failure_counts_from_its_own_moment():
    avoided = AvoidedPeers(3.0)
    for now in (0.0, 1.0, 2.5):
        avoided.avoid("a", now)
    assert avoided.is_avoided("a", 5.4) and not avoided.is_avoided("a", 5.5)
    assert not avoided.has_failed_repeatedly("a"), "the period must not grow without an upper limit"


@given(st.lists(st.sampled_from("abc")))
def test_peers_are_avoided_each_by_itself(failing):
    avoided = AvoidedPeers(1.0, 8.0)
    for peer in failing:
        avoided.avoid(peer, 0.0)
    for peer in "abc":
        assert avoided.is_avoided(peer, 0.5) == (peer in failing)
        assert avoided.has_failed_repeatedly(peer) == (failing.count(peer) > 1)
        avoided.answered(peer)
        assert not avoided.is_avoided(peer, 0.5)
