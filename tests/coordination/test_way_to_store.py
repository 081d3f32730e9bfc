import pytest

from crankseam.coordination.relay_messages import RelayAnswer, RelayCall
from crankseam.coordination.way_to_store import (
    CALL_SLACK_S,
    FAILING_AFTER_S,
    PROBE_S,
    REFUSED_AVOIDED_S,
    SILENT_AVOIDED_S,
    WATCH_SLACK_S,
    DirectWay,
    PeerChoice,
    has_not_served,
    longest_wait_s,
    may_repeat,
)
from crankseam.errors import KeyValueUnavailable


def test_the_way_fails_once_calls_have_failed_for_a_while():
    way = DirectWay()
    way.failed(10.0)
    way.failed(10.3)
    assert not way.is_failing(10.0 + FAILING_AFTER_S - 0.01)
    assert way.is_failing(10.0 + FAILING_AFTER_S)
    assert not way.answered(began_at=9.9) and way.is_failing(11.0), "an older connection"
    assert way.answered(began_at=10.9) and not way.is_failing(99.0)
    assert way.answered_at == 10.9


def test_the_own_way_is_tried_now_and_then():
    way = DirectWay()
    way.failed(10.0)
    assert not way.take_probe(10.0 + PROBE_S - 0.01)
    assert way.take_probe(10.0 + PROBE_S)
    assert not way.take_probe(10.0 + 1.9 * PROBE_S)


@pytest.mark.parametrize(
    ("call", "error", "repeated"),
    [
        ("commit", "KeyValueUnavailable", True),
        ("commit", "KeyValueThrottled", True),
        ("commit", "KeyValueOutcomeUnknown", False),
        ("grant_lease", "KeyValueOutcomeUnknown", False),
        ("renew_lease", "KeyValueOutcomeUnknown", True),
        ("get", "KeyValueOutcomeUnknown", True),
        ("get", "HistoryCompacted", False),
        ("get", "LeaseExpired", False),
        ("get", "", False),
    ],
)
def test_a_change_is_made_again_only_if_it_was_not_done(call, error, repeated):
    assert may_repeat(RelayCall(call), RelayAnswer(error)) == repeated


@pytest.mark.parametrize("error", ["", "LeaseExpired", "HistoryCompacted", "TransactionConflict"])
def test_an_answer_of_the_store_is_no_failure_of_the_way(error):
    assert not has_not_served(RelayAnswer(error))


def test_a_watch_is_waited_for_less_beyond_its_end_than_a_call():
    assert longest_wait_s(RelayCall("watch", wait=0.7)) == 0.7 + WATCH_SLACK_S
    assert longest_wait_s(RelayCall("get")) == CALL_SLACK_S
    assert WATCH_SLACK_S < CALL_SLACK_S


def test_peers_of_no_use_are_asked_last_and_silent_ones_after_those_that_refuse():
    choice = PeerChoice()
    peers = ["refusing", "silent", "useful"]
    choice.could_do_nothing("refusing", 0.0)
    choice.was_silent("silent", 0.0)
    picked = [choice.pick(peers, [], 0.1)]
    while len(picked) < 3:
        picked.append(choice.pick(peers, picked, 0.1))
    assert picked == ["useful", "refusing", "silent"]
    with pytest.raises(KeyValueUnavailable):
        choice.pick(peers, picked, 0.1)
    assert choice.answering(peers, [], SILENT_AVOIDED_S - 0.1) == ["refusing", "useful"]
    assert choice.answering(peers, [], SILENT_AVOIDED_S) == peers
    assert choice.pick(["refusing"], [], REFUSED_AVOIDED_S) == "refusing"
