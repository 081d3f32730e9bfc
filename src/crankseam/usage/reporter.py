"""Settles and reports usage windows on the process that holds the usage duty.

The reporter owns the ledger. It reads the ledger from the coordination store under each new fencing
token, and writes it only on the condition that this process still holds the duty, so two holders
never settle the same window. It depends on the duty, on the corrected time of day and on the
counters of all processes, which send it their counts. The rules are in `crankseam.usage.settling`.
"""

from __future__ import annotations

import asyncio
import logging
import time

import msgspec

from crankseam.backoff import Backoff
from crankseam.coordination.duty import Duty, DutyFenced, DutyRefused, DutyUnanswered
from crankseam.coordination.interface import (
    ABSENT,
    Condition,
    CoordinationStore,
    Entry,
    Put,
    Transaction,
    TransactionConflict,
)
from crankseam.errors import KeyValueError
from crankseam.usage.clock import TrueClock
from crankseam.usage.counter import MAX_WINDOWS
from crankseam.usage.ledger import UsageLedger, decode_ledger, encode_ledger
from crankseam.usage.messages import UsageCounts, UsageReceipt, UsageSink
from crankseam.usage.settling import (
    RESEND_WAIT_S,
    count_due_windows,
    first_unsettled,
    save_interval_s,
)

log = logging.getLogger(__name__)

LEDGER_KEY = "crankseam/usage/ledger"
"""The key is outside the state prefix, which every process watches, because only the holder reads
the ledger."""
POLL_INTERVAL_S = 0.2
"""Pause between two checks for windows to settle or report and for changes to save."""
RETRY_BASE_S = 0.1
"""Upper bound of the random delay after the first failed report; it doubles with each further
failure."""
RETRY_CAP_S = 0.8
"""Limit to which the upper bound of the delay grows."""


class UsageReporter:
    """Settles and reports usage windows; runs in every process, but only the duty holder acts.

    Parameters
    ==========

    duty : the usage duty; only its holder settles and reports windows.
    deadline_s : seconds after the end of a window within which its report is due.

    Attributes
    ==========

    reported : number of windows whose reports were accepted.
    reported_late : number of these that were accepted after `deadline_s`.
    lost : number of requests that no report includes.
    """

    def __init__(
        self,
        store: CoordinationStore,
        duty: Duty,
        clock: TrueClock,
        sink: UsageSink,
        process: str,
        deadline_s: float,
    ) -> None:
        self._store = store
        self._duty = duty
        self._clock = clock
        self._sink = sink
        self._process = process
        self._deadline_s = deadline_s
        self._fence: int | None = None
        """Fencing token under which the ledger was read; None if it must be read again."""
        self._resend_fence = 0
        """Fencing token for which `_settle_not_before` was set, so that the wait for resent counts
        starts once per token."""
        self._ledger: UsageLedger | None = None
        self._revision = ABSENT
        self._early_counts = UsageLedger(0)
        """Counts received before the ledger was read."""
        self._has_unsaved_changes = False
        """Whether the ledger in memory may contain changes that the store does not have yet."""
        self._save_not_before = float("-inf")
        self._settle_not_before = float("-inf")
        self._report_not_before = float("-inf")
        """Monotonic times in seconds before which no save, settlement or report starts."""
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        self.reported = 0
        self.reported_late = 0
        self.lost = 0

    # --- counts of all processes

    async def serve(self, raw: bytes) -> bytes:
        """Handle the encoded counts of any process, including this one; return the receipt."""
        return msgspec.msgpack.encode(self._receive(msgspec.msgpack.decode(raw, type=UsageCounts)))

    def _receive(self, counts: UsageCounts) -> UsageReceipt:
        if not self._duty.is_holder():
            return UsageReceipt()
        if self._ledger is None:
            self._early_counts.merge_counts(counts)
            return UsageReceipt(True)
        late = self._ledger.merge_counts(counts)
        if late:
            self._record_lost(late, "received after the window was settled")
        self._has_unsaved_changes = True
        return UsageReceipt(True, self._ledger.next_window)

    def _record_lost(self, requests: int, cause: str) -> None:
        self.lost += requests
        log.error("usage_lost", extra={"window": None, "requests": requests, "cause": cause})

    # --- the holder's work

    async def run(self) -> None:
        """Settle and report windows until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._poll()

    async def _poll(self) -> None:
        fence = await self._duty.acquire_if_vacant()
        if fence is None:
            if not self._duty.is_holder():
                self._discard_ledger()
            return
        try:
            if self._fence != fence:
                await self._load_ledger(fence)
            await self._settle_or_save(fence)
        except TransactionConflict:
            # Another holder wrote the ledger, or a write of this process took effect although its
            # answer was lost.
            self._fence = None
            return
        except KeyValueError as error:
            log.warning("usage_not_saved", extra={"error": type(error).__name__})
            self._fence = None
            return
        await self._report_settled()

    def _discard_ledger(self) -> None:
        """Discard the ledger when another process holds the duty; counters resend their counts."""
        self._fence = None
        self._ledger = None
        self._early_counts = UsageLedger(0)

    # --- the ledger

    async def _load_ledger(self, fence: int) -> None:
        entry = await self._store.get(LEDGER_KEY)
        ledger = self._restore_ledger(entry)
        if self._ledger is not None:
            ledger.merge_open(self._ledger)
        ledger.merge_open(self._early_counts)
        self._early_counts = UsageLedger(0)
        self._ledger, self._revision = ledger, entry.revision if entry is not None else ABSENT
        self._has_unsaved_changes = True
        if fence != self._resend_fence:
            self._resend_fence = fence
            self._settle_not_before = time.monotonic() + RESEND_WAIT_S
        self._fence = fence

    def _restore_ledger(self, entry: Entry | None) -> UsageLedger:
        current = self._clock.current_window()
        new_ledger = UsageLedger(
            first_unsettled(
                current, self._clock.seconds_since_end, self._deadline_s, self._early_counts.open
            )
        )
        if entry is None:
            return new_ledger
        try:
            ledger = decode_ledger(entry.value)
            lost = ledger.skip_to(current - MAX_WINDOWS)
            if lost:
                self._record_lost(lost, "no process held the usage duty for too long")
            return ledger
        except msgspec.DecodeError as error:
            log.error("usage_ledger_malformed", extra={"error": type(error).__name__})
            return new_ledger

    async def _settle_or_save(self, fence: int) -> None:
        """Settle the windows that are due, and write the ledger to the store.

        Without a due window, the ledger is written if it has changed and the save interval has
        passed.
        """
        ledger = self._ledger
        assert ledger is not None
        due = self._count_due_windows(ledger)
        if not due and not (
            self._has_unsaved_changes and time.monotonic() >= self._save_not_before
        ):
            return
        next_ledger = decode_ledger(encode_ledger(ledger))
        for _ in range(due):
            next_ledger.settle_next()
        value = encode_ledger(next_ledger)
        conditions = [
            Condition(self._duty.holder_key, fence),
            Condition(LEDGER_KEY, self._revision),
        ]
        self._has_unsaved_changes = False
        self._revision = await self._store.commit(Transaction(conditions, [Put(LEDGER_KEY, value)]))
        # Counts that arrived during the write are merged into the windows that are still open.
        late = next_ledger.merge_open(ledger)
        if late:
            self._record_lost(late, "received while the window was being settled")
        self._ledger = next_ledger
        self._save_not_before = time.monotonic() + save_interval_s(len(value))
        if due:
            log.info(
                "usage_settled",
                extra={"next_window": next_ledger.next_window, "windows": due, "fence": fence},
            )

    def _count_due_windows(self, ledger: UsageLedger) -> int:
        if time.monotonic() < self._settle_not_before:
            return 0
        return count_due_windows(
            ledger.next_window, self._clock.seconds_since_end, self._deadline_s
        )

    # --- reports

    async def _report_settled(self) -> None:
        ledger = self._ledger
        assert ledger is not None
        for window in sorted(ledger.settled):
            if time.monotonic() < self._report_not_before or not await self._report(ledger, window):
                return

    async def _report(self, ledger: UsageLedger, window: int) -> bool:
        """Report one window; return whether the report was accepted."""
        # Checked immediately before the call, because the duty may have been lost in the meantime.
        fence = self._duty.fence()
        if fence is None or fence != self._fence:
            return False
        counts = ledger.settled[window]
        try:
            await self._sink.report_usage(window, counts, self._process, fence)
        except DutyFenced:
            self._duty.refuse(fence)
            self._log_failure(window, fence, "a holder with a higher fencing token has acted")
            return False
        except (DutyRefused, DutyUnanswered) as error:
            self._report_not_before = time.monotonic() + self._backoff.next_delay()
            self._log_failure(window, fence, f"{type(error).__name__}: {error}")
            return False
        self._backoff.reset()
        ledger.mark_reported(window)
        self._has_unsaved_changes = True
        self._count_reported(window, counts, fence)
        return True

    @staticmethod
    def _log_failure(window: int, fence: int, reason: str) -> None:
        log.warning(
            "usage_not_reported", extra={"window": window, "fence": fence, "reason": reason}
        )

    def _count_reported(self, window: int, counts: dict[str, int], fence: int) -> None:
        age_s = self._clock.seconds_since_end(window)
        self.reported += 1
        self.reported_late += age_s > self._deadline_s
        log.info(
            "usage_reported",
            extra={
                "window": window,
                "tenants": len(counts),
                "requests": sum(counts.values()),
                "fence": fence,
                "age_s": round(age_s, 3),
            },
        )
