"""The replicated record of a request that may not be repeated."""

from __future__ import annotations

import enum

import msgspec

MAX_REFUSED_ATTEMPTS = 32


class RequestState(enum.StrEnum):
    """What is agreed about the request."""

    CLAIMED = "claimed"
    """One node may forward it, once."""
    NOT_RUN = "not_run"
    """It was not forwarded, and the attempts named in the record never will be."""
    ANSWERED = "answered"
    """It ran, and this is its answer."""
    UNKNOWN = "unknown"
    """It was forwarded, and its answer was lost."""


class RequestRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """One request, by its idempotency key."""

    state: RequestState
    attempt: str
    """Request id of the attempt that the state is about."""
    claimant: str = ""
    """Token of the handling that holds the claim."""
    refused_attempts: list[str] = []
    """Attempts that were told `not_run`; they may never claim again."""
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes | None = None
    """None if the answer was too large to keep."""
    decision_id: str = ""
    body_digest: str = ""
    """SHA-256 of the request's method, path and body: the same key with another body is refused."""


_decoder = msgspec.msgpack.Decoder(RequestRecord)


def encode_record(record: RequestRecord) -> bytes:
    """Bytes for a replica."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> RequestRecord:
    """The record behind a replica's bytes."""
    return _decoder.decode(value)


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
    is_own_claim = (
        record.state == RequestState.CLAIMED
        and record.attempt == refusal.attempt
        and record.claimant == refusal.claimant
        and refusal.claimant != ""
    )
    if record.state != RequestState.NOT_RUN and not is_own_claim:
        return None
    refused = [*record.refused_attempts]
    if refusal.attempt not in refused:
        refused.append(refusal.attempt)
    if len(refused) > MAX_REFUSED_ATTEMPTS:
        return None  # too many to remember; the caller is told `unknown`
    return encode_record(msgspec.structs.replace(refusal, refused_attempts=refused))
