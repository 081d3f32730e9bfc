"""The lease under which a node serves a configuration revision.

A region's configuration register is a replicated record that names the newest revision. A node
may serve under a revision for one term after a majority of the register's replicas was known to
hold nothing newer. A revision written to the register is therefore in force on every node of the
region one term later, also on those that were cut off: they have stopped taking new work.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from crankseam import clocks
from crankseam.config.snapshot import (
    EMPTY_SNAPSHOT,
    Snapshot,
    StoredSnapshot,
    build_snapshot,
)
from crankseam.peers.messages import ConfigurationReading


@dataclass(frozen=True)
class RegisterReading:
    """A majority's answer, and when the question was put (time of promises)."""

    revision: int
    asked_at: float


class ConfigurationLease:
    """What this node may serve under, and until when.

    Args:
        term: seconds from a reading to the end of the lease it supports.
        margin: seconds by which this node gives up earlier.
    """

    def __init__(
        self, term: float, margin: float, clock: Callable[[], float] = clocks.promised_s
    ) -> None:
        self._term = term
        self._margin = margin
        self._clock = clock
        self._reading = RegisterReading(0, float("-inf"))
        self.stored: StoredSnapshot | None = None
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self._listeners: list[Callable[[Snapshot], None]] = []

    def on_snapshot(self, listener: Callable[[Snapshot], None]) -> None:
        """Call `listener` with each newer snapshot."""
        self._listeners.append(listener)

    def confirm(self, reading: ConfigurationReading, asked_at: float) -> None:
        """Take a reading that is `reading.age` old, seen from when this node asked for it."""
        taken = RegisterReading(reading.revision, asked_at - reading.age)
        # Readings may arrive out of order; a newer revision always counts, an older one never.
        if taken.revision < self._reading.revision:
            return
        if taken.revision > self._reading.revision or taken.asked_at > self._reading.asked_at:
            self._reading = taken

    def install(self, stored: StoredSnapshot) -> None:
        """Take a snapshot if it is newer than the one held. A node only moves forward."""
        if stored.pointer.revision <= self.snapshot.revision:
            return
        self.stored = stored
        self.snapshot = build_snapshot(stored)
        for listener in self._listeners:
            listener(self.snapshot)

    def missing_revision(self) -> int | None:
        """The revision that must be fetched before this node may go on serving."""
        newest = self._reading.revision
        return newest if newest > self.snapshot.revision else None

    def remaining(self) -> float:
        """Seconds for which the lease still holds; zero or less when it does not."""
        return self._reading.asked_at + self._term - self._margin - self._clock()

    def is_held(self) -> bool:
        """Whether this node may take new work now."""
        has_newest = self.snapshot.revision >= self._reading.revision > 0
        return has_newest and self.remaining() > 0.0

    def current_reading(self) -> ConfigurationReading:
        """The reading as of now, for passing on."""
        return ConfigurationReading(self._reading.revision, self._clock() - self._reading.asked_at)
