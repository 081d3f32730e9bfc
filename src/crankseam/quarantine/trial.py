"""One request's way past the quarantine: asked before each send, told what came of it.

Owns the ends under one request that are not reported yet, and its probe if it is one. Relies on
`holding` for each decision, and on the `Quarantine` for what is known and for the right to probe.
Shown by: `request_held`, `item_held`. Held by: tests/quarantine/test_trial.py.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from crankseam.constants import OUTCOME_NOT_RUN
from crankseam.errors import RequestHeld
from crankseam.quarantine import holding
from crankseam.quarantine.model import TrialSubject
from crankseam.quarantine.quarantine import Quarantine
from crankseam.quarantine.table import Suspect

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Send:
    """What came of one send; at most one of these is set."""

    was_not_run: bool = False
    was_answered: bool = False
    """It was answered whole, by no failure."""
    ended_id: str = ""
    """Id of the back end, if it ended under the request."""


class Trial:
    """A caller's attempt, an item's run or a scoring request.

    Parameters
    ==========

    most_ends : back ends that may end under the request, over all processes, before it is held.
    """

    def __init__(self, quarantine: Quarantine, subject: TrialSubject, crash_limit: int) -> None:
        self._quarantine = quarantine
        self.subject = subject
        self._crash_limit = crash_limit
        self.ended: list[str] = []
        """Back ends that ended under this trial."""
        self._unreported: list[str] = []
        self._running = 0
        """Sends that are under way."""
        self._is_probe = False
        self._has_run = False
        """Whether a back end may have begun it since the probe was won."""

    # --- may it be sent

    def _held(self) -> Suspect | None:
        """What is known of the request, if it is held back."""
        suspect = self._quarantine.find(self.subject)
        if suspect is None or not suspect.record.is_held(self._crash_limit):
            return None
        return suspect

    async def admit(self) -> None:
        """Let a caller's request in, as a probe if need be.

        Raises
        ======

        RequestHeld : it is held back, and was sent to nobody.
        """
        suspect = self._held()
        if suspect is None or await self._win_probe(suspect):
            return
        retry_after_s = holding.retry_after_s(suspect.held_for_s())
        log.info(
            "request_held",
            extra={
                "request": self.subject.id,
                "fingerprint": self.subject.fingerprint,
                "ended": suspect.record.ended,
                "probes": suspect.record.probes,
                "seconds": round(retry_after_s, 3),
            },
        )
        ended = ", ".join(suspect.record.ended)
        detail = f"back ends ended under this request ({self.subject.fingerprint}): {ended}"
        raise RequestHeld(detail, OUTCOME_NOT_RUN, retry_after_s)

    def is_admitted(self) -> bool:
        """Whether an item or a scoring request may be sent now."""
        return self._is_probe or self._held() is None

    async def wait_admitted(self) -> None:
        """Wait until an item or a scoring request may be sent."""
        suspect = self._held()
        if suspect is None or self._is_probe:
            return
        log.info(
            "item_held",
            extra={
                "item": self.subject.id,
                "fingerprint": self.subject.fingerprint,
                "ended": suspect.record.ended,
                "probes": suspect.record.probes,
            },
        )
        while suspect is not None and not await self._win_probe(suspect):
            await asyncio.sleep(holding.probe_pause_s(suspect.held_for_s()))
            suspect = self._held()

    async def _win_probe(self, suspect: Suspect) -> bool:
        if suspect.held_for_s() > 0.0:
            return False
        self._is_probe = await self._quarantine.claim_probe(self.subject)
        self._has_run = False
        return self._is_probe

    def may_send(self) -> bool:
        """Whether it may be sent once more, beside the sends that are under way.

        Each of these may end its back end too.
        """
        if self._is_probe:
            return not self._running
        ended = set(self.ended)
        suspect = self._quarantine.find(self.subject)
        if suspect is not None:
            ended.update(suspect.record.ended)
        return holding.may_send_again(len(ended), self._running, self._crash_limit)

    # --- what came of it

    @contextmanager
    def sending(self) -> Iterator[Send]:
        """While it is at a back end. Left without a word, the back end goes on without it."""
        self._running += 1
        self._has_run = True
        send = Send()
        try:
            yield send
        finally:
            self._running -= 1
            self._take(send)

    def _take(self, send: Send) -> None:
        if send.was_not_run:
            self._has_run = False
        elif send.ended_id:
            self._end_probe()
            self.ended.append(send.ended_id)
            self._unreported.append(send.ended_id)
        elif send.was_answered:
            self.progressed()
            if self._quarantine.find(self.subject) is not None:
                self._quarantine.release_answered(self.subject)

    def progressed(self) -> None:
        """A back end made something of it since: the ends so far were not its doing."""
        if self.ended or self._is_probe:
            self.ended.clear()
            self._unreported.clear()
            if self._is_probe:
                self._end_probe()
                self._quarantine.release_answered(self.subject)

    def _end_probe(self) -> None:
        if self._is_probe:
            self._is_probe = False
            self._quarantine.finish_probe(self.subject)

    def report_crashes(self) -> None:
        """Tell all processes of the ends so far."""
        if self._unreported:
            self._quarantine.report_crashes(self.subject, self._unreported)
            self._unreported = []

    def report_if_held(self) -> None:
        """Tell all processes, once as many back ends ended as may."""
        if not self._running and not self.may_send():
            self.report_crashes()

    def abandon(self) -> None:
        """No more is sent; a probe that was not used is another process's."""
        if self._is_probe and not self._has_run:
            self._quarantine.return_probe(self.subject)
        self._end_probe()

    def close(self) -> None:
        """No more is sent: tell of ends that nothing speaks against."""
        self.report_crashes()
        self.abandon()
