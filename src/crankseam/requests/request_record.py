"""The replicated record of a request that may not be repeated, and its encoding.

The permitted state transitions are in `claim_rules`.
"""

from __future__ import annotations

import enum

import msgspec


class RequestState(enum.StrEnum):
    """The state of the request, as agreed by a majority of the record's replicas."""

    CLAIMED = "claimed"
    """One handling may forward the request, once."""
    NOT_RUN = "not_run"
    """The request was not forwarded, and the refused attempts of the record never will be."""
    ANSWERED = "answered"
    """The request ran, and the record contains its answer."""
    UNKNOWN = "unknown"
    """The request was forwarded, and its answer was lost."""


class RequestRecord(msgspec.Struct, array_like=True, omit_defaults=True):
    """The record of one request, stored under its idempotency key."""

    state: RequestState
    attempt: str
    """Request id of the attempt to which the state applies."""
    claimant: str = ""
    """Token of the handling that holds the claim."""
    refused_attempts: list[str] = []
    """Attempts whose callers were told `not_run`; these can never claim the request."""
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes | None = None
    """None if the answer was too large to store, or if there is no answer."""
    decision_id: str = ""
    body_digest: str = ""
    """Truncated SHA-256 of method, path and body; the same key with another body is refused."""


_decoder = msgspec.msgpack.Decoder(RequestRecord)


def encode_record(record: RequestRecord) -> bytes:
    """Return the record in MessagePack, as the replicas store it."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> RequestRecord:
    """Return the record that `encode_record` encoded."""
    return _decoder.decode(value)
