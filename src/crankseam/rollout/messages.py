"""What trainers send and get, and what is recorded of steps and samples.

Owns the JSON of the trainers' interface and the stored bytes of the records: field names and their
order are both on the wire.
"""

from __future__ import annotations

import msgspec


class SampleRequest(msgspec.Struct):
    """One sample to generate.

    Attributes:
        index: position in the step, from 0.
        group: samples of one prompt group tend to be of like length.
        expected_tokens: the trainer's own estimate of the length; 0 if it has none.
    """

    index: int
    prompt: str
    group: str = ""
    max_tokens: int = 1024
    expected_tokens: int = 0


class OpenStep(msgspec.Struct, forbid_unknown_fields=True):
    """A trainer's request to generate the samples of one step.

    Attributes:
        opened_at_ms: when the trainer opened the step first; the same at each repetition.
    """

    step: int
    opened_at_ms: int
    samples: list[SampleRequest]


class Segment(msgspec.Struct, array_like=True):
    """Tokens [start, end) were made by this weight version, as the sampler reported."""

    version: int
    start: int
    end: int


class SampleResult(msgspec.Struct):
    """A whole sample as it is delivered: one JSON line.

    Attributes:
        tokens: token ids, shape (length,).
        segments: weight versions over [0, length), in order and without gaps.
        cursor: the trainer's cursor once it has this sample.
    """

    trainer: str
    step: int
    index: int
    generation: int
    tokens: list[int]
    segments: list[Segment]
    samplers: list[str]
    decision_id: str = ""
    cursor: str = ""


class SampleRecord(msgspec.Struct, array_like=True):
    """The replicated record of a sample.

    Attributes:
        generation: raised each time a committed result was dropped as too old.
        result: encoded SampleResult; None once dropped.
    """

    generation: int
    result: bytes | None = None


class StepRecord(msgspec.Struct, array_like=True):
    """The replicated record of a step: which node generates its samples."""

    driver: str
    term: int


class Acknowledge(msgspec.Struct, forbid_unknown_fields=True):
    """A trainer has these samples for good and needs no further delivery of them."""

    cursor: str


def oldest_version(segments: list[Segment]) -> int:
    """The oldest weight version that made any token of a sample."""
    return min(segment.version for segment in segments)


def append_tokens(segments: list[Segment], version: int, start: int, count: int) -> None:
    """Extend the segments by `count` tokens that `version` made from position `start`."""
    if count == 0:
        return
    if segments and segments[-1].version == version:
        segments[-1].end = start + count
    else:
        segments.append(Segment(version, start, start + count))
