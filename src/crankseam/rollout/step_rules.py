"""Decides when the samples of a step may start, and which sample gets the next free slot.

Inputs: the number of missing samples of each earlier step of the trainer, the trainer's
`idle_weight` and `sample_order`, and the expected length of each sample in tokens; all as currently
known to this node.
Rule: A step starts once each earlier step lacks at most the fraction `idle_weight` of its samples,
and never before a sampler serves a version within the staleness bound. Free slots go to the
earliest step first; within a step, they go to the sample with the longest expected length, or to
the samples in the order given by the trainer.
Purpose: The trainer waits for the last samples of its earliest step, so the longest sample must not
be the last one to start. `idle_weight` sets the trade-off between the trainer's idle time and the
staleness of samples (figures in docs/design/08-steps.md and docs/operators/idle-and-staleness.md).
Logged as: the `sample` decisions in `crankseam explain`.
Tested by: tests/rollout/test_step_rules.py, tests/rollout/test_steps.py.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.config.kinds import Trainer


@dataclass(frozen=True, order=True)
class QueuePosition:
    """Position of a sample in the queue for slots; lower positions are served first.

    Attributes
    ==========

    step : number of the step.
    within_step : index of the sample, or its negated expected length.
    """

    step: int
    within_step: float


def queue_position(
    trainer: Trainer, step: int, index: int, expected_tokens: float
) -> QueuePosition:
    """Return the queue position of a sample, according to the trainer's `sample_order`."""
    if trainer.sample_order == "as_given":
        return QueuePosition(step, index)
    return QueuePosition(step, -expected_tokens)


def allows_next_step(missing: int, samples: int, idle_weight: float) -> bool:
    """Whether a step lacks at most the fraction `idle_weight` of its samples.

    The next step may start only if this holds for all earlier steps.
    """
    return missing <= idle_weight * samples
