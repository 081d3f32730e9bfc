"""The suspect requests that this process knows of.

Owns the table of suspects, which is limited in size (`MAX_SUSPECTS`) and in retention
(`holding.retention_s`). The quarantine enters the changes that the store reports; the publisher
enters crashes seen by this process and records received from peers.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from crankseam.coordination.interface import ABSENT
from crankseam.quarantine import holding
from crankseam.quarantine.model import SuspectRecord

MAX_SUSPECTS = 1000
"""Maximum number of suspects, of about 300 bytes each. Suspects that are not held are evicted
before held ones; within each group, the one that changed longest ago is evicted first."""


@dataclass(slots=True)
class Suspect:
    """One suspect request.

    Attributes
    ==========

    revision : the store's revision of the last change of the key; ABSENT while it is not stored.
    changed_at : monotonic time at which this process learned of the last change.
    """

    record: SuspectRecord
    revision: int = ABSENT
    changed_at: float = field(default_factory=lambda: time.monotonic())

    def held_for_s(self) -> float:
        """Returns the seconds until the request may be probed; zero once its hold is over."""
        return max(0.0, self.changed_at + self.record.hold_duration_s() - time.monotonic())

    def is_held(self) -> bool:
        """Whether the number of crashes has reached the default limit of requests from callers."""
        return self.record.is_held(holding.DEFAULT_CRASH_LIMIT)

    def has_expired(self) -> bool:
        """Whether the retention of the suspect is over."""
        retention_s = holding.retention_s(self.is_held(), stored=self.revision != ABSENT)
        return time.monotonic() - self.changed_at > retention_s


class SuspectTable:
    """Suspects by fingerprint.

    The table also counts suspects by the length of their body, so that a request needs a
    fingerprint only if a suspect has a body of the same length.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._body_lengths: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[tuple[str, Suspect]]:
        return iter(list(self._suspects.items()))

    def held_count(self) -> int:
        """Returns the number of held suspects."""
        return sum(suspect.is_held() for suspect in self._suspects.values())

    def has_body_length(self, body_bytes: int) -> bool:
        """Whether any suspect has a body of this length."""
        return body_bytes in self._body_lengths

    def find(self, fingerprint: str) -> Suspect | None:
        """Returns the suspect with this fingerprint; None if there is none.

        A suspect that is not stored and has expired is removed.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.revision == ABSENT and suspect.has_expired():
            self.remove(fingerprint)
            return None
        return suspect

    def apply_stored(self, fingerprint: str, record: SuspectRecord, revision: int) -> None:
        """Applies a record that the store holds; crashes that are not stored yet are kept."""
        known = self._suspects.get(fingerprint)
        if known is None:
            self._insert(fingerprint, Suspect(record, revision))
        elif known.revision < revision:
            self._insert(fingerprint, Suspect(record.with_crashes(known.record.ended), revision))

    def apply_unstored(self, fingerprint: str, record: SuspectRecord) -> list[str]:
        """Applies a record received from a peer or created here that is not stored yet.

        Returns
        =======

        Fingerprints of evicted suspects that the store still holds.
        """
        known = self._suspects.get(fingerprint)
        if known is None:
            return self._insert(fingerprint, Suspect(record))
        merged = known.record.with_crashes(record.ended)
        if merged != known.record:
            self._insert(fingerprint, Suspect(merged, known.revision))
        return []

    def _insert(self, fingerprint: str, suspect: Suspect) -> list[str]:
        self.remove(fingerprint)
        evicted: list[str] = []
        while len(self._suspects) >= MAX_SUSPECTS:
            candidate = self._eviction_candidate()
            if self._suspects[candidate].revision != ABSENT:
                evicted.append(candidate)
            self.remove(candidate)
        self._suspects[fingerprint] = suspect
        self._body_lengths[suspect.record.body_bytes] += 1
        return evicted

    def remove(self, fingerprint: str) -> None:
        """Removes a suspect, if it is in the table."""
        gone = self._suspects.pop(fingerprint, None)
        if gone is None:
            return
        length = gone.record.body_bytes
        self._body_lengths[length] -= 1
        if not self._body_lengths[length]:
            del self._body_lengths[length]

    def _eviction_candidate(self) -> str:
        """Returns the fingerprint of the suspect to evict next; see `MAX_SUSPECTS`."""
        return min(
            self._suspects,
            key=lambda key: (
                self._suspects[key].is_held(),
                self._suspects[key].changed_at,
            ),
        )
