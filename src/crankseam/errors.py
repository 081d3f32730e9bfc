"""Error types that several packages share; every failure of crankseam has its own type.

The types, statuses and outcomes of problem documents are defined here and are visible to callers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from crankseam.constants import OUTCOME_UNKNOWN


class CrankseamError(Exception):
    """Base class of all errors that crankseam raises itself."""


# --- configuration


@dataclass
class FieldError(CrankseamError):
    """One invalid field of one file."""

    file: str
    line: int
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: {self.expected}"


class InvalidConfiguration(ExceptionGroup[FieldError]):
    """All invalid fields that were found in one reading of the input; nothing was applied."""


@dataclass
class ApplyConflict(CrankseamError):
    """Another operator's change was accepted after this one was planned."""

    planned_from: int
    current: int
    winner: str
    winner_changes: list[str]
    own_changes: list[str]

    def __str__(self) -> str:
        return (
            f"planned from revision {self.planned_from}, but revision {self.current} by "
            f"{self.winner} is in place; theirs: {self.winner_changes}; yours: {self.own_changes}"
        )


# --- key-value service


class KeyValueError(CrankseamError):
    """The key-value service did not give a usable answer."""


class KeyValueUnavailable(KeyValueError):
    """The service refused the request or could not be reached; a write did not take effect."""


class KeyValueThrottled(KeyValueUnavailable):
    """The service refused the request because of its rate limit."""


class KeyValueOutcomeUnknown(KeyValueError):
    """The answer to a write was lost, so the write may have taken effect."""


# --- peers and records


class PeerError(CrankseamError):
    """A peer did not answer a call."""


class PeerUnreachable(PeerError):
    """The connection to the peer failed, or broke before the answer arrived."""


class PeerTimeout(PeerError):
    """The peer did not answer within the time-out."""


class FrameError(CrankseamError):
    """A peer sent bytes that are not a valid frame of this protocol."""


class RecordError(CrankseamError):
    """A replicated record could not be read or changed."""


class NoQuorum(RecordError):
    """Fewer than a majority of the replicas answered; the change may have taken effect."""


class SlotMoved(RecordError):
    """The record's slot has a newer replica set than the one that was addressed."""


class RecordExpired(RecordError):
    """The record's id is older than the retention period of the replicas."""


class Contention(RecordError):
    """Other proposers kept winning, so this proposer did not make the change."""


# --- answers to callers


@dataclass
class Problem(CrankseamError):
    """An error answer to a caller, sent as an RFC 9457 problem document.

    Attributes
    ==========

    detail : human-readable description of what happened.
    outcome : `not_run`, `unknown` or `run`.
    retry_after : seconds after which a retry may succeed; None if a retry does not help.
    """

    status: ClassVar[int] = 500
    type: ClassVar[str] = "internal"

    detail: str
    outcome: str = OUTCOME_UNKNOWN
    retry_after: float | None = None

    def __str__(self) -> str:
        return f"{self.type} ({self.outcome}): {self.detail}"


class BadRequest(Problem):
    """The request is malformed, or lacks something that is required."""

    status = 400
    type = "bad-request"


class Unauthorized(Problem):
    """The caller presented no known API key."""

    status = 401
    type = "unauthorized"


class Forbidden(Problem):
    """The caller did not present the key that this path requires."""

    status = 403
    type = "forbidden"


class NotFound(Problem):
    """The service, trainer or record does not exist."""

    status = 404
    type = "not-found"


class IdentifierExpired(Problem):
    """The idempotency key is older than the retention period, so the request is never run."""

    status = 410
    type = "identifier-expired"


class StillRunning(Problem):
    """An earlier attempt of the same request holds the claim."""

    status = 409
    type = "still-running"


class BodyTimeout(Problem):
    """The body did not arrive while its caller would still wait for the answer."""

    status = 408
    type = "body-timeout"


class UnsupportedEncoding(Problem):
    """This process reads the body itself, and not in the encoding that the request names."""

    status = 415
    type = "unsupported-encoding"


class OutcomeUnknown(Problem):
    """The request may have run; its outcome is not known yet."""

    status = 504
    type = "outcome-unknown"


class Overloaded(Problem):
    """A limit was reached; the request was not forwarded."""

    status = 429
    type = "overloaded"


class Unavailable(Problem):
    """This node may not accept new work, or no back end may."""

    status = 503
    type = "unavailable"


class RequestHeld(Unavailable):
    """Back ends crashed while running this request; it is held back and was not forwarded."""

    type = "request-held"


class DeadlineExceeded(Problem):
    """The caller's deadline passed before the request was forwarded."""

    status = 504
    type = "deadline-exceeded"
