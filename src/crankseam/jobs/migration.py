"""When a run is moved to another sampler, and which run goes first.

Inputs: the paces of samplers (seconds between events; steady over 2 s, recent over 0.3 s, believed
for 15 s), the events that the run has made, the time since its last move.
Rule: a run asks for a place at a sampler that is faster by SLOW_FACTOR than its own is now; a long
run, which its step waits for, also for one that is faster by LONG_RUN_SLOW_FACTOR than its own is
steadily. It keeps its place until one is granted there, and leaves it then to an item that waits.
Of runs that ask, the one with the most events goes first; of samplers with room, the one least
behind the newest weight version, then the fastest.
Protects: the length of a step, which ends with its longest item; two samplers do not pass a run to
and fro.
Shown by: `item_moved`. Held by: tests/jobs/test_migration.py, test_dispatcher.py, test_item_run.py.
"""

from __future__ import annotations

from dataclasses import dataclass

from crankseam.serving.paces import SLOW_FACTOR

LONG_RUN_SLOW_FACTOR = 1.2
"""Long runs, which the step waits for, leave for a sampler that is faster by this.
Measured only together with the order of items."""
COOLDOWN_S = 1.0
"""A run that was moved stays for so many seconds, so that two samplers do not pass it to and fro:
472 streams cut in a trial without it. 1 s is a choice, not measured by itself."""
REJECTED_COOLDOWN_S = 0.4
"""The same after a sampler rejected the run: nothing was gained by that move, and the whole
cooldown held runs at slow samplers (it showed no gain by itself)."""
LOOK_S = 0.1
"""Seconds between two looks of a run for a faster sampler: a few events. A choice, not measured by
itself."""
FASTEST_KEPT_S = 0.2
"""Seconds for which the order of samplers by pace is kept: each look of each run asks for it. A
choice, not measured by itself."""


def longest_pace_s(steady_s: float, recent_s: float, is_long: bool) -> float:
    """Seconds between events that another sampler must stay below for a run to move there.

    Parameters
    ==========

    steady_s, recent_s : paces of the sampler where the run is.
    is_long : whether the step is likely to wait for the run.

    Examples
    ========

    >>> longest_pace_s(0.066, 0.054, False), longest_pace_s(0.066, 0.054, True)
    (0.03, 0.055)
    """
    longest_s = recent_s / SLOW_FACTOR
    if is_long:
        longest_s = max(longest_s, steady_s / LONG_RUN_SLOW_FACTOR)
    return longest_s


@dataclass(slots=True)
class MigrationTimer:
    """How soon a run may move, and look for a place to move to; all times are monotonic.

    Examples
    ========

    >>> timer = MigrationTimer()
    >>> timer.moved(10.0)
    >>> timer.may_move(10.9), timer.may_move(11.0)
    (False, True)
    """

    moved_at: float = float("-inf")
    look_again_at: float = float("-inf")

    def may_move(self, now: float) -> bool:
        """Whether the last move is long enough ago."""
        return now - self.moved_at >= COOLDOWN_S

    def take_look(self, now: float) -> bool:
        """Whether to look for a faster sampler now; if so, the next look is due later."""
        if now < self.look_again_at:
            return False
        self.look_again_at = now + LOOK_S
        return True

    def moved(self, now: float) -> None:
        """The run leaves its sampler."""
        self.moved_at = now

    def rejected(self, now: float) -> None:
        """The sampler did not take the run: the next move may come soon."""
        self.moved_at = min(self.moved_at, now - COOLDOWN_S + REJECTED_COOLDOWN_S)
