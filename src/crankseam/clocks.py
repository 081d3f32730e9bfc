"""The clocks of a process: one that paces it, one for what it promised to others, one for dates.

A machine may be suspended. Its steady clock then stands still, and so do the timers of the event
loop; the time of all others goes on. What only paces this process may stand still with it. What
others rely on for a time, or what this process relies on for a time since others said so (leases,
pauses between holders, the age of a confirmation, a caller's deadline), counts that time too. Wall
time may be set back and forth: it dates ids and news and never judges a lease.
"""

from __future__ import annotations

import time

_PROMISES = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Where a system has no such clock, its steady clock has to do."""


def paced_s() -> float:
    """Seconds of the steady clock: stands still while the machine is suspended."""
    return time.monotonic()


def promised_s() -> float:
    """Seconds that also pass while the machine is suspended; never set back."""
    return time.clock_gettime(_PROMISES)


def wall_ms() -> int:
    """Milliseconds since 1970 by the machine's own clock."""
    return time.time_ns() // 1_000_000
