"""Chooses how long the caller of a refused request is asked to wait before it returns.

Inputs: the seconds in which the waiting line drains, as estimated at the refusal; the seconds until
the caller's deadline.
Rule: A random wait between `SPREAD_FRACTION` of the longest one and the longest one, which is
`LONGEST_DRAIN_FACTOR` times the drain time. The longest wait is at most `MAX_RETRY_AFTER_S` and at
most `USABLE_FRACTION` of the time that the caller has left, but never less than `MIN_LONGEST_S`.
Purpose: A caller returns when there is room for it, while it can still be answered, and not at the
same time as the others.
Logged as: `retry_after_s` of `request_rejected_early`.
Tested by: tests/overload/test_retry_after.py.
"""

from __future__ import annotations

import random

USABLE_FRACTION = 1.0 / 3.0
"""Callers wait for at most this fraction of the time that they have left, or `MIN_LONGEST_S`."""
MAX_RETRY_AFTER_S = 5.0
"""Longest wait, in seconds. An estimate further ahead is not reliable."""
MIN_LONGEST_S = 0.1
"""Shortest value, in seconds, of the longest wait: a caller that returns at once finds the same
line."""
LONGEST_DRAIN_FACTOR = 1.5
"""Longest wait as a multiple of the drain time. The mean of the waits is then the drain time."""
SPREAD_FRACTION = 1.0 / 3.0
"""Shortest wait as a fraction of the longest one. It is also kept where the wait is at a bound,
since otherwise all callers at the bound would return together."""


def choose_retry_after_s(drain_s: float, left_s: float, generator: random.Random) -> float:
    """Return the wait in seconds that the caller of a refused request is told.

    Parameters
    ==========

    drain_s : seconds in which the line drains, with the refused request at its end.
    left_s : seconds until the caller's deadline.
    """
    longest_s = min(drain_s * LONGEST_DRAIN_FACTOR, MAX_RETRY_AFTER_S, left_s * USABLE_FRACTION)
    longest_s = max(longest_s, MIN_LONGEST_S)
    return generator.uniform(longest_s * SPREAD_FRACTION, longest_s)
