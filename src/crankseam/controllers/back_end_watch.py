"""Who watches a back end, and when is what it saw told to others?

Inputs: the living members of the back end's zone by rank (as old as the last heartbeat), the load
report read from the back end each `timing.watch_interval`, and the report that was told last; times
in seconds of the steady clock.
Rule: the first `WATCHERS_PER_BACK_END` members by rank watch, of the region where the zone has
none. Life, leaving flag and version are told at once by each; a load by the first watcher alone,
when it moved by `LOAD_STEP` and `LOAD_RATIO` and `MIN_LOAD_S` have passed; the unchanged after a
while. A back end that did not answer `FAILURES_UNTIL_DEAD` times is told dead and keeps its leaving
flag.
Protects: the digest's traffic, which grows with reports and not with requests.
Shown by: `crankseam status`. Held by: tests/controllers/test_back_end_watch.py,
tests/requests/test_app_requests.py.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

import aiohttp
import msgspec

from crankseam import clocks
from crankseam.clients.load_report import NO_VERSION, LoadReport, fetch_load_report
from crankseam.cluster.agent import ClusterAgent
from crankseam.config.kinds import BackEnd
from crankseam.config.snapshot import Snapshot
from crankseam.peers.messages import BackEndReport
from crankseam.records.slots import ranked

WATCHERS_PER_BACK_END = 2
"""One may die; the other has looked within a watch interval. Origin not recorded."""
RENEW_S = 8.0
"""The first watcher sends an unchanged report again after this, so that others know it is not
stale. Under a third of the time for which reports are kept. Origin not recorded."""
SECOND_RENEW_S = 15.0
"""As `RENEW_S`, of the second watcher, which sends no loads."""
MIN_LOAD_S = 2.0
"""A load alone is reported at most this often; what a node sent since then it adds itself. Measured
at 150 nodes, with `LOAD_STEP` and loads from one watcher: a relay's 16.7 KB/s became 8.9."""
LOAD_STEP = 4
"""Requests by which a load must at least have moved to be reported again. Measured with
`MIN_LOAD_S`."""
LOAD_RATIO = 0.2
"""Share of the load before by which it must have moved too. Raised from 0.15 when a relay's traffic
passed 19 KB/s at 50 nodes."""
FAILURES_UNTIL_DEAD = 2
"""Readings in a row without an answer; one may be lost. Origin not recorded."""
SHORTEST_PAUSE_S = 0.05
"""Between two readings of one back end, however slow it answers. Origin not recorded."""


@dataclass(frozen=True)
class Target:
    """One back end of the configuration, named `service/back end`."""

    name: str
    back_end: BackEnd
    region: str


def all_targets(snapshot: Snapshot) -> list[Target]:
    """Every back end and sampler of a snapshot."""
    targets = []
    for service in snapshot.services.values():
        for back_end in service.back_ends:
            name = f"{service.name}/{back_end.name}"
            targets.append(Target(name, back_end, service.home_region))
    for pool in snapshot.pools.values():
        for sampler in pool.samplers:
            targets.append(Target(f"{pool.name}/{sampler.name}", sampler, pool.home_region))
    return targets


def is_news(old: BackEndReport, new: BackEndReport, age_s: float, is_first_watcher: bool) -> bool:
    """Whether `new` is told to others, `age_s` seconds after `old` was."""
    if age_s > (RENEW_S if is_first_watcher else SECOND_RENEW_S):
        return True
    if (old.alive, old.leaving, old.version) != (new.alive, new.leaving, new.version):
        return True
    if age_s < MIN_LOAD_S or not is_first_watcher:
        return False
    before = old.running + old.waiting
    moved = abs(new.running + new.waiting - before)
    return moved >= LOAD_STEP and moved > before * LOAD_RATIO


class BackEndWatchController:
    """Polls the back ends that fall to this node, one task each."""

    def __init__(self, agent: ClusterAgent, session: aiohttp.ClientSession) -> None:
        self._agent = agent
        self._session = session
        self._interval = agent.settings.timing.watch_interval
        self._watches: dict[str, asyncio.Task[None]] = {}
        self._reports: dict[str, BackEndReport] = {}
        self._sent_at: dict[str, float] = {}
        self._notes: dict[str, list[BackEndReport]] = {}
        self._sequence = 0
        self._reconciled_for = (-1, -1)
        self._first_for: set[str] = set()
        agent.membership.observed_reports = self.current_reports

    def current_reports(self) -> list[BackEndReport]:
        """This node's newest reports, for its heartbeat."""
        notes = [note for group in self._notes.values() for note in group]
        return [*self._reports.values(), *notes]

    def publish_notes(self, source: str, notes: list[BackEndReport]) -> None:
        """Send a controller's own notes on back ends along; unchanged ones are renewed rarely."""
        previous = {note.target: note for note in self._notes.get(source, [])}
        renewed = []
        for note in notes:
            old = previous.get(note.target)
            age = (note.sequence - old.sequence) / 1000 if old else RENEW_S
            if old is not None and old.set_aside == note.set_aside and age < RENEW_S:
                renewed.append(old)
                continue
            renewed.append(note)
            self._agent.digest.learn_report(note)
        self._notes[source] = renewed

    async def run(self) -> None:
        """Start and stop watches as the configuration and the members change."""
        while True:
            self._reconcile()
            await asyncio.sleep(self._interval)

    def _reconcile(self) -> None:
        # Which back ends are this node's depends on these two only; ranking all is not free.
        basis = (self._agent.lease.snapshot.revision, self._agent.digest.alive_version)
        if basis == self._reconciled_for:
            return
        self._reconciled_for = basis
        wanted = {t.name: t for t in all_targets(self._agent.lease.snapshot) if self._is_mine(t)}
        own = self._agent.settings.name
        self._first_for = {name for name, t in wanted.items() if self._watchers(t)[0] == own}
        for name in list(self._watches):
            if name not in wanted:
                self._watches.pop(name).cancel()
                self._reports.pop(name, None)
        for name, target in wanted.items():
            if name not in self._watches:
                self._watches[name] = self._agent.tasks.start(self._watch(target), f"watch {name}")

    def _is_mine(self, target: Target) -> bool:
        return self._agent.settings.name in self._watchers(target)

    def _is_first_watcher(self, name: str) -> bool:
        """The first watcher reports loads; the second one only what must not be missed, and
        takes over as the first once the other is known to be dead."""
        return name in self._first_for

    def _watchers(self, target: Target) -> list[str]:
        digest = self._agent.digest
        candidates = digest.alive_in_zone(target.back_end.zone)
        if not candidates:
            candidates = digest.alive_in_region(target.region)
        chosen = ranked(f"watch/{target.name}", candidates)[:WATCHERS_PER_BACK_END]
        return [member.name for member in chosen]

    async def _watch(self, target: Target) -> None:
        failures = 0
        while True:
            started = time.monotonic()
            load = await fetch_load_report(
                self._session, target.back_end.address, self._agent.settings.timing.peer_timeout
            )
            failures = 0 if load is not None else failures + 1
            if load is not None or failures >= FAILURES_UNTIL_DEAD:
                self._report(target, load)
            elapsed = time.monotonic() - started
            await asyncio.sleep(max(SHORTEST_PAUSE_S, self._interval - elapsed))

    def _report(self, target: Target, load: LoadReport | None) -> None:
        previous = self._reports.get(target.name)
        report = self._build(target, load)
        if previous is not None:
            age_s = time.monotonic() - self._sent_at[target.name]
            if not is_news(previous, report, age_s, self._is_first_watcher(target.name)):
                return
        self._sequence = max(self._sequence + 1, clocks.wall_ms())
        report = msgspec.structs.replace(report, sequence=self._sequence)
        self._reports[target.name] = report
        self._sent_at[target.name] = time.monotonic()
        self._agent.digest.learn_report(report)
        if previous is None or previous.leaving != report.leaving or previous.alive != report.alive:
            self._agent.membership.nudge()

    def _build(self, target: Target, load: LoadReport | None) -> BackEndReport:
        # A back end that does not answer keeps its leaving flag: silence takes nothing back.
        previous = self._reports.get(target.name)
        was_leaving = previous.leaving if previous else False
        return BackEndReport(
            target=target.name,
            watcher=self._agent.settings.name,
            sequence=0,
            alive=load is not None,
            leaving=load.leaving if load else was_leaving,
            running=load.running if load else 0,
            waiting=load.waiting if load else 0,
            version=load.version if load else NO_VERSION,
            zone=self._agent.settings.zone,
        )
