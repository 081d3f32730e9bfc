"""Clocks of a process: for its own pacing, for time limits shared with others, and for dates.

While a machine is suspended, its monotonic clock and the timers of the event loop stand still, but
time passes for all other processes. Periods that only pace this process may use the monotonic
clock. Time limits on which other processes rely, or that this process derives from what another
process told it (leases, pauses between holders, the age of a confirmation, a caller's deadline),
must include suspended time. The wall clock can be set forward or back: it dates identifiers and
messages, and never decides whether a lease is valid.
"""

from __future__ import annotations

import time

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Systems without `CLOCK_BOOTTIME` fall back to their monotonic clock."""


def monotonic_s() -> float:
    """Seconds of the monotonic clock, which stands still while the machine is suspended."""
    return time.monotonic()


def boottime_s() -> float:
    """Seconds of a clock that includes time spent suspended and is never set back."""
    return time.clock_gettime(_BOOT_CLOCK)


def wall_ms() -> int:
    """Milliseconds since the Unix epoch, by the machine's wall clock."""
    return time.time_ns() // 1_000_000
