"""Estimates how long samples will be, by their prompt group."""

from __future__ import annotations

from crankseam.rollout.lanes import LONG_FACTOR
from crankseam.rollout.messages import SampleRequest

MIN_SAMPLES = 50
SMOOTHING = 0.3
"""Weight of the newest length in a group's running mean."""


class LengthEstimator:
    """Running means of lengths, kept by one node over all steps."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._mean_of_all = 0.0
        self._count = 0

    def learn(self, group: str, length: int) -> None:
        """Take the length of a finished sample."""
        self._count += 1
        self._mean_of_all += (length - self._mean_of_all) / self._count
        mean = self._means.get(group)
        if mean is None:
            self._means[group] = float(length)
        else:
            self._means[group] = mean + SMOOTHING * (length - mean)

    def estimate(self, request: SampleRequest) -> float:
        """Expected tokens; a group never seen is taken to run to its maximum."""
        if request.expected_tokens:
            return float(request.expected_tokens)
        return min(self._means.get(request.group, float(request.max_tokens)), request.max_tokens)

    def long_from(self) -> int | None:
        """Tokens from which a sample counts as long; None before enough samples were seen."""
        if self._count < MIN_SAMPLES:
            return None
        return round(self._mean_of_all * LONG_FACTOR)

    def is_expected_long(self, request: SampleRequest) -> bool:
        """Whether the sample's group, or the trainer's own estimate, says that it will be long."""
        threshold = self.long_from()
        if threshold is None:
            return False
        known = request.expected_tokens or self._means.get(request.group, 0.0)
        return known >= threshold
