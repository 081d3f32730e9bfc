"""Every failure of crankseam has a type; those that several packages share are here.

Owns the types, statuses and outcomes of problem documents, which callers see.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from crankseam.constants import OUTCOME_UNKNOWN


class CrankseamError(Exception):
    """Root of all errors that crankseam raises on purpose."""


# --- configuration


@dataclass
class FieldError(CrankseamError):
    """One wrong field of one file."""

    file: str
    line: int
    field: str
    expected: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: {self.expected}"


class InvalidConfiguration(ExceptionGroup[FieldError]):
    """All the wrong fields found in one reading; nothing was applied."""


@dataclass
class ApplyConflict(CrankseamError):
    """Another operator's change was accepted since this one was planned."""

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
    """The service refused or could not be reached; a write did not take effect."""


class KeyValueThrottled(KeyValueUnavailable):
    """The service refused the request because of its rate limit."""


class KeyValueOutcomeUnknown(KeyValueError):
    """The answer to a write was lost: it may have taken effect."""


# --- peers and records


class PeerError(CrankseamError):
    """A peer did not answer a call."""


class PeerUnreachable(PeerError):
    """No connection to the peer, or it broke before the answer."""


class PeerTimeout(PeerError):
    """The peer did not answer in time."""


class FrameError(CrankseamError):
    """Bytes from a peer that are no frame of this protocol."""


class RecordError(CrankseamError):
    """A replicated record could not be read or changed."""


class NoQuorum(RecordError):
    """Fewer than a majority of the replicas answered; the change may have taken effect."""


class SlotMoved(RecordError):
    """The record's slot has a newer replica set than the one that was to be asked."""


class RecordExpired(RecordError):
    """The record's id is older than what the replicas still remember."""


class Contention(RecordError):
    """Another proposer kept winning; the change was not made by this one."""


# --- answers to callers


@dataclass
class Problem(CrankseamError):
    """An answer to a caller, sent as an RFC 9457 problem document.

    Attributes:
        detail: what happened, for a person.
        outcome: `not_run`, `unknown` or `run`.
        retry_after: seconds after which coming back helps; None where it does not.
    """

    status: ClassVar[int] = 500
    type: ClassVar[str] = "internal"

    detail: str
    outcome: str = OUTCOME_UNKNOWN
    retry_after: float | None = None

    def __str__(self) -> str:
        return f"{self.type} ({self.outcome}): {self.detail}"


class BadRequest(Problem):
    """The request lacks something, or says something malformed."""

    status = 400
    type = "bad-request"


class Unauthorized(Problem):
    """The caller showed no API key that is known."""

    status = 401
    type = "unauthorized"


class Forbidden(Problem):
    """The caller did not show a key that is needed here."""

    status = 403
    type = "forbidden"


class NotFound(Problem):
    """No such service, trainer or record."""

    status = 404
    type = "not-found"


class IdentifierExpired(Problem):
    """The idempotency key is older than what is remembered, so it is never run."""

    status = 410
    type = "identifier-expired"


class StillRunning(Problem):
    """An earlier attempt of the same request holds the claim."""

    status = 409
    type = "still-running"


class OutcomeUnknown(Problem):
    """The request may have run; nobody can tell yet."""

    status = 504
    type = "outcome-unknown"


class Overloaded(Problem):
    """A limit is reached; the request was not forwarded."""

    status = 429
    type = "overloaded"


class Unavailable(Problem):
    """This node may not take new work, or no back end may."""

    status = 503
    type = "unavailable"


class RequestHeld(Unavailable):
    """Back ends ended under this request before; it is held back, and was sent to nobody."""

    type = "request-held"


class DeadlineExceeded(Problem):
    """The caller's deadline passed before the request was forwarded."""

    status = 504
    type = "deadline-exceeded"
