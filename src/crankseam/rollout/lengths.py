"""Estimates how long samples will be, by their prompt group."""

from __future__ import annotations

from crankseam.rollout.messages import SampleRequest

SMOOTHING = 0.3
"""Weight of the newest length in a group's running mean."""

TAIL_PRIORITY = 0
DEFAULT_PRIORITY = 10
TAIL_SAMPLES = 8
"""So few samples missing: they end the step, and run before others."""


class LengthEstimator:
    """Running means of lengths, kept by one node over all steps."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def learn(self, group: str, length: int) -> None:
        """Take the length of a finished sample."""
        mean = self._means.get(group)
        if mean is None:
            self._means[group] = float(length)
        else:
            self._means[group] = mean + SMOOTHING * (length - mean)

    def estimate(self, request: SampleRequest) -> float:
        """Expected tokens; a group never seen is taken to run to its maximum."""
        return min(self._means.get(request.group, float(request.max_tokens)), request.max_tokens)

    def longest_first(self, requests: list[SampleRequest]) -> list[SampleRequest]:
        """The order in which to start samples, so that long ones do not start last."""
        return sorted(requests, key=self.estimate, reverse=True)

    def priority(self, request: SampleRequest, remaining: int) -> int:
        """Priority at a sampler: lower runs first."""
        return TAIL_PRIORITY if remaining <= TAIL_SAMPLES else DEFAULT_PRIORITY
