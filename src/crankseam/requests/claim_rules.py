"""State transitions of a request's record, and the outcome that its caller is told.

A handling is the processing of one received request by one node. The same attempt may have several
handlings, if its caller sends it more than once.

Inputs: the request's record, as agreed by a majority of its replicas, and the claim or refusal of
this handling.
Rule: at most one handling at a time holds the claim, and it may forward the request once. Only the
handling that holds the claim can end it. The caller is told `not_run` only after a majority has
agreed that the attempt was not forwarded and never will be; without that agreement, the caller is
told `unknown`.
Purpose: a request that may not be repeated runs at most once, and the outcome `not_run` is true.
Logged as: the problem's `outcome`, and the decisions in `crankseam explain`.
Tested by: tests/requests/test_claim_rules.py, tests/requests/test_app_requests.py.
"""

from __future__ import annotations

import msgspec

from crankseam.constants import OUTCOME_NOT_RUN, OUTCOME_RUN, OUTCOME_UNKNOWN
from crankseam.errors import OutcomeUnknown, Problem, StillRunning, Unavailable
from crankseam.requests import retry_after
from crankseam.requests.context import RequestContext
from crankseam.requests.request_record import (
    RequestRecord,
    RequestState,
    decode_record,
    encode_record,
)

MAX_REFUSED_ATTEMPTS = 32
"""Maximum number of refused attempts in one record; the caller of a further one is told `unknown`.
Bounds the size of the record, which is copied at each change."""


def is_claimed_by(record: RequestRecord, own_record: RequestRecord) -> bool:
    """Whether `record` is the claim of the handling and attempt that `own_record` names."""
    is_same_handling = (
        record.claimant == own_record.claimant and record.attempt == own_record.attempt
    )
    return is_same_handling and record.state == RequestState.CLAIMED


def apply_claim(current: bytes | None, claim: RequestRecord) -> bytes | None:
    """Return the record after a claim, or None to leave the current record unchanged.

    A claim succeeds if there is no record, or if the record has only refused attempts of the same
    request and the claiming attempt is not among them.
    """
    if current is None:
        return encode_record(claim)
    record = decode_record(current)
    if record.state != RequestState.NOT_RUN or record.body_digest != claim.body_digest:
        return None
    if claim.attempt in record.refused_attempts:
        return None
    updated = msgspec.structs.replace(claim, refused_attempts=record.refused_attempts)
    return encode_record(updated)


def apply_refusal(current: bytes | None, refusal: RequestRecord) -> bytes | None:
    """Return the record after the refusal of an attempt that this node did not forward.

    Returns None to leave the current record unchanged. A claim can only be withdrawn by the
    handling that holds it; a record of a request that may have run is never replaced.
    """
    if current is None:
        return encode_record(refusal)
    record = decode_record(current)
    is_own_claim = refusal.claimant != "" and is_claimed_by(record, refusal)
    if record.state != RequestState.NOT_RUN and not is_own_claim:
        return None
    refused = [*record.refused_attempts]
    if refusal.attempt not in refused:
        refused.append(refusal.attempt)
    if len(refused) > MAX_REFUSED_ATTEMPTS:
        return None  # the record is full; the caller is told `unknown`
    return encode_record(msgspec.structs.replace(refusal, refused_attempts=refused))


def apply_final_record(current: bytes | None, claim: RequestRecord, final: bytes) -> bytes | None:
    """Return `final` if it may replace the current record, or None to leave that unchanged.

    The final state of a request replaces the claim of its own handling, and is also written if
    there is no record. It replaces no other record; writing it twice has no effect.
    """
    if current is None or current == final:
        return final
    return final if is_claimed_by(decode_record(current), claim) else None


def problem_for(record: RequestRecord) -> Problem | None:
    """Return the problem that describes the record; None if the stored answer can be replayed."""
    if record.state == RequestState.CLAIMED:
        detail = "an earlier attempt was claimed and has not ended"
        return StillRunning(detail, OUTCOME_UNKNOWN, retry_after.RECORD_UNAVAILABLE_S)
    if record.state == RequestState.UNKNOWN:
        return OutcomeUnknown("it was forwarded and its answer was lost", OUTCOME_UNKNOWN)
    if record.state == RequestState.NOT_RUN:
        detail = "this attempt was not run; try again with a new Request-Id"
        return Unavailable(detail, OUTCOME_NOT_RUN, retry_after.RECORD_UNAVAILABLE_S)
    if record.body is None:
        return OutcomeUnknown("it ran; its answer was too large to keep", OUTCOME_RUN)
    return None


def requires_agreement(context: RequestContext, outcome: str) -> bool:
    """Whether a majority must agree on `outcome` before the caller is told.

    Only `not_run` is a statement about the record. A request that may be repeated, or that has no
    idempotency key, has no record.
    """
    is_repeatable = context.service is not None and not context.must_not_repeat
    has_record = not is_repeatable and context.idempotency_key is not None
    return outcome == OUTCOME_NOT_RUN and has_record


def is_attempt_refused(agreed: RequestRecord, attempt: str) -> bool:
    """Whether the agreed record states that the attempt was not run and never will be."""
    return agreed.state == RequestState.NOT_RUN and attempt in agreed.refused_attempts
