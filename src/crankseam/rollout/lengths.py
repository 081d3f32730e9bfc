"""Estimates the length of samples, in tokens, by their prompt group.

For each group, the estimator keeps an exponential moving average of the lengths of the samples that
this node has finished. An estimate that the trainer sends with a sample takes precedence.
"""

from __future__ import annotations

from crankseam.rollout.messages import SampleRequest

SMOOTHING_FACTOR = 0.3
"""Weight of the newest length in a group's exponential moving average."""


class LengthEstimator:
    """Moving averages of sample lengths, kept by one node over all steps of all trainers."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record_length(self, group: str, length: int) -> None:
        """Update the average of a group with the length of a finished sample."""
        mean = self._means.get(group)
        if mean is None:
            self._means[group] = float(length)
        else:
            self._means[group] = mean + SMOOTHING_FACTOR * (length - mean)

    def estimate(self, request: SampleRequest) -> float:
        """Return the expected number of tokens.

        Samples of a group without a finished sample are expected to reach their `max_tokens`.
        """
        if request.expected_tokens:
            return float(request.expected_tokens)
        return min(self._means.get(request.group, float(request.max_tokens)), request.max_tokens)
