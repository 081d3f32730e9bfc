"""A node's table of what is known of members, back ends and replica sets, with versions.

Owns the newest entry of each; every accepted change raises the table's version, so that another
node can ask for what changed since the version it has. Order between two entries of one thing lies
in the entries themselves, so that it does not matter on which way they arrived. Relies on its
callers to bring news; it asks nobody.
"""

from __future__ import annotations

import enum
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from crankseam.peers.messages import BackEndReport, Entries, Member, ReplicaSet
from crankseam.records.slots import SlotTable, ranked

T = TypeVar("T")

DEAD_MEMBER_RETENTION_S = 3600.0
"""How long a dead member's entry is kept, so that late news of it is recognised. Origin not
recorded."""


@dataclass(frozen=True)
class KnownVersion:
    """Up to which version of another node's table its changes are known here.

    Attributes
    ==========

    incarnation : run of that node; another run counts its versions from 0 again.
    """

    incarnation: int
    version: int


@dataclass(frozen=True)
class AgedReport:
    """A report on a back end, and the seconds since it arrived here."""

    report: BackEndReport
    age: float


NOTHING_KNOWN = KnownVersion(0, 0)
"""Of a node that was never asked."""


def _placement(member: Member) -> tuple[int, int, str, str]:
    """What of a member others choose by and reach it by."""
    return member.incarnation, member.status, member.peer_address, member.caller_address


class MemberStatus(enum.IntEnum):
    """Higher values override lower ones of the same incarnation and sequence."""

    ALIVE = 0
    LEAVING = 1
    DEAD = 2


@dataclass
class _Versioned(Generic[T]):
    item: T
    version: int
    changed_at: float


def member_order(member: Member) -> tuple[int, int, int]:
    """Newer news of a member compares higher."""
    return member.incarnation, member.sequence, member.status


def _newer(table: dict[Any, _Versioned[T]], version: int) -> Iterator[T]:
    """Entries above `version`, newest first; costs what it yields, not what the table holds."""
    for known in reversed(table.values()):
        if known.version <= version:
            return
        yield known.item


class DigestTable:
    """All entries, indexed for lookups by the rest of the node."""

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
        """Raised when a member comes, goes or changes its addresses; not by reports or revisions,
        so that what is derived from the living members can be kept until it is raised."""
        self._alive_cache: tuple[int, list[Member]] = (-1, [])
        self._alive_by_zone: dict[str, list[Member]] = {}
        self._alive_by_region: dict[str, list[Member]] = {}
        self._ranked_cache: dict[tuple[str, str], list[Member]] = {}

    def on_change(self, listener: Callable[[Member | BackEndReport], None]) -> None:
        """Call `listener` with each accepted change of a member's status or a leaving flag."""
        self._listeners.append(listener)

    def _bump(self) -> int:
        self.version += 1
        return self.version

    def _notify(self, item: Member | BackEndReport) -> None:
        for listener in self._listeners:
            listener(item)

    # --- accepting news

    def learn_member(self, member: Member) -> bool:
        """Take newer news of a member; return whether it was newer."""
        known = self._members.get(member.name)
        if known is not None and member_order(known.item) >= member_order(member):
            return False
        # Taken out and put back, so that the table stays in order of version.
        self._members.pop(member.name, None)
        self._members[member.name] = _Versioned(member, self._bump(), self._clock())
        if known is None or _placement(known.item) != _placement(member):
            self.alive_version += 1
        if known is None or known.item.status != member.status:
            self._notify(member)
        return True

    def learn_report(self, report: BackEndReport) -> bool:
        """Take a newer report of a back end by its watcher."""
        key = (report.target, report.watcher)
        known = self._reports.get(key)
        if known is not None and known.item.sequence >= report.sequence:
            return False
        self._reports.pop(key, None)
        self._watchers.setdefault(report.target, set()).add(report.watcher)
        self._reports[key] = _Versioned(report, self._bump(), self._clock())
        if known is None or known.item.leaving != report.leaving:
            self._notify(report)
        return True

    def learn_replica_set(self, replica_set: ReplicaSet) -> bool:
        """Take a slot's newer replica set."""
        if not self.slots.learn(replica_set):
            return False
        self._sets.pop(replica_set.slot, None)
        self._sets[replica_set.slot] = _Versioned(replica_set, self._bump(), self._clock())
        return True

    def learn_pulse(self, zone: str, pulse: int) -> None:
        """Take a zone's newer pulse: what else is known of the zone is as fresh as that."""
        known = self._pulses.get(zone)
        if known is None or known.item[1] < pulse:
            self._pulses.pop(zone, None)
            self._pulses[zone] = _Versioned((zone, pulse), self._bump(), self._clock())

    def zone_silence(self, zone: str) -> float:
        """Seconds since news of the zone came: 0 for a zone that no node is in, infinite for one
        whose first news has not come."""
        known = self._pulses.get(zone)
        if known is not None:
            return self._clock() - known.changed_at
        return float("inf") if zone in self.zones() else 0.0

    def learn(self, entries: Entries) -> None:
        """Take all entries of another node's table."""
        for member in entries.members:
            self.learn_member(member)
        for report in entries.back_ends:
            self.learn_report(report)
        for replica_set in entries.replica_sets:
            self.learn_replica_set(replica_set)
        for zone, pulse in entries.pulses.items():
            self.learn_pulse(zone, pulse)

    # --- telling others

    def changes_since(
        self, version: int, zone: str | None = None, regional: bool = True
    ) -> Entries:
        """Entries changed after `version`.

        Args:
            zone: only members and back ends of this zone; None for all.
            regional: False leaves out what only nodes of this region need.
        """
        entries = Entries(self.version)
        entries.members = [m for m in _newer(self._members, version) if zone in (None, m.zone)]
        if regional:
            reports = _newer(self._reports, version)
            entries.back_ends = [report for report in reports if zone in (None, report.zone)]
            entries.replica_sets = list(_newer(self._sets, version))
            pulses = _newer(self._pulses, version)
            entries.pulses = {name: pulse for name, pulse in pulses if zone in (None, name)}
        return entries

    # --- lookups

    def member(self, name: str) -> Member | None:
        """What is known of a node."""
        known = self._members.get(name)
        return known.item if known else None

    def members(self) -> Iterator[Member]:
        """All members, dead ones too."""
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
        """Living members of a zone in the order in which they are chosen for `purpose`."""
        self._refresh_alive()
        key = (purpose, zone)
        if key not in self._ranked_cache:
            self._ranked_cache[key] = ranked(f"{purpose}/{zone}", self.alive_in_zone(zone))
        return self._ranked_cache[key]

    def zones(self) -> dict[str, str]:
        """Each zone that any member was ever known in, with its region."""
        return {member.zone: member.region for member in self.members()}

    def reports_for(self, target: str) -> list[AgedReport]:
        """All watchers' reports on one back end."""
        now = self._clock()
        found = [self._reports[target, watcher] for watcher in self._watchers.get(target, ())]
        return [AgedReport(known.item, now - known.changed_at) for known in found]

    def purge(self, keep_reports: set[str], report_retention: float) -> None:
        """Drop long dead members, and reports that nobody renews or needs."""
        now = self._clock()
        for name, known in list(self._members.items()):
            is_dead = known.item.status == MemberStatus.DEAD
            if is_dead and now - known.changed_at > DEAD_MEMBER_RETENTION_S:
                del self._members[name]
                self.alive_version += 1
        for key, report in list(self._reports.items()):
            unused = key[0] not in keep_reports
            if unused or now - report.changed_at > report_retention:
                del self._reports[key]
                self._watchers[key[0]].discard(key[1])
