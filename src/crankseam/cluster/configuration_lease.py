"""May this node serve now, and under which configuration revision?

Inputs: readings of the region's configuration register, a replicated record that names the newest
revision; each with the time at which it was asked for (seconds of the clock of promises), at most
one term old to count.
Rule: a node may take new work for one term, less a margin, after a majority of the register's
replicas was asked and held nothing newer, and only while it has the newest revision it read of.
It never goes back to an older revision.
Protects: a revision in the register is in force on every node of the region one term later, also on
those that are cut off: they have stopped taking new work. An outage of the key-value service
changes nothing, since the register does not live there.
Shown by: the problem "this node cannot confirm its configuration", `configuration_lease_seconds`,
`/readyz`. Held by: tests/cluster/test_configuration_lease.py. The term and margin are settings
(`timing.configuration_term`, `timing.clock_margin`); docs/design/05-configuration.md weighs them.
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
    """A majority's answer, and when the question was put (seconds of the clock of promises)."""

    revision: int
    asked_at: float

    def is_better_than(self, other: RegisterReading) -> bool:
        """Whether it counts over `other`: readings may arrive out of order; a newer revision always
        counts, an older one never."""
        return (self.revision, self.asked_at) > (other.revision, other.asked_at)


class ConfigurationLease:
    """What this node may serve under, and until when.

    Parameters
    ==========

    term : seconds from a reading to the end of the lease it supports.
    margin : seconds by which this node gives up earlier.
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
        """Take a reading that was `reading.age` seconds old when this node asked for it."""
        taken = RegisterReading(reading.revision, asked_at - reading.age)
        if taken.is_better_than(self._reading):
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
