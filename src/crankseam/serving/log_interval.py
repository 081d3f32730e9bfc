"""Limits how often a recurring problem of one subject is logged.

A back end sends a load report with each answer, and another writer may write an unusable entry as
often: a line for each would fill the log.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

LOG_INTERVAL_S = 30.0
"""Seconds between two log lines about one subject."""
MAX_REMEMBERED_SUBJECTS = 1024
"""Number of subjects that are remembered; those logged longest ago are forgotten."""


@dataclass(slots=True)
class _Problems:
    """Problems of one subject since the last log line about them."""

    logged_at: float
    unlogged: int = 0


class LogInterval:
    """Decides for each problem of a subject whether it is logged.

    Parameters
    ==========

    clock : returns monotonic seconds.

    Examples
    ========

    >>> times = iter([0.0, 1.0, 40.0])
    >>> interval = LogInterval(lambda: next(times))
    >>> [interval.count_if_due("a") for _ in range(3)]
    [1, 0, 2]
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._problems: OrderedDict[str, _Problems] = OrderedDict()

    def count_if_due(self, subject: str) -> int:
        """Record a problem; returns how many the next log line covers, 0 if none is due yet."""
        now = self._clock()
        known = self._problems.get(subject)
        if known is not None and now - known.logged_at < LOG_INTERVAL_S:
            known.unlogged += 1
            return 0
        self._problems[subject] = _Problems(now)
        self._problems.move_to_end(subject)
        if len(self._problems) > MAX_REMEMBERED_SUBJECTS:
            self._problems.popitem(last=False)
        return known.unlogged + 1 if known is not None else 1

    def remembered(self) -> int:
        """Return the number of subjects that are remembered."""
        return len(self._problems)
