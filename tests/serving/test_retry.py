import pytest

from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.errors import OutcomeUnknown, Unavailable
from crankseam.serving import retry
from crankseam.serving.messages import Answer, InboundRequest
from crankseam.serving.retry import MAX_REJECTIONS, AttemptHistory
from crankseam.serving.routes import RequestKind, Route, Share

FAILURE, SUCCESS = Answer(500, (), b""), Answer(200, (), b"")


def make_route(kind=RequestKind.REPEATABLE, max_attempts=3, timeout=2.0, target_latency=0.4):
    share = (Share("s", 1.0),)
    return Route("r", "h", "/", kind, share, timeout, target_latency, max_attempts)


def make_request(received_at=10.0, deadline=13.0):
    return InboundRequest("r1", "POST", "h", "/p", "/p", (), b"", received_at, deadline)


def test_the_earlier_of_deadline_and_timeout_ends_it_a_little_ahead():
    route = make_route()
    assert retry.give_up_time(make_request(), route) == pytest.approx(11.97)
    assert retry.give_up_reason(make_request(), route) == "route's timeout"
    urgent = make_request(deadline=11.0)
    assert retry.give_up_time(urgent, route) == pytest.approx(10.97)
    assert retry.give_up_reason(urgent, route) == "caller's deadline"


@pytest.mark.parametrize("kind", [RequestKind.ONCE, RequestKind.STREAM])
def test_what_may_run_once_has_one_attempt_whatever_the_route_allows(kind):
    route, history = make_route(kind), AttemptHistory()
    assert retry.has_attempts_left(route, history)
    history.record_sent("a")
    assert not retry.has_attempts_left(route, history)
    assert not retry.is_retryable(route, FAILURE)


def test_a_repeatable_request_has_as_many_as_its_route_allows():
    route, history = make_route(max_attempts=2), AttemptHistory()
    history.record_sent("a")
    assert retry.has_attempts_left(route, history)
    history.record_sent("b")
    assert not retry.has_attempts_left(route, history)
    assert retry.is_retryable(route, FAILURE)
    assert not retry.is_retryable(route, SUCCESS)


def test_a_rejection_does_not_count_as_a_run_but_many_end_the_request():
    route, history = make_route(RequestKind.ONCE), AttemptHistory()
    for number in range(MAX_REJECTIONS):
        assert not retry.is_rejected_too_often(history)
        history.record_sent(f"b{number}")
        assert not retry.may_reuse_back_ends(history)
        history.record_rejected(f"b{number}", "status 503")
        assert retry.has_attempts_left(route, history) and retry.may_reuse_back_ends(history)
    assert retry.is_rejected_too_often(history)


def test_the_second_attempt_leaves_the_rest_of_the_target_latency():
    assert retry.hedge_delay_s(make_route(target_latency=0.4)) == pytest.approx(0.3)


def test_not_run_is_said_only_where_no_attempt_may_have_run():
    history = AttemptHistory()
    problem = retry.give_up_problem(history)
    assert isinstance(problem, Unavailable) and problem.outcome == OUTCOME_NOT_RUN
    assert problem.retry_after and problem.detail == "no back end took it"
    history.record_sent("a")
    history.record_rejected("a", "status 503")
    assert isinstance(retry.give_up_problem(history), Unavailable)
    history.record_sent("b")
    history.record_broken("b", "ServerDisconnectedError")
    problem = retry.give_up_problem(history)
    assert isinstance(problem, OutcomeUnknown) and problem.outcome == OUTCOME_UNKNOWN
    assert problem.retry_after is None and problem.detail == "b: ServerDisconnectedError"


def test_it_began_when_the_first_attempt_that_may_have_run_was_sent():
    history = AttemptHistory()
    for sent_at in (12.0, 11.0, 13.0):
        history.record_possible_start(sent_at)
    assert history.began_at == 11.0
