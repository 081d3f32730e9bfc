"""Tests when the samples of a step may start, and in which order."""

from crankseam.config.kinds import Trainer
from crankseam.rollout.step_rules import allows_next_step, queue_position

LONGEST_FIRST = Trainer(kind="Trainer", name="t", pool="p", staleness_bound=1)
AS_GIVEN = LONGEST_FIRST.model_copy(update={"sample_order": "as_given"})


def test_earlier_steps_go_first_whatever_the_lengths():
    for trainer in (LONGEST_FIRST, AS_GIVEN):
        early = queue_position(trainer, step=1, index=9, expected_tokens=1.0)
        late = queue_position(trainer, step=2, index=0, expected_tokens=1000.0)
        assert early < late


def test_within_a_step_the_longest_go_first():
    short = queue_position(LONGEST_FIRST, step=1, index=0, expected_tokens=10.0)
    long = queue_position(LONGEST_FIRST, step=1, index=1, expected_tokens=20.0)
    assert long < short


def test_as_given_means_by_index():
    first = queue_position(AS_GIVEN, step=1, index=0, expected_tokens=10.0)
    second = queue_position(AS_GIVEN, step=1, index=1, expected_tokens=20.0)
    assert first < second


def test_the_next_step_starts_once_no_more_than_the_share_is_missing():
    assert allows_next_step(missing=6, samples=12, idle_weight=0.5)
    assert not allows_next_step(missing=7, samples=12, idle_weight=0.5)
    assert allows_next_step(missing=12, samples=12, idle_weight=1.0)
    assert not allows_next_step(missing=1, samples=12, idle_weight=0.0)
