"""Applies the quarantine to one request: decides before each send, and records each outcome.

Owns the crashes under one request that are not reported yet, and the request's probe while it has
one. Relies on `holding` for each decision, and on the `Quarantine` for known suspects and for the
right to probe.
Logged as: `request_held`, `item_held`.
Tested by: tests/quarantine/test_request_tracker.py.
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
from crankseam.quarantine.model import RequestIdentity
from crankseam.quarantine.quarantine import Quarantine
from crankseam.quarantine.table import Suspect

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Send:
    """The outcome of one send; at most one field is set."""

    was_not_run: bool = False
    was_answered: bool = False
    """The back end answered completely, and the answer is not a failure."""
    crashed_id: str = ""
    """Id of the back end if it crashed under the request; otherwise empty."""


class RequestTracker:
    """The sends of one caller's request or scoring request, and their outcomes.

    Parameters
    ==========

    crash_limit : number of back ends, over all processes, that crash under the request before it
        is held.
    """

    def __init__(self, quarantine: Quarantine, identity: RequestIdentity, crash_limit: int) -> None:
        self._quarantine = quarantine
        self.identity = identity
        self._crash_limit = crash_limit
        self.ended: list[str] = []
        """Ids of the back ends that crashed under this request."""
        self._unreported: list[str] = []
        self._in_flight = 0
        """Number of sends in flight."""
        self._is_probe = False
        self._may_have_run = False
        """Whether a back end may have run the request since the probe was claimed."""

    # --- before a send

    def _held_suspect(self) -> Suspect | None:
        """Returns the suspect that the request matches, if it is held."""
        suspect = self._quarantine.find(self.identity)
        if suspect is None or not suspect.record.is_held(self._crash_limit):
            return None
        return suspect

    async def admit(self) -> None:
        """Admits a caller's request; a held one only if this process claims its probe.

        Raises
        ======

        RequestHeld : the request is held and was not sent to any back end.
        """
        suspect = self._held_suspect()
        if suspect is None or await self._claim_probe(suspect):
            return
        retry_after_s = holding.retry_after_s(suspect.held_for_s())
        log.info(
            "request_held",
            extra={
                "request": self.identity.id,
                "fingerprint": self.identity.fingerprint,
                "ended": suspect.record.ended,
                "probes": suspect.record.probes,
                "seconds": round(retry_after_s, 3),
            },
        )
        ended = ", ".join(suspect.record.ended)
        detail = f"back ends ended under this request ({self.identity.fingerprint}): {ended}"
        raise RequestHeld(detail, OUTCOME_NOT_RUN, retry_after_s)

    def is_admitted(self) -> bool:
        """Whether a scoring request is not held, or may be sent as a probe."""
        return self._is_probe or self._held_suspect() is None

    async def wait_until_admitted(self) -> None:
        """Waits until a scoring request is released or this process claims its probe."""
        suspect = self._held_suspect()
        if suspect is None or self._is_probe:
            return
        log.info(
            "item_held",
            extra={
                "item": self.identity.id,
                "fingerprint": self.identity.fingerprint,
                "ended": suspect.record.ended,
                "probes": suspect.record.probes,
            },
        )
        while suspect is not None and not await self._claim_probe(suspect):
            await asyncio.sleep(holding.probe_pause_s(suspect.held_for_s()))
            suspect = self._held_suspect()

    async def _claim_probe(self, suspect: Suspect) -> bool:
        if suspect.held_for_s() > 0.0:
            return False
        self._is_probe = await self._quarantine.claim_probe(self.identity)
        self._may_have_run = False
        return self._is_probe

    def may_send(self) -> bool:
        """Whether the request may be sent once more, in addition to the sends in flight.

        Each send in flight may still crash its back end. A probe is sent to one back end at a time.
        """
        if self._is_probe:
            return not self._in_flight
        ended = set(self.ended)
        suspect = self._quarantine.find(self.identity)
        if suspect is not None:
            ended.update(suspect.record.ended)
        return holding.may_send_again(len(ended), self._in_flight, self._crash_limit)

    # --- outcomes

    @contextmanager
    def sending(self) -> Iterator[Send]:
        """Counts a send as in flight, and applies the outcome that is set on the yielded `Send`.

        If none is set, the outcome is unknown: the back end may still be running the request.
        """
        self._in_flight += 1
        self._may_have_run = True
        send = Send()
        try:
            yield send
        finally:
            self._in_flight -= 1
            self._apply_outcome(send)

    def _apply_outcome(self, send: Send) -> None:
        if send.was_not_run:
            self._may_have_run = False
        elif send.crashed_id:
            self._finish_probe()
            self.ended.append(send.crashed_id)
            self._unreported.append(send.crashed_id)
        elif send.was_answered:
            self.on_progress()
            if self._quarantine.find(self.identity) is not None:
                self._quarantine.release_answered(self.identity)

    def on_progress(self) -> None:
        """Clears the crashes of this request: a back end made progress, so the request did not
        cause them. If the request is a probe, it is released."""
        if self.ended or self._is_probe:
            self.ended.clear()
            self._unreported.clear()
            if self._is_probe:
                self._finish_probe()
                self._quarantine.release_answered(self.identity)

    def _finish_probe(self) -> None:
        if self._is_probe:
            self._is_probe = False
            self._quarantine.finish_probe(self.identity)

    def report_crashes(self) -> None:
        """Reports the crashes that are not reported yet to all processes."""
        if self._unreported:
            self._quarantine.report_crashes(self.identity, self._unreported)
            self._unreported = []

    def report_if_held(self) -> None:
        """Reports the crashes once the request may not be sent again and no send is in flight."""
        if not self._in_flight and not self.may_send():
            self.report_crashes()

    def abandon(self) -> None:
        """Stops tracking the request; returns a probe that no back end has run."""
        if self._is_probe and not self._may_have_run:
            self._quarantine.return_probe(self.identity)
        self._finish_probe()

    def close(self) -> None:
        """Stops tracking the request, and reports crashes that no later progress has cleared."""
        self.report_crashes()
        self.abandon()
