"""Limits of the memory budget, from the memory of the machine.

Inputs: the setting `memory_megabytes`, which does not change while the process runs. Without it,
the memory that the operating system tells, but at most `DEFAULT_MEGABYTES`.
Rule: the process itself needs `PROCESS_BASE_BYTES`. Of the rest, `BUDGET_FRACTION` is the budget,
and bodies of requests may fill `BODY_FRACTION` of the budget.
Purpose: a process over the memory of its machine is killed, together with all its requests. The
part that bodies can't fill lets answers through, whose requests then return their bytes.
Logged as: `memory_short` (limit).
Tested by: tests/memory/test_limits.py.
"""

from __future__ import annotations

import os
from typing import NamedTuple

DEFAULT_MEGABYTES = 512.0
"""Memory, in units of 2**20 bytes, that a process takes for its own at most if the settings do not
tell it: other programs may share the machine."""
BYTES_PER_MEGABYTE = 2**20
PROCESS_BASE_BYTES = 80 * BYTES_PER_MEGABYTE
"""Memory of a process without bodies and answers: the program, its view of the deployment, the
texts of its jobs and the buffers of its connections."""
BUDGET_FRACTION = 0.75
"""The remainder is for what the budget does not count, such as the buffers of connections and the
fragmentation of the heap."""
BODY_FRACTION = 0.75
MIN_BUDGET_BYTES = 8 * BYTES_PER_MEGABYTE
"""Budget of a machine that is smaller than the base need: most requests are small, and are served
all the same."""


class MemoryLimits(NamedTuple):
    """Number of bytes that may be reserved.

    Attributes
    ==========

    total_bytes : by bodies and answers together.
    body_bytes : by bodies.
    unbudgeted_bytes : number of bytes that are left for what the budget does not count.
    """

    total_bytes: int
    body_bytes: int
    unbudgeted_bytes: int = 0


def limits_from_settings(memory_megabytes: float | None) -> MemoryLimits:
    """Return the limits on a machine with this much memory; None if the settings do not tell it.

    Examples
    ========

    >>> [size // 2**20 for size in limits_from_settings(240)]
    [120, 90, 40]
    >>> limits_from_settings(None) <= limits_from_settings(DEFAULT_MEGABYTES)
    True
    """
    if memory_megabytes is None:
        memory_megabytes = min(DEFAULT_MEGABYTES, _machine_megabytes())
    spare_bytes = memory_megabytes * BYTES_PER_MEGABYTE - PROCESS_BASE_BYTES
    total_bytes = max(MIN_BUDGET_BYTES, int(spare_bytes * BUDGET_FRACTION))
    unbudgeted_bytes = max(0, int(spare_bytes) - total_bytes)
    return MemoryLimits(total_bytes, int(total_bytes * BODY_FRACTION), unbudgeted_bytes)


def _machine_megabytes() -> float:
    """Memory of the machine as the operating system tells it."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MEGABYTE
