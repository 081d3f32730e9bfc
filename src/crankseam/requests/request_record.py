"""The replicated record of a request that may not be repeated, and its bytes.

Owns the form in which it is stored; what may follow what is in `claim_rules`.
"""

from __future__ import annotations

import enum

import msgspec


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
