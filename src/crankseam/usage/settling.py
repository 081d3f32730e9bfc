"""Rules for when the counts of a window become final and when the ledger is saved.

Inputs: seconds since the end of a window by the corrected time of day, the report deadline in
seconds after the end of a window, and the size of the ledger in bytes.
Rule: a window is settled once a fixed fraction of the report deadline has passed since its end.
When no readable ledger is stored, the holder starts with the first window that is not yet due for
settlement, or with the oldest window for which processes have already sent counts, whichever is
earlier. The ledger is saved when a window is settled and at intervals in between; the interval
grows with the size of the ledger.
Purpose: counts of requests with slow answers arrive late and are still included, and the rest of
the deadline is left for a change of holder and for failed calls. If all processes are lost at
once, only the counts since the last save are lost with them.
Logged as: `usage_settled`, `usage_lost`.
Tested by: tests/usage/test_settling.py and tests/usage/test_reporter.py.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

SETTLE_AFTER_FRACTION = 0.35
"""Fraction of the report deadline after which a window is settled."""
RESEND_WAIT_S = 1.0
"""Time for which a new holder settles no window, while the other processes resend the counts that
they had sent to the previous holder."""
MIN_SAVE_INTERVAL_S = 0.7
"""Shortest interval between two saves of new counts. It bounds the counts that are lost when all
processes are lost at once."""
MAX_SAVED_BYTES_PER_S = 30_000
"""Highest average rate at which new counts are saved; a large ledger is saved less often. Each of
420 processes has 19,000 bytes per second for control traffic, and only one of them saves."""

SecondsSinceEnd = Callable[[int], float]
"""Returns the seconds since the end of a window; negative before its end."""


def count_due_windows(
    next_window: int, seconds_since_end: SecondsSinceEnd, deadline_s: float
) -> int:
    """Return how many consecutive windows, starting at `next_window`, are due for settlement."""
    due = 0
    while seconds_since_end(next_window + due) >= SETTLE_AFTER_FRACTION * deadline_s:
        due += 1
    return due


def first_unsettled(
    current_window: int,
    seconds_since_end: SecondsSinceEnd,
    deadline_s: float,
    counted_windows: Iterable[int],
) -> int:
    """Return the first window that a holder settles when no readable ledger is stored.

    Parameters
    ==========

    current_window : the window that contains the current time.
    counted_windows : windows for which processes have already sent counts.
    """
    window = current_window
    while seconds_since_end(window - 1) < SETTLE_AFTER_FRACTION * deadline_s:
        window -= 1
    return min([window, *counted_windows])


def save_interval_s(size_bytes: int) -> float:
    """Return the seconds from one save of a ledger of this size to the next."""
    return max(MIN_SAVE_INTERVAL_S, size_bytes / MAX_SAVED_BYTES_PER_S)
