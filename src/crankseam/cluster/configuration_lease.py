"""Configuration lease: decides whether this node may serve now, and under which revision.

Inputs: readings of the region's configuration register, a replicated record that names the newest
revision. Each reading carries the time at which it was requested (seconds of `clocks.boottime_s`)
and supports the lease for at most one term.
Rule: a node may take new work for one term, less a margin, after it asked a majority of the
register's replicas and none of them held a newer revision. It may do so only while it holds the
newest revision that any reading named. It never returns to an older revision.
Purpose: one term after a revision is written to the register, no node of the region takes new work
under an older one. A node that is cut off has stopped taking new work by then. An outage of the
key-value service has no effect, because the register is not stored there.
Logged as: the problem "this node cannot confirm its configuration", the gauge
`configuration_lease_seconds`, and `/readyz`.
Tested by: tests/cluster/test_configuration_lease.py.

The term and the margin are settings (`timing.configuration_term`, `timing.clock_margin`); their
trade-offs are discussed in docs/design/05-configuration.md.
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
    """The revision that a majority of the register's replicas returned.

    Attributes
    ==========

    asked_at : when the read was requested (seconds of `clocks.boottime_s`).
    """

    revision: int
    asked_at: float

    def supersedes(self, other: RegisterReading) -> bool:
        """Whether this reading replaces `other`.

        Readings may arrive out of order: a newer revision always replaces an older one and never
        the reverse; of two readings of one revision the one requested later counts.
        """
        return (self.revision, self.asked_at) > (other.revision, other.asked_at)


class ConfigurationLease:
    """The newest configuration snapshot of this node, and how long it may serve under it.

    Parameters
    ==========

    term : seconds from the request of a reading to the end of the lease that it supports.
    margin : seconds by which this node ends its lease earlier.
    """

    def __init__(
        self, term: float, margin: float, clock: Callable[[], float] = clocks.boottime_s
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
        """Extend the lease by a reading that was `reading.age` seconds old at `asked_at`.

        Parameters
        ==========

        asked_at : when this node requested the reading (seconds of `clocks.boottime_s`).
        """
        taken = RegisterReading(reading.revision, asked_at - reading.age)
        if taken.supersedes(self._reading):
            self._reading = taken

    def install(self, stored: StoredSnapshot) -> None:
        """Replace the held snapshot if `stored` is newer. A node never returns to an older one."""
        if stored.pointer.revision <= self.snapshot.revision:
            return
        self.stored = stored
        self.snapshot = build_snapshot(stored)
        for listener in self._listeners:
            listener(self.snapshot)

    def missing_revision(self) -> int | None:
        """The revision that must be fetched before this node may serve again, if there is one."""
        newest = self._reading.revision
        return newest if newest > self.snapshot.revision else None

    def remaining(self) -> float:
        """Seconds until the lease expires; zero or less once it has expired."""
        return self._reading.asked_at + self._term - self._margin - self._clock()

    def is_held(self) -> bool:
        """Whether this node may take new work now."""
        has_newest = self.snapshot.revision >= self._reading.revision > 0
        return has_newest and self.remaining() > 0.0

    def current_reading(self) -> ConfigurationReading:
        """The newest reading with its present age, to be sent to other nodes."""
        return ConfigurationReading(self._reading.revision, self._clock() - self._reading.asked_at)
