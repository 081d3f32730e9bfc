"""Messages of the trainer interface, and replicated records of steps and samples.

This module defines the JSON documents of the trainer interface and the encoding of the stored
records. Some types are encoded by field name and others by field order, so both must stay.
"""

from __future__ import annotations

import msgspec


class SampleRequest(msgspec.Struct):
    """One sample to generate.

    Attributes
    ==========

    index : position in the step, from 0.
    group : name of the prompt group; samples of one group tend to have similar lengths.
    expected_tokens : the trainer's estimate of the length; 0 if it has none.
    """

    index: int
    prompt: str
    group: str = ""
    max_tokens: int = 1024
    expected_tokens: int = 0


class OpenStep(msgspec.Struct, forbid_unknown_fields=True):
    """A trainer's request to generate the samples of one step.

    Attributes
    ==========

    opened_at_ms : time at which the trainer first opened the step. A trainer that opens the step
        again must send the same value.
    """

    step: int
    opened_at_ms: int
    samples: list[SampleRequest]


class Segment(msgspec.Struct, array_like=True):
    """Tokens [start, end) of a sample, and the weight version reported by their sampler."""

    version: int
    start: int
    end: int


class SampleResult(msgspec.Struct):
    """A complete sample as it is delivered to the trainer, on one JSON line.

    Attributes
    ==========

    tokens : token ids, shape (length,).
    segments : weight versions of the tokens [0, length), in order and without gaps.
    cursor : the trainer's cursor after it has received this sample.
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

    Attributes
    ==========

    generation : incremented each time a committed result is dropped because it is too old.
    result : the encoded SampleResult; None after it was dropped.
    """

    generation: int
    result: bytes | None = None


class StepRecord(msgspec.Struct, array_like=True):
    """The replicated record of a step, which names its driver.

    Attributes
    ==========

    driver : identity of the node that generates the samples of the step.
    term : incremented each time another node becomes the driver.
    """

    driver: str
    term: int


class Acknowledge(msgspec.Struct, forbid_unknown_fields=True):
    """States that the trainer has stored these samples and does not need them delivered again."""

    cursor: str


def oldest_version(segments: list[Segment]) -> int:
    """Return the oldest weight version that generated any token of a sample."""
    return min(segment.version for segment in segments)


def append_tokens(segments: list[Segment], version: int, start: int, count: int) -> None:
    """Extend the segments by `count` tokens that `version` generated, from position `start` on."""
    if count == 0:
        return
    if segments and segments[-1].version == version:
        segments[-1].end = start + count
    else:
        segments.append(Segment(version, start, start + count))
