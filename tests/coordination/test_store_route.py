import pytest

from crankseam.coordination.relay_messages import RelayAnswer, RelayCall
from crankseam.coordination.store_route import (
    CALL_SLACK_S,
    FAILING_AFTER_S,
    PROBE_INTERVAL_S,
    REFUSING_AVOIDED_S,
    SILENT_AVOIDED_S,
    WATCH_SLACK_S,
    DirectRoute,
    PeerSelector,
    call_timeout_s,
    is_route_failure,
    may_repeat,
)
from crankseam.errors import KeyValueUnavailable


def test_the_way_fails_once_calls_have_failed_for_a_while():
    route = DirectRoute()
    route.failed(10.0)
    route.failed(10.3)
    assert not route.is_failing(10.0 + FAILING_AFTER_S - 0.01)
    assert route.is_failing(10.0 + FAILING_AFTER_S)
    assert not route.answered(began_at=9.9) and route.is_failing(11.0), (
        "the call used an older connection"
    )
    assert route.answered(began_at=10.9) and not route.is_failing(99.0)
    assert route.answered_at == 10.9


def test_the_own_way_is_tried_now_and_then():
    route = DirectRoute()
    route.failed(10.0)
    assert not route.try_start_probe(10.0 + PROBE_INTERVAL_S - 0.01)
    assert route.try_start_probe(10.0 + PROBE_INTERVAL_S)
    assert not route.try_start_probe(10.0 + 1.9 * PROBE_INTERVAL_S)


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
    assert not is_route_failure(RelayAnswer(error))


def test_a_watch_is_waited_for_less_beyond_its_end_than_a_call():
    assert call_timeout_s(RelayCall("watch", wait=0.7)) == 0.7 + WATCH_SLACK_S
    assert call_timeout_s(RelayCall("get")) == CALL_SLACK_S
    assert WATCH_SLACK_S < CALL_SLACK_S


def test_peers_of_no_use_are_asked_last_and_silent_ones_after_those_that_refuse():
    choice = PeerSelector()
    peers = ["refusing", "silent", "useful"]
    choice.record_refusal("refusing", 0.0)
    choice.record_silence("silent", 0.0)
    picked = [choice.pick(peers, [], 0.1)]
    while len(picked) < 3:
        picked.append(choice.pick(peers, picked, 0.1))
    assert picked == ["useful", "refusing", "silent"]
    with pytest.raises(KeyValueUnavailable):
        choice.pick(peers, picked, 0.1)
    assert choice.responsive(peers, [], SILENT_AVOIDED_S - 0.1) == ["refusing", "useful"]
    assert choice.responsive(peers, [], SILENT_AVOIDED_S) == peers
    assert choice.pick(["refusing"], [], REFUSING_AVOIDED_S) == "refusing"
