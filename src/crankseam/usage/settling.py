"""When does a window's count become final, and when is the ledger saved?

Inputs: seconds since a window ended, by the corrected time of day; seconds within which a report is
due; bytes of the ledger.
Rule: a window is settled once a share of the time in which its report is due has passed since its
end. The first holder ever begins with the first window that is not due to be settled, or with the
oldest that others have sent counts of. The ledger is saved when a window is settled, and every so
often in between, a large one less often.
Protects: counts of requests that take long to answer come late, and the rest of the time is left
for a holder that goes and calls that fail; the loss of all processes at once takes little.
Shown by: `usage_settled`, `usage_lost`. Held by: tests/usage/test_settling.py, test_reporter.py.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

SETTLED_AFTER_SHARE = 0.35
"""A window is settled after this share of the time in which its report is due. Origin of the
figure not recorded."""
RESENT_AFTER_S = 1.0
"""A new holder settles nothing for so long: the others send it what the last one knew. Origin of
the figure not recorded."""
SAVED_EACH_S = 0.7
"""What was counted is saved so often, so that the loss of all processes at once takes little.
Origin of the figure not recorded."""
SAVED_BYTES_PER_S = 30_000
"""A large ledger is saved less often: each of 420 processes has 19,000 bytes a second for control,
and only one of them saves. Origin of the figure not recorded."""

SinceEnd = Callable[[int], float]
"""Seconds since a window ended; negative before that."""


def windows_due(next_window: int, since_end_of: SinceEnd, late_s: float) -> int:
    """How many windows are to be settled now, from the first that is not settled on."""
    due = 0
    while since_end_of(next_window + due) >= SETTLED_AFTER_SHARE * late_s:
        due += 1
    return due


def first_unsettled(
    current: int, since_end_of: SinceEnd, late_s: float, counted: Iterable[int]
) -> int:
    """The window with which the very first holder begins.

    Parameters
    ==========

    current : the window that holds this moment.
    counted : windows of which others have sent counts before.
    """
    window = current
    while since_end_of(window - 1) < SETTLED_AFTER_SHARE * late_s:
        window -= 1
    return min([window, *counted])


def save_pause_s(size_bytes: int) -> float:
    """Seconds until a ledger that was written now is saved again."""
    return max(SAVED_EACH_S, size_bytes / SAVED_BYTES_PER_S)
