"""What the holder of the usage duty keeps of the windows that are not reported yet.

Owns how counts of many processes become one report: sent twice or in another order they make the
same. Kept in the store; the field names are part of its bytes and stay.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from crankseam.usage.messages import TenantCounts, UsageCounts

REPORTED_KEPT = 4
"""Reported windows that are remembered: whoever counted has heard by then that they are settled.
Origin of the figure not recorded."""


class UsageLedger(msgspec.Struct):
    """Counts of open windows by source, and the reports of settled ones.

    Explanation
    ===========

    A window is settled once: from then on its counts never change, so that whoever reports it
    reports the same. What comes later is lost.

    Attributes
    ==========

    next_window : the first window that is not settled.
    open : counts by window, source and tenant.
    settled : what is to be reported, by window.
    reported : the last windows that were, to tell what comes too late.

    Examples
    ========

    >>> ledger = UsageLedger(7)
    >>> ledger.take(UsageCounts("p/1", {7: {"a": 1}}))
    0
    >>> ledger.take(UsageCounts("p/1", {7: {"a": 2}}))
    0
    >>> ledger.settle_next()
    >>> ledger.settled
    {7: {'a': 2}}
    >>> ledger.take(UsageCounts("p/1", {7: {"a": 3}}))
    1
    """

    next_window: int
    open: dict[int, dict[str, TenantCounts]] = {}
    settled: dict[int, TenantCounts] = {}
    reported: dict[int, TenantCounts] = {}

    def take(self, sent: UsageCounts) -> int:
        """Take what a process counted; how many requests came too late to be reported."""
        late = 0
        for window, counts in sent.windows.items():
            if window < self.next_window:
                late += self._missing(window, counts)
                continue
            known = self.open.setdefault(window, {}).setdefault(sent.source, {})
            for tenant, count in counts.items():
                known[tenant] = max(count, known.get(tenant, 0))
        return late

    def _missing(self, window: int, counts: TenantCounts) -> int:
        """So many of these are not in the window's report, if that is still known."""
        settled = self.settled.get(window, self.reported.get(window))
        if settled is None:
            return 0
        return sum(max(0, count - settled.get(tenant, 0)) for tenant, count in counts.items())

    def settle_next(self) -> None:
        """Settle the first open window."""
        total: Counter[str] = Counter()
        for counts in self.open.pop(self.next_window, {}).values():
            total.update(counts)
        self.settled[self.next_window] = dict(sorted(total.items()))
        self.next_window += 1

    def mark_reported(self, window: int) -> None:
        """The report of a window was taken."""
        self.reported[window] = self.settled.pop(window)
        while len(self.reported) > REPORTED_KEPT:
            del self.reported[min(self.reported)]

    def merge_open(self, other: UsageLedger) -> int:
        """Take the counts that another copy of this ledger knows of open windows; see take."""
        return sum(
            self.take(UsageCounts(source, {window: counts}))
            for window, sources in other.open.items()
            for source, counts in sources.items()
        )

    def skip_to(self, window: int) -> int:
        """Give up the windows before this one; how many requests no report counts."""
        given_up = [one for one in self.open if one < window]
        self.next_window = max(self.next_window, window)
        return sum(
            sum(counts.values()) for one in given_up for counts in self.open.pop(one).values()
        )


def encode_ledger(ledger: UsageLedger) -> bytes:
    """As the store keeps it."""
    return msgspec.msgpack.encode(ledger)


def decode_ledger(value: bytes) -> UsageLedger:
    """Raises msgspec.DecodeError."""
    return msgspec.msgpack.decode(value, type=UsageLedger)
