"""The suspect requests that this process knows of.

Owns them, bounded in number and time (`holding.remembered_s`). Relies on the quarantine to bring
what the store holds, and on the publisher to bring what was seen here or told by peers.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from crankseam.coordination.interface import ABSENT
from crankseam.quarantine import holding
from crankseam.quarantine.model import SuspectRecord

MOST_SUSPECTS = 1000
"""More are not remembered: some 300 bytes each. Those that are not held back go first, then those
that changed longest ago."""


@dataclass(slots=True)
class Suspect:
    """One suspect request.

    Attributes
    ==========

    revision : the store's at the last change of its key; ABSENT while only peers told of it.
    changed_at : monotonic time at which this process learned of the last change.
    """

    record: SuspectRecord
    revision: int = ABSENT
    changed_at: float = field(default_factory=lambda: time.monotonic())

    def held_for_s(self) -> float:
        """Seconds until it may be tried again."""
        return max(0.0, self.changed_at + self.record.hold_duration_s() - time.monotonic())

    def is_held(self) -> bool:
        """Whether it is held back for callers."""
        return self.record.is_held(holding.DEFAULT_MOST_ENDS)

    def is_over(self) -> bool:
        """Whether it is remembered no longer."""
        retention_s = holding.retention_s(self.is_held(), stored=self.revision != ABSENT)
        return time.monotonic() - self.changed_at > retention_s


class SuspectTable:
    """Suspects by fingerprint.

    A request is compared only if its body is as long as a suspect's; where there is no suspect,
    it costs nothing.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._lengths: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[tuple[str, Suspect]]:
        return iter(list(self._suspects.items()))

    def held_count(self) -> int:
        """How many are held back."""
        return sum(one.is_held() for one in self._suspects.values())

    def may_know(self, body_bytes: int) -> bool:
        """Whether a body of this length may be a suspect's."""
        return body_bytes in self._lengths

    def find(self, fingerprint: str) -> Suspect | None:
        """What is known of a request; None if it is no suspect."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.revision == ABSENT and suspect.is_over():
            self.remove(fingerprint)
            return None
        return suspect

    def take(self, fingerprint: str, record: SuspectRecord, revision: int) -> None:
        """Take what the store holds; ends that it has not taken yet stay."""
        known = self._suspects.get(fingerprint)
        if known is None:
            self._put(fingerprint, Suspect(record, revision))
        elif known.revision < revision:
            self._put(fingerprint, Suspect(record.with_crashes(known.record.ended), revision))

    def take_told(self, fingerprint: str, record: SuspectRecord) -> list[str]:
        """Take what a peer told, or what was seen here, before the store has taken it.

        Returns
        =======

        Suspects that gave way, and that the store still holds.
        """
        known = self._suspects.get(fingerprint)
        if known is None:
            return self._put(fingerprint, Suspect(record))
        merged = known.record.with_crashes(record.ended)
        if merged != known.record:
            self._put(fingerprint, Suspect(merged, known.revision))
        return []

    def _put(self, fingerprint: str, suspect: Suspect) -> list[str]:
        self.remove(fingerprint)
        dropped: list[str] = []
        while len(self._suspects) >= MOST_SUSPECTS:
            least_needed = self._least_needed()
            if self._suspects[least_needed].revision != ABSENT:
                dropped.append(least_needed)
            self.remove(least_needed)
        self._suspects[fingerprint] = suspect
        self._lengths[suspect.record.body_bytes] += 1
        return dropped

    def remove(self, fingerprint: str) -> None:
        """Forget one."""
        gone = self._suspects.pop(fingerprint, None)
        if gone is None:
            return
        length = gone.record.body_bytes
        self._lengths[length] -= 1
        if not self._lengths[length]:
            del self._lengths[length]

    def _least_needed(self) -> str:
        """The one that is forgotten first."""
        return min(
            self._suspects,
            key=lambda key: (
                self._suspects[key].is_held(),
                self._suspects[key].changed_at,
            ),
        )
