"""When a run is migrated to another sampler, and which run is migrated first.

Inputs: the pace of each sampler, that is, the seconds between two events of a run there (the steady
pace is smoothed over 2 s, the recent one over 0.3 s; both are valid for 15 s); the number of events
that the run has generated; the time since its last migration.
Rule: a run requests a place at a sampler whose pace is below the recent pace of its own sampler
divided by SLOW_FACTOR. For a long run, which its step waits for, a pace below the steady pace of
its own sampler divided by LONG_RUN_SLOW_FACTOR also suffices. The run keeps its place until another
one is granted; then its old place is free for a waiting item. Among the requesting runs, the one
with the most events is served first. Among the suitable samplers with room, the one least behind
the newest weight version is chosen, and the fastest one of these.
Purpose: keeps steps short, since a step ends with its longest item, without moving a run back and
forth between two samplers.
Logged as: `item_moved`.
Tested by: tests/jobs/test_migration.py, test_dispatcher.py, test_item_run.py.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.serving.paces import SLOW_FACTOR

LONG_RUN_SLOW_FACTOR = 1.2
"""A long run, which its step waits for, migrates to a sampler that is faster by this factor than
the steady pace of its own."""
COOLDOWN_S = 1.0
"""Minimum time between two migrations of a run. Without it, runs would move back and forth between
two samplers, and each migration cuts a stream."""
REJECTED_COOLDOWN_S = 0.4
"""Minimum time until the next migration after a sampler rejected the run. Such a migration brings
no gain, and the full cooldown would keep the run at a slow sampler."""
SEARCH_INTERVAL_S = 0.1
"""Minimum time between two searches of a run for a faster sampler: a few events."""
PACE_ORDER_MAX_AGE_S = 0.2
"""Age up to which the order of samplers by pace is reused, because every search of every run needs
it."""


def max_pace_s(steady_s: float, recent_s: float, is_long: bool) -> float:
    """Pace that another sampler must stay below for a run to migrate there.

    Parameters
    ==========

    steady_s, recent_s : paces of the run's current sampler.
    is_long : whether the step is likely to wait for the run.

    Examples
    ========

    >>> [round(max_pace_s(0.066, 0.054, is_long), 3) for is_long in (False, True)]
    [0.03, 0.055]
    """
    max_s = recent_s / SLOW_FACTOR
    if is_long:
        max_s = max(max_s, steady_s / LONG_RUN_SLOW_FACTOR)
    return max_s


@dataclass(slots=True)
class MigrationTimer:
    """Limits how often a run migrates and searches for a faster sampler; all times are monotonic.

    Examples
    ========

    >>> timer = MigrationTimer()
    >>> timer.migrated(10.0)
    >>> timer.may_migrate(10.9), timer.may_migrate(11.0)
    (False, True)
    """

    migrated_at: float = float("-inf")
    next_search_at: float = float("-inf")

    def may_migrate(self, now: float) -> bool:
        """Whether the cooldown after the last migration has passed."""
        return now - self.migrated_at >= COOLDOWN_S

    def begin_search_if_due(self, now: float) -> bool:
        """Whether a search for a faster sampler is due; if so, schedule the next one."""
        if now < self.next_search_at:
            return False
        self.next_search_at = now + SEARCH_INTERVAL_S
        return True

    def migrated(self, now: float) -> None:
        """Start the cooldown: the run leaves its sampler for another one."""
        self.migrated_at = now

    def rejected(self, now: float) -> None:
        """Shorten the cooldown, since the sampler rejected the run."""
        self.migrated_at = min(self.migrated_at, now - COOLDOWN_S + REJECTED_COOLDOWN_S)
