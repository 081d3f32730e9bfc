"""Counts of usage as processes send them to the holder of the duty, and who takes its reports.

The counts travel between processes by their field names, which stay. `UsageSink` is free of any
wire: an adapter implements it by the calls of its platform.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

TenantCounts = dict[str, int]
"""Requests that began, by tenant."""


class UsageCounts(msgspec.Struct, frozen=True):
    """All that a process counted in windows that are not settled, as far as it knows.

    Counts only grow, so it does no harm to send the same ones twice or in another order.

    Attributes
    ==========

    source : one life of one process.
    windows : counts by window.
    """

    source: str
    windows: dict[int, TenantCounts]


class UsageReceipt(msgspec.Struct, frozen=True):
    """What the asked process made of them.

    Attributes
    ==========

    is_taken : whether it holds the duty and took them.
    next_window : all windows before this one are settled.
    """

    is_taken: bool = False
    next_window: int = 0


class UsageSink(Protocol):
    """Takes the reports."""

    async def report_usage(
        self, window: int, counts: TenantCounts, holder: str, fence: int
    ) -> None:
        """Report one window; the same report may be repeated.

        Raises
        ======

        DutyFenced : a newer holder has acted.
        DutyRefused : nothing was done.
        DutyUnanswered : it may have been taken, or may be seconds later.
        """
