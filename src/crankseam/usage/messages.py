"""Usage messages that processes send to the holder of the usage duty, and the sink for reports.

The field names of the messages are part of the wire format and must not change. `UsageSink` does
not depend on a wire format: an adapter implements it with the API calls of its platform.
"""

from __future__ import annotations

from typing import Protocol

import msgspec

TenantCounts = dict[str, int]
"""Number of requests that began, by tenant."""


class UsageCounts(msgspec.Struct, frozen=True):
    """Cumulative counts of one process for all windows that it does not know to be settled.

    Counts only grow, so messages may be repeated or arrive out of order.

    Attributes
    ==========

    source : identifies the process and its current run; a restarted process has a new source.
    windows : counts by window and tenant.
    """

    source: str
    windows: dict[int, TenantCounts]


class UsageReceipt(msgspec.Struct, frozen=True):
    """Response to `UsageCounts`.

    Attributes
    ==========

    is_taken : whether the receiver holds the usage duty and has accepted the counts.
    next_window : first window that is not settled; all earlier windows are settled.
    """

    is_taken: bool = False
    next_window: int = 0


class UsageSink(Protocol):
    """Destination of usage reports."""

    async def report_usage(
        self, window: int, counts: TenantCounts, holder: str, fence: int
    ) -> None:
        """Report the counts of one window; the call may be repeated with the same counts.

        Raises
        ======

        DutyFenced : the sink has already accepted a call with a higher fencing token.
        DutyRefused : the report was rejected and has had no effect.
        DutyUnanswered : no answer came; the report may have taken effect, or may do so seconds
            later.
        """
