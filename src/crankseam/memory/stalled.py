"""Decides which caller is cut off because it neither reads its answer nor sends its body.

Inputs: whether the memory budget is short; for each transfer of this process, when its position was
last seen to move, at most `CHECK_INTERVAL_S` late. Times are in seconds of the monotonic clock.
Rule: while the budget is short, the transfer that has not moved for longest is cut off, one at each
check, if it has not moved for `STALLED_READER_S`. While the budget is not short, nobody is.
Purpose: callers that stopped reading or sending do not keep out those that wait for room.
Logged as: `reader_cut_off`.
Tested by: tests/memory/test_stalled.py.
"""

from __future__ import annotations

from collections.abc import Iterable

from crankseam.memory.transfers import Transfer

STALLED_READER_S = 2.0
"""Seconds without any progress after which a transfer counts as stalled. A link that loses packets
resumes sooner."""
CHECK_INTERVAL_S = 0.25
"""Seconds between two checks of the transfers."""


def longest_stalled(transfers: Iterable[Transfer], is_short: bool, now: float) -> Transfer | None:
    """Return the transfer to cut off now; None if none is."""
    if not is_short:
        return None
    stalled = min(transfers, key=lambda transfer: transfer.moved_at, default=None)
    if stalled is None or now - stalled.moved_at < STALLED_READER_S:
        return None
    return stalled
