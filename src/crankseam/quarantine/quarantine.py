"""The suspects of a deployment, as one process sees and changes them.

Owns the probes of this process, of which there is one at a time, and the removal of suspects that
are released. Relies on `SuspectTable` for what is known, on `SuspectStore` for the compare-and-swap
by which one process wins a probe, and on `SuspectPublisher` to tell the others.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from crankseam.backoff import Backoff
from crankseam.coordination.interface import ABSENT, Entry, TransactionConflict
from crankseam.errors import KeyValueError
from crankseam.quarantine.model import SuspectRecord, TrialSubject, initial_record
from crankseam.quarantine.publisher import SuspectPublisher
from crankseam.quarantine.suspect_store import SuspectMalformed, SuspectStore, decode_suspect
from crankseam.quarantine.table import Suspect, SuspectTable

log = logging.getLogger(__name__)

CLAIM_PATIENCE_S = 0.5
"""A store that has not answered a claim by then gives no probe."""
ANSWERED = "answered"
EXPIRED = "expired"
BY_OPERATOR = "operator"
"""Causes of a release, as `suspect_released` tells them."""
FORGET_LOOK_S = 30.0
"""How often suspects whose time is over are looked for."""
REMOVAL_TRIES = 6
"""So often a release is written; after that the record goes when its time is over. Origin not
recorded."""
RETRY_BASE_S = 0.2
"""Longest pause, in seconds, after the first failed removal; it doubles with each. Origin not
recorded."""
RETRY_CAP_S = 4.0
"""Seconds that the pause does not exceed. Origin not recorded."""


class Quarantine:
    """The suspects of a deployment, as one process sees and changes them.

    Parameters
    ==========

    run_once : runs work of a name in the background.
    is_sweeper : whether this process removes suspects whose time is over.
    """

    def __init__(
        self,
        store: SuspectStore,
        table: SuspectTable,
        publisher: SuspectPublisher,
        run_once: Callable[[Callable[[], Awaitable[None]], str], object],
        is_sweeper: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._table = table
        self._publisher = publisher
        self._run_once = run_once
        self._is_sweeper = is_sweeper
        self._probing: set[str] = set()
        """Fingerprints that this process tries now."""

    @property
    def prefix(self) -> str:
        """Below which the store holds the suspects."""
        return self._store.prefix

    def suspects(self) -> list[tuple[str, Suspect]]:
        """All that are known, by fingerprint; those that changed last first."""
        return sorted(self._table, key=lambda pair: pair[1].changed_at, reverse=True)

    def find(self, subject: TrialSubject) -> Suspect | None:
        """What is known of a request; costs nothing unless a suspect has a body of its length."""
        if not self._table.has_body_length(len(subject.body)):
            return None
        return self._table.find(subject.fingerprint)

    # --- what trials tell

    def report(self, subject: TrialSubject, ended: list[str]) -> None:
        """Back ends ended under a request: tell all processes."""
        self._publisher.publish(subject.fingerprint, initial_record(subject, ended))

    def release_answered(self, subject: TrialSubject) -> None:
        """A back end answered a request whole: it ends nobody."""
        self.release(subject.fingerprint, ANSWERED)

    def release(self, fingerprint: str, cause: str) -> bool:
        """It is no suspect any more, here at once and soon everywhere; whether it was one."""
        suspect = self._table.find(fingerprint)
        if suspect is None:
            return False
        self._table.remove(fingerprint)
        self._publisher.released(fingerprint)
        log.info("suspect_released", extra={"fingerprint": fingerprint, "cause": cause})
        if suspect.revision != ABSENT:
            self._run_once(lambda: self._remove(fingerprint, suspect.revision), "release suspect")
        return True

    async def _remove(self, fingerprint: str, revision: int) -> None:
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        for _ in range(REMOVAL_TRIES):
            try:
                await self._store.remove(fingerprint, revision)
                return
            except KeyValueError as error:
                log.warning(
                    "suspect_not_removed",
                    extra={"fingerprint": fingerprint, "error": type(error).__name__},
                )
            await asyncio.sleep(backoff.next_delay())

    # --- probes

    async def claim_probe(self, subject: TrialSubject) -> bool:
        """Win the right to try a held request once; of all processes at most one does.

        A process tries one suspect at a time: the cause would end the back ends of others, which
        were there by bad luck, once more. Healthy items waited 72 s so instead of 178 s in all,
        over eight soaks of half a minute.
        """
        suspect = self._table.find(subject.fingerprint)
        if suspect is None or suspect.revision == ABSENT or suspect.held_for_s() > 0.0:
            return False
        if self._probing:
            return False
        record = suspect.record.with_probes(suspect.record.probes + 1)
        self._probing.add(subject.fingerprint)
        if not await self._change(subject, record, suspect.revision):
            self._probing.discard(subject.fingerprint)
            return False
        log.info(
            "suspect_probed",
            extra={
                "request": subject.id,
                "fingerprint": subject.fingerprint,
                "probes": record.probes,
                "ended": record.ended,
            },
        )
        return True

    def probe_over(self, subject: TrialSubject) -> None:
        """What came of a probe is known, or it is given up."""
        self._probing.discard(subject.fingerprint)

    def give_back_probe(self, subject: TrialSubject) -> None:
        """The request was not sent after all: the probe does not count."""
        self._run_once(lambda: self._give_back(subject), "give back probe")

    async def _give_back(self, subject: TrialSubject) -> None:
        suspect = self._table.find(subject.fingerprint)
        if suspect is not None and suspect.record.probes:
            record = suspect.record.with_probes(suspect.record.probes - 1)
            await self._change(subject, record, suspect.revision)

    async def _change(self, subject: TrialSubject, record: SuspectRecord, revision: int) -> bool:
        fingerprint = subject.fingerprint
        try:
            async with asyncio.timeout(CLAIM_PATIENCE_S):
                changed = await self._store.replace(fingerprint, record, revision)
        except TransactionConflict as conflict:
            for entry in conflict.found.values():
                self.state_changed(entry.key, entry)
            return False
        except (KeyValueError, TimeoutError) as error:
            log.warning(
                "suspect_not_stored",
                extra={"fingerprint": fingerprint, "error": type(error).__name__},
            )
            return False
        self._publisher.stored(fingerprint, record, changed)
        return True

    # --- what the store says

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Take a change below the suspects' prefix."""
        fingerprint = self._store.fingerprint_of_key(key)
        if entry is None:
            self._table.remove(fingerprint)
            return
        try:
            record = decode_suspect(entry.value)
        except SuspectMalformed as error:
            log.error("suspect_malformed", extra={"key": key, "detail": str(error)})
            return
        self._table.apply_stored(fingerprint, record, entry.revision)

    def take_all(self, entries: list[Entry]) -> None:
        """Take a reading of all that the store holds."""
        found = {self._store.fingerprint_of_key(entry.key) for entry in entries}
        for fingerprint, suspect in self._table:
            if fingerprint not in found and suspect.revision != ABSENT:
                self._table.remove(fingerprint)
        for entry in entries:
            self.state_changed(entry.key, entry)

    async def run(self) -> None:
        """Forget suspects whose time is over, until cancelled."""
        while True:
            await asyncio.sleep(FORGET_LOOK_S)
            for fingerprint, suspect in self._table:
                if suspect.has_expired() and self._is_sweeper():
                    self.release(fingerprint, EXPIRED)
