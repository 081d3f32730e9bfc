"""May this attempt of a request run, and what may its caller be told?

Inputs: the request's record as a majority of its replicas agreed on it, and this handling's own
claim or refusal.
Rule: one handling at a time holds the claim and may forward the request once; a claim stands until
its own holder ends it. `not_run` is told only after a majority agreed that the attempt was not
forwarded and never will be; where that cannot be had, the caller is told `unknown`.
Protects: a request that may not be repeated runs at most once, and "not run" is true.
Shown by: the problem's `outcome`, `crankseam explain`. Held by: tests/requests/test_claim_rules.py,
tests/requests/test_app_requests.py.
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
"""Attempts that one record names as refused; the caller of a further one is told `unknown`. Bounds
the record, which is copied at each change. Origin not recorded."""


def is_claimed_by(record: RequestRecord, handling: RequestRecord) -> bool:
    """Whether the record is the claim of this handling of this attempt."""
    is_own = record.claimant == handling.claimant and record.attempt == handling.attempt
    return is_own and record.state == RequestState.CLAIMED


def claim_over(standing: bytes | None, claim: RequestRecord) -> bytes | None:
    """The claim, where nothing stands or only refused attempts; None leaves what stands."""
    if standing is None:
        return encode_record(claim)
    record = decode_record(standing)
    if record.state != RequestState.NOT_RUN or record.body_digest != claim.body_digest:
        return None
    if claim.attempt in record.refused_attempts:
        return None
    renewed = msgspec.structs.replace(claim, refused_attempts=record.refused_attempts)
    return encode_record(renewed)


def refuse_over(standing: bytes | None, refusal: RequestRecord) -> bytes | None:
    """Commit `not_run` for an attempt that this node did not forward.

    A claim may only be withdrawn by the claimant's own attempt; what ran stays as it is.
    """
    if standing is None:
        return encode_record(refusal)
    record = decode_record(standing)
    is_own_claim = refusal.claimant != "" and is_claimed_by(record, refusal)
    if record.state != RequestState.NOT_RUN and not is_own_claim:
        return None
    refused = [*record.refused_attempts]
    if refusal.attempt not in refused:
        refused.append(refusal.attempt)
    if len(refused) > MAX_REFUSED_ATTEMPTS:
        return None  # too many to remember; the caller is told `unknown`
    return encode_record(msgspec.structs.replace(refusal, refused_attempts=refused))


def end_over(standing: bytes | None, claim: RequestRecord, final: bytes) -> bytes | None:
    """How a claimed request ended, over this handling's own claim; None leaves what stands."""
    if standing is None or standing == final:
        return final
    return final if is_claimed_by(decode_record(standing), claim) else None


def problem_for(record: RequestRecord) -> Problem | None:
    """What to tell a caller whose request is in this state; None if its answer can be replayed."""
    if record.state == RequestState.CLAIMED:
        detail = "an earlier attempt was claimed and has not ended"
        return StillRunning(detail, OUTCOME_UNKNOWN, retry_after.RECORD_S)
    if record.state == RequestState.UNKNOWN:
        return OutcomeUnknown("it was forwarded and its answer was lost", OUTCOME_UNKNOWN)
    if record.state == RequestState.NOT_RUN:
        detail = "this attempt was not run; try again with a new Request-Id"
        return Unavailable(detail, OUTCOME_NOT_RUN, retry_after.RECORD_S)
    if record.body is None:
        return OutcomeUnknown("it ran; its answer was too large to keep", OUTCOME_RUN)
    return None


def must_be_agreed(context: RequestContext, outcome: str) -> bool:
    """Whether a majority must agree on `outcome` before the caller hears of it.

    Only `not_run` says something of the record. A request that may be repeated has none, nor has
    one without a key.
    """
    is_repeatable = context.service is not None and not context.must_not_repeat
    has_record = not is_repeatable and context.idempotency_key is not None
    return outcome == OUTCOME_NOT_RUN and has_record


def is_refused(agreed: RequestRecord, attempt: str) -> bool:
    """Whether it is agreed that this attempt was not run and never will be."""
    return agreed.state == RequestState.NOT_RUN and attempt in agreed.refused_attempts
