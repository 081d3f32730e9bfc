"""Estimates how long samples will be, by their prompt group.

Owns a running mean a group, in tokens, of what this node saw end. A trainer's own estimate goes
first.
"""

from __future__ import annotations

from crankseam.rollout.messages import SampleRequest

SMOOTHING = 0.3
"""Weight of the newest length in a group's running mean. Origin not recorded."""


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
        if request.expected_tokens:
            return float(request.expected_tokens)
        return min(self._means.get(request.group, float(request.max_tokens)), request.max_tokens)
