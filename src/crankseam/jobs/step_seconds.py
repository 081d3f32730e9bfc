"""How long the steps of each model take until they may end, learned from those that did."""

from __future__ import annotations

from collections import defaultdict, deque

REMEMBERED_STEPS = 5


class StepSeconds:
    """Seconds from a job's start until the groups that its trainer waits for were whole."""

    def __init__(self) -> None:
        self._seen: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=REMEMBERED_STEPS)
        )

    def ended(self, model: str, seconds: float) -> None:
        """A step of a model could end after so long."""
        self._seen[model].append(seconds)

    def earliest_s(self, model: str) -> float | None:
        """The shortest of the last few; None if none was seen."""
        seen = self._seen.get(model)
        return min(seen) if seen else None
