"""Tests of the state transitions of a request's record, and of the outcomes told to callers."""

import msgspec
import pytest

from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_RUN, OUTCOME_UNKNOWN
from crankseam.requests.claim_rules import (
    MAX_REFUSED_ATTEMPTS,
    apply_claim,
    apply_final_record,
    apply_refusal,
    is_attempt_refused,
    problem_for,
)
from crankseam.requests.request_record import (
    RequestRecord,
    RequestState,
    decode_record,
    encode_record,
)


def record(state, attempt="first", claimant="token-a", **fields):
    return RequestRecord(state, attempt, claimant, body_digest="digest", **fields)


def claim(attempt="first", claimant="token-a"):
    return record(RequestState.CLAIMED, attempt, claimant)


def refusal(attempt="first", claimant="token-a"):
    return record(RequestState.NOT_RUN, attempt, claimant, refused_attempts=[attempt])


def apply_rule(rule, current, new):
    """Return the record after `rule` was applied to `current` with `new`."""
    before = None if current is None else encode_record(current)
    after = rule(before, new)
    return current if after is None else decode_record(after)


def test_a_claim_is_taken_where_nothing_stands():
    assert apply_rule(apply_claim, None, claim()) == claim()


@pytest.mark.parametrize(
    "state", [RequestState.CLAIMED, RequestState.ANSWERED, RequestState.UNKNOWN]
)
def test_a_claim_never_replaces_what_may_have_run(state):
    current = record(state, "first", "token-a")
    assert apply_rule(apply_claim, current, claim("second", "token-b")) == current


def test_after_a_refusal_another_attempt_may_claim_and_the_refused_one_may_not():
    taken = apply_rule(apply_claim, refusal(), claim("second", "token-b"))
    assert (taken.state, taken.attempt) == (RequestState.CLAIMED, "second")
    assert taken.refused_attempts == ["first"]
    assert apply_rule(apply_claim, refusal(), claim("first", "token-b")) == refusal()


def test_after_a_refusal_a_request_with_another_body_may_not_claim():
    other = msgspec.structs.replace(claim("second"), body_digest="other")
    assert apply_rule(apply_claim, refusal(), other) == refusal()


def test_a_claim_is_withdrawn_by_its_own_handling_alone():
    assert apply_rule(apply_refusal, claim(), refusal()).state == RequestState.NOT_RUN
    assert apply_rule(apply_refusal, claim(), refusal(claimant="token-b")) == claim()
    assert apply_rule(apply_refusal, claim(), refusal(attempt="second")) == claim()


@pytest.mark.parametrize("state", [RequestState.ANSWERED, RequestState.UNKNOWN])
def test_what_was_forwarded_is_never_refused(state):
    assert apply_rule(apply_refusal, record(state), refusal()) == record(state)


def test_a_record_that_names_as_many_refused_attempts_as_it_may_takes_no_further_one():
    names = [f"attempt-{number}" for number in range(MAX_REFUSED_ATTEMPTS)]
    full = record(RequestState.NOT_RUN, refused_attempts=names)
    after = apply_rule(apply_refusal, full, refusal("one-more"))
    assert after == full
    assert not is_attempt_refused(after, "one-more")
    assert is_attempt_refused(apply_rule(apply_refusal, full, refusal(names[0])), names[0])


def test_an_end_is_written_over_its_own_claim_alone():
    final = record(RequestState.ANSWERED, status=200, body=b"done")
    encoded = encode_record(final)
    assert apply_final_record(None, claim(), encoded) == encoded
    assert apply_final_record(encode_record(claim()), claim(), encoded) == encoded
    assert apply_final_record(encoded, claim(), encoded) == encoded
    for current in (claim(claimant="token-b"), refusal(), record(RequestState.UNKNOWN)):
        assert apply_final_record(encode_record(current), claim(), encoded) is None


def test_what_a_caller_is_told_of_each_state():
    outcomes = {
        RequestState.CLAIMED: OUTCOME_UNKNOWN,
        RequestState.UNKNOWN: OUTCOME_UNKNOWN,
        RequestState.NOT_RUN: OUTCOME_NOT_RUN,
        RequestState.ANSWERED: OUTCOME_RUN,
    }
    for state, outcome in outcomes.items():
        assert problem_for(record(state)).outcome == outcome
    assert problem_for(record(RequestState.ANSWERED, body=b"")) is None
