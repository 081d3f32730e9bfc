"""Versioned table of a node's view of members, back ends, replica sets and zones.

The table holds the newest entry of each. Every accepted change raises the table's version, so that
another node can request only what changed since the version it has. Two entries about the same
subject are ordered by fields of the entries themselves, so the result does not depend on the order
or route in which they arrive. The table sends no requests; its callers pass received entries in.
"""

from __future__ import annotations

import enum
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from crankseam.peers.messages import BackEndReport, Entries, Member, ReplicaSet
from crankseam.records.slots import SlotTable, sort_by_rank

T = TypeVar("T")

DEAD_MEMBER_RETENTION_S = 3600.0
"""How long the entry of a dead member is kept, so that a delayed entry about it is recognised as
outdated."""


@dataclass(frozen=True)
class KnownVersion:
    """Version of another node's table up to which this node has received its changes.

    Attributes
    ==========

    incarnation : incarnation of that node; a restarted node counts its versions from 0 again.
    """

    incarnation: int
    version: int


@dataclass(frozen=True)
class AgedReport:
    """A report on a back end, and the number of seconds since this node received it."""

    report: BackEndReport
    age: float


NO_KNOWN_VERSION = KnownVersion(0, 0)
"""For a node from which no entries have been requested yet."""


def _routing_fields(member: Member) -> tuple[int, int, str, str]:
    """The fields by which other nodes select a member and connect to it."""
    return member.incarnation, member.status, member.peer_address, member.caller_address


class MemberStatus(enum.IntEnum):
    """Status of a member; a higher value overrides a lower one of the same incarnation and
    sequence."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass
class _Versioned(Generic[T]):
    item: T
    version: int
    changed_at: float


def member_precedence(member: Member) -> tuple[int, int, int]:
    """Sort key of entries about one member: the newer entry compares higher."""
    return member.incarnation, member.sequence, member.status


def _entries_after(table: dict[Any, _Versioned[T]], version: int) -> Iterator[T]:
    """Entries changed after `version`, newest first.

    The cost is proportional to the number of entries yielded, not to the size of the table.
    """
    for known in reversed(table.values()):
        if known.version <= version:
            return
        yield known.item


class DigestTable:
    """The newest entry about each subject, indexed for lookups by the rest of the node."""

    def __init__(self, region: str, clock: Callable[[], float] = time.monotonic) -> None:
        self.region = region
        self.version = 0
        self.slots = SlotTable()
        self._clock = clock
        self._members: dict[str, _Versioned[Member]] = {}
        self._reports: dict[tuple[str, str], _Versioned[BackEndReport]] = {}
        self._watchers: dict[str, set[str]] = {}
        self._sets: dict[int, _Versioned[ReplicaSet]] = {}
        self._pulses: dict[str, _Versioned[tuple[str, int]]] = {}
        self._listeners: list[Callable[[Member | BackEndReport], None]] = []
        self.alive_version = 0
        """Incremented when a member joins, is removed, restarts, or changes its status or its
        addresses, but not by reports or revisions. Values derived from the alive members can be
        cached until it changes."""
        self._alive_cache: tuple[int, list[Member]] = (-1, [])
        self._alive_by_zone: dict[str, list[Member]] = {}
        self._alive_by_region: dict[str, list[Member]] = {}
        self._ranked_cache: dict[tuple[str, str], list[Member]] = {}

    def on_change(self, listener: Callable[[Member | BackEndReport], None]) -> None:
        """Call `listener` with each accepted change of a member's status or of a back end's leaving
        flag."""
        self._listeners.append(listener)

    def _next_version(self) -> int:
        self.version += 1
        return self.version

    def _notify(self, item: Member | BackEndReport) -> None:
        for listener in self._listeners:
            listener(item)

    # --- merging received entries

    def merge_member(self, member: Member) -> bool:
        """Store the entry if it is newer than the stored one; return whether it was."""
        known = self._members.get(member.name)
        if known is not None and member_precedence(known.item) >= member_precedence(member):
            return False
        # Removed and inserted again, so that the dict stays ordered by version.
        self._members.pop(member.name, None)
        self._members[member.name] = _Versioned(member, self._next_version(), self._clock())
        if known is None or _routing_fields(known.item) != _routing_fields(member):
            self.alive_version += 1
        if known is None or known.item.status != member.status:
            self._notify(member)
        return True

    def merge_report(self, report: BackEndReport) -> bool:
        """Store a watcher's report on a back end if it is newer; return whether it was."""
        key = (report.target, report.watcher)
        known = self._reports.get(key)
        if known is not None and known.item.sequence >= report.sequence:
            return False
        self._reports.pop(key, None)
        self._watchers.setdefault(report.target, set()).add(report.watcher)
        self._reports[key] = _Versioned(report, self._next_version(), self._clock())
        if known is None or known.item.leaving != report.leaving:
            self._notify(report)
        return True

    def merge_replica_set(self, replica_set: ReplicaSet) -> bool:
        """Store a slot's replica set if it is newer; return whether it was."""
        if not self.slots.update(replica_set):
            return False
        self._sets.pop(replica_set.slot, None)
        self._sets[replica_set.slot] = _Versioned(replica_set, self._next_version(), self._clock())
        return True

    def merge_pulse(self, zone: str, pulse: int) -> None:
        """Store a zone's pulse if it is newer.

        The first relay of a zone raises its pulse at each heartbeat, so the arrival of a newer
        pulse shows how fresh all other entries about the zone are.
        """
        known = self._pulses.get(zone)
        if known is None or known.item[1] < pulse:
            self._pulses.pop(zone, None)
            self._pulses[zone] = _Versioned((zone, pulse), self._next_version(), self._clock())

    def seconds_since_zone_update(self, zone: str) -> float:
        """Seconds since a newer pulse of the zone arrived.

        0 for a zone without known members, infinite for a zone with members but no pulse yet.
        """
        known = self._pulses.get(zone)
        if known is not None:
            return self._clock() - known.changed_at
        return float("inf") if zone in self.zones() else 0.0

    def merge(self, entries: Entries) -> None:
        """Merge entries received from another node's table."""
        for member in entries.members:
            self.merge_member(member)
        for report in entries.back_ends:
            self.merge_report(report)
        for replica_set in entries.replica_sets:
            self.merge_replica_set(replica_set)
        for zone, pulse in entries.pulses.items():
            self.merge_pulse(zone, pulse)

    # --- entries for other nodes

    def changes_since(
        self, version: int, zone: str | None = None, include_regional: bool = True
    ) -> Entries:
        """Entries changed after `version`.

        Args:
            zone: return only the members, back ends and pulse of this zone; None for all zones.
            include_regional: whether to include back ends, replica sets and pulses, which only
                nodes of this region need.
        """
        entries = Entries(self.version)
        entries.members = [
            m for m in _entries_after(self._members, version) if zone in (None, m.zone)
        ]
        if include_regional:
            reports = _entries_after(self._reports, version)
            entries.back_ends = [report for report in reports if zone in (None, report.zone)]
            entries.replica_sets = list(_entries_after(self._sets, version))
            pulses = _entries_after(self._pulses, version)
            entries.pulses = {name: pulse for name, pulse in pulses if zone in (None, name)}
        return entries

    # --- lookups

    def member(self, name: str) -> Member | None:
        """The entry of the node `name`; None if the node is unknown."""
        known = self._members.get(name)
        return known.item if known else None

    def members(self) -> Iterator[Member]:
        """All members, including dead ones."""
        return (known.item for known in self._members.values())

    def _refresh_alive(self) -> None:
        if self._alive_cache[0] == self.alive_version:
            return
        alive = [m for m in self.members() if m.status == MemberStatus.ALIVE]
        self._alive_cache = (self.alive_version, alive)
        self._alive_by_zone = {}
        self._alive_by_region = {}
        self._ranked_cache = {}
        for member in alive:
            self._alive_by_zone.setdefault(member.zone, []).append(member)
            self._alive_by_region.setdefault(member.region, []).append(member)

    def alive(self) -> list[Member]:
        """Members that are alive and not leaving."""
        self._refresh_alive()
        return self._alive_cache[1]

    def alive_in_zone(self, zone: str) -> list[Member]:
        """Members of a zone that are alive and not leaving."""
        self._refresh_alive()
        return self._alive_by_zone.get(zone, [])

    def alive_in_region(self, region: str) -> list[Member]:
        """Members of a region that are alive and not leaving."""
        self._refresh_alive()
        return self._alive_by_region.get(region, [])

    def ranked_in_zone(self, purpose: str, zone: str) -> list[Member]:
        """Alive members of a zone, ordered by rendezvous rank for `purpose`."""
        self._refresh_alive()
        key = (purpose, zone)
        if key not in self._ranked_cache:
            self._ranked_cache[key] = sort_by_rank(f"{purpose}/{zone}", self.alive_in_zone(zone))
        return self._ranked_cache[key]

    def zones(self) -> dict[str, str]:
        """The zones of all members in the table, including dead ones, each with its region."""
        return {member.zone: member.region for member in self.members()}

    def reports_for(self, target: str) -> list[AgedReport]:
        """The reports of all watchers on one back end."""
        now = self._clock()
        found = [self._reports[target, watcher] for watcher in self._watchers.get(target, ())]
        return [AgedReport(known.item, now - known.changed_at) for known in found]

    def purge(self, kept_targets: set[str], report_retention: float) -> None:
        """Delete outdated entries.

        Args:
            kept_targets: back ends whose reports are kept while they are renewed.
            report_retention: seconds after which a report that was not renewed is deleted.

        Members that have been dead for longer than `DEAD_MEMBER_RETENTION_S` are deleted too.
        """
        now = self._clock()
        for name, known in list(self._members.items()):
            is_dead = known.item.status == MemberStatus.DEAD
            if is_dead and now - known.changed_at > DEAD_MEMBER_RETENTION_S:
                del self._members[name]
                self.alive_version += 1
        for key, report in list(self._reports.items()):
            is_unused = key[0] not in kept_targets
            if is_unused or now - report.changed_at > report_retention:
                del self._reports[key]
                self._watchers[key[0]].discard(key[1])
