"""Ledger in which the holder of the usage duty keeps the counts of unreported windows.

The ledger merges the counts of many processes into one report per window. The result does not
depend on the order in which counts arrive or on repeated messages. The ledger is kept in the
coordination store; its field names are part of the stored format and must not change.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from crankseam.usage.messages import TenantCounts, UsageCounts

MAX_REPORTED_WINDOWS = 4
"""Number of reported windows that the ledger keeps, to detect counts that arrive too late. By the
time a window is dropped, the processes that sent counts for it know that it is settled."""


class UsageLedger(msgspec.Struct):
    """Counts of open windows by source, and final counts of settled windows.

    Explanation
    ===========

    A window is settled once, and its counts never change afterwards, so every holder that reports
    it reports the same counts. Requests whose counts arrive later are not reported.

    Attributes
    ==========

    next_window : the first window that is not settled.
    open : counts of windows that are not settled, by window, source and tenant.
    settled : final counts of windows that are not reported yet, by window and tenant.
    reported : final counts of the most recently reported windows, used to detect late requests.

    Examples
    ========

    >>> ledger = UsageLedger(7)
    >>> ledger.merge_counts(UsageCounts("p/1", {7: {"a": 1}}))
    0
    >>> ledger.merge_counts(UsageCounts("p/1", {7: {"a": 2}}))
    0
    >>> ledger.settle_next()
    >>> ledger.settled
    {7: {'a': 2}}
    >>> ledger.merge_counts(UsageCounts("p/1", {7: {"a": 3}}))
    1
    """

    next_window: int
    open: dict[int, dict[str, TenantCounts]] = {}
    settled: dict[int, TenantCounts] = {}
    reported: dict[int, TenantCounts] = {}

    def merge_counts(self, sent: UsageCounts) -> int:
        """Merge the counts of one process; return how many requests are known to be too late.

        Counts are cumulative, so the larger of the known and the received count is kept.
        """
        late = 0
        for window, counts in sent.windows.items():
            if window < self.next_window:
                late += self._count_unreported(window, counts)
                continue
            known = self.open.setdefault(window, {}).setdefault(sent.source, {})
            for tenant, count in counts.items():
                known[tenant] = max(count, known.get(tenant, 0))
        return late

    def _count_unreported(self, window: int, counts: TenantCounts) -> int:
        """Return by how much the counts of one source exceed a settled window's final counts.

        The final counts are totals of all sources, so this is a lower bound on the requests that
        the report lacks. Returns 0 if the ledger no longer keeps the final counts of the window.
        """
        settled = self.settled.get(window, self.reported.get(window))
        if settled is None:
            return 0
        return sum(max(0, count - settled.get(tenant, 0)) for tenant, count in counts.items())

    def settle_next(self) -> None:
        """Make the counts of `next_window` final and advance to the following window."""
        total: Counter[str] = Counter()
        for counts in self.open.pop(self.next_window, {}).values():
            total.update(counts)
        self.settled[self.next_window] = dict(sorted(total.items()))
        self.next_window += 1

    def mark_reported(self, window: int) -> None:
        """Record that the report of a window was accepted."""
        self.reported[window] = self.settled.pop(window)
        while len(self.reported) > MAX_REPORTED_WINDOWS:
            del self.reported[min(self.reported)]

    def merge_open(self, other: UsageLedger) -> int:
        """Merge the open windows of another copy of this ledger; see `merge_counts`."""
        return sum(
            self.merge_counts(UsageCounts(source, {window: counts}))
            for window, sources in other.open.items()
            for source, counts in sources.items()
        )

    def skip_to(self, window: int) -> int:
        """Advance `next_window` to `window` at least, and discard the open windows before `window`.

        Returns the number of requests in the discarded windows, which no report includes.
        """
        discarded = [one for one in self.open if one < window]
        self.next_window = max(self.next_window, window)
        return sum(
            sum(counts.values()) for one in discarded for counts in self.open.pop(one).values()
        )


def encode_ledger(ledger: UsageLedger) -> bytes:
    """Encode a ledger as MessagePack for the coordination store."""
    return msgspec.msgpack.encode(ledger)


def decode_ledger(value: bytes) -> UsageLedger:
    """Decode a stored ledger; raises msgspec.DecodeError if the value is malformed."""
    return msgspec.msgpack.decode(value, type=UsageLedger)
