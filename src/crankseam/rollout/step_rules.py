"""When may a step's samples start, and which of them gets the next free place?

Inputs: how many samples each earlier step of the trainer still lacks, the trainer's `idle_weight`
and `sample_order`, the expected length of each sample in tokens; all as this node knows them now.
Rule: a step starts once each earlier one lacks no more than the share `idle_weight` of its samples,
and never before a sampler serves a version within the staleness bound. Places go to the earliest
step first, and within a step to the longest expected sample or in the given order.
Protects: a trainer waits for the last samples of its earliest step, so the longest one must not be
the one that starts last; the share weighs the trainer's idle time against staleness
(docs/design/08-steps.md, docs/operators/idle-and-staleness.md have the figures).
Shown by: the `sample` decisions in `crankseam explain`. Held by: tests/rollout/test_step_rules.py,
tests/rollout/test_steps.py.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.config.kinds import Trainer


@dataclass(frozen=True, order=True)
class QueuePosition:
    """Where a sample waits for a place: lower ones are served first.

    Attributes
    ==========

    step : number of the step.
    within_step : the sample's index, or its expected length with the sign reversed.
    """

    step: int
    within_step: float


def queue_position(
    trainer: Trainer, step: int, index: int, expected_tokens: float
) -> QueuePosition:
    """Where one sample of a step waits."""
    if trainer.sample_order == "as_given":
        return QueuePosition(step, index)
    return QueuePosition(step, -expected_tokens)


def is_far_enough(missing: int, samples: int, idle_weight: float) -> bool:
    """Whether a step lacks so few of its samples that the next one may start."""
    return missing <= idle_weight * samples
