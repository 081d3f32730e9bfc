"""Settles and reports windows of usage: what the holder of the usage duty does.

Owns the ledger, which it reads from the store under each new token and writes under the condition
that it still holds the duty: so two holders never settle one window. Relies on the duty, on the
corrected time of day, and on the counters of all processes, which send it what they counted. The
rules are in `crankseam.usage.settling`.
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
"""Not below the prefix of states, which every process follows: only a new holder reads it."""
LOOK_S = 0.2
"""Pause between two looks at what is to be settled, saved and reported; origin not recorded."""
RETRY_BASE_S = 0.1
"""Longest pause after a first report that was not taken; it doubles with each further one. Origin
not recorded."""
RETRY_CAP_S = 0.8
"""The most to which the pause grows; origin not recorded."""


class UsageReporter:
    """Runs in every process; only the holder of the duty settles and reports.

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
        """The token under which the ledger was read; None while it has to be read."""
        self._settles_under = 0
        """The token under which others have had time to send their counts again."""
        self._ledger: UsageLedger | None = None
        self._revision = ABSENT
        self._early = UsageLedger(0)
        """Counts that came before the ledger was read."""
        self._unsaved = False
        """Whether counts came since the ledger was written."""
        self._save_at = float("-inf")
        self._settle_from = float("-inf")
        self._call_at = float("-inf")
        """Monotonic seconds from which the next save, settlement and report may be."""
        self._backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        self.reported = 0
        self.reported_late = 0
        self.lost = 0

    # --- counts of all processes

    async def serve(self, raw: bytes) -> bytes:
        """Answer another process's counts, or this one's."""
        return msgspec.msgpack.encode(self._take(msgspec.msgpack.decode(raw, type=UsageCounts)))

    def _take(self, counts: UsageCounts) -> UsageReceipt:
        if not self._duty.is_holder():
            return UsageReceipt()
        if self._ledger is None:
            self._early.merge_counts(counts)
            return UsageReceipt(True)
        late = self._ledger.merge_counts(counts)
        if late:
            self._lose(late, "told after its window was settled")
        self._unsaved = True
        return UsageReceipt(True, self._ledger.next_window)

    def _lose(self, requests: int, cause: str) -> None:
        self.lost += requests
        log.error("usage_lost", extra={"window": None, "requests": requests, "cause": cause})

    # --- the holder's work

    async def run(self) -> None:
        """Settle and report until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            await self._look()

    async def _look(self) -> None:
        fence = await self._duty.take_turn()
        if fence is None:
            if not self._duty.is_holder():
                self._forget()
            return
        try:
            if self._fence != fence:
                await self._read(fence)
            await self._settle_or_save(fence)
        except TransactionConflict:
            # Another holder wrote, or a write of this one took effect without an answer.
            self._fence = None
            return
        except KeyValueError as error:
            log.warning("usage_not_saved", extra={"error": type(error).__name__})
            self._fence = None
            return
        await self._report_settled()

    def _forget(self) -> None:
        """Another process holds the duty, and whoever counted sends it all anew."""
        self._fence = None
        self._ledger = None
        self._early = UsageLedger(0)

    # --- the ledger

    async def _read(self, fence: int) -> None:
        entry = await self._store.get(LEDGER_KEY)
        ledger = self._decode(entry)
        if self._ledger is not None:
            ledger.merge_open(self._ledger)
        ledger.merge_open(self._early)
        self._early = UsageLedger(0)
        self._ledger, self._revision = ledger, entry.revision if entry is not None else ABSENT
        self._unsaved = True
        if fence != self._settles_under:
            self._settles_under = fence
            self._settle_from = time.monotonic() + RESEND_WAIT_S
        self._fence = fence

    def _decode(self, entry: Entry | None) -> UsageLedger:
        current = self._clock.current_window()
        first = UsageLedger(
            first_unsettled(
                current, self._clock.seconds_since_end, self._deadline_s, self._early.open
            )
        )
        if entry is None:
            return first
        try:
            ledger = decode_ledger(entry.value)
            lost = ledger.skip_to(current - MAX_WINDOWS)
            if lost:
                self._lose(lost, "nobody held the duty for too long")
            return ledger
        except msgspec.DecodeError as error:
            log.error("usage_ledger_malformed", extra={"error": type(error).__name__})
            return first

    async def _settle_or_save(self, fence: int) -> None:
        """Write the ledger if a window is to be settled, or if counts waited for long enough."""
        ledger = self._ledger
        assert ledger is not None
        due = self._count_due_windows(ledger)
        if not due and not (self._unsaved and time.monotonic() >= self._save_at):
            return
        written = decode_ledger(encode_ledger(ledger))
        for _ in range(due):
            written.settle_next()
        value = encode_ledger(written)
        conditions = [
            Condition(self._duty.holder_key, fence),
            Condition(LEDGER_KEY, self._revision),
        ]
        self._unsaved = False
        self._revision = await self._store.commit(Transaction(conditions, [Put(LEDGER_KEY, value)]))
        # What came meanwhile counts for windows that are still open.
        late = written.merge_open(ledger)
        if late:
            self._lose(late, "told while its window was settled")
        self._ledger = written
        self._save_at = time.monotonic() + save_interval_s(len(value))
        if due:
            log.info(
                "usage_settled",
                extra={"next_window": written.next_window, "windows": due, "fence": fence},
            )

    def _count_due_windows(self, ledger: UsageLedger) -> int:
        if time.monotonic() < self._settle_from:
            return 0
        return count_due_windows(
            ledger.next_window, self._clock.seconds_since_end, self._deadline_s
        )

    # --- reports

    async def _report_settled(self) -> None:
        ledger = self._ledger
        assert ledger is not None
        for window in sorted(ledger.settled):
            if time.monotonic() < self._call_at or not await self._report(ledger, window):
                return

    async def _report(self, ledger: UsageLedger, window: int) -> bool:
        """Report one window; whether the report was taken."""
        # Right before the call: the duty may have been lost meanwhile.
        fence = self._duty.fence()
        if fence is None or fence != self._fence:
            return False
        counts = ledger.settled[window]
        try:
            await self._sink.report_usage(window, counts, self._process, fence)
        except DutyFenced:
            self._duty.refuse(fence)
            self._log_failed(window, fence, "a newer holder acts")
            return False
        except (DutyRefused, DutyUnanswered) as error:
            self._call_at = time.monotonic() + self._backoff.next_delay()
            self._log_failed(window, fence, f"{type(error).__name__}: {error}")
            return False
        self._backoff.reset()
        ledger.mark_reported(window)
        self._unsaved = True
        self._count_reported(window, counts, fence)
        return True

    @staticmethod
    def _log_failed(window: int, fence: int, reason: str) -> None:
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
