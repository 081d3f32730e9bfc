"""Decides which nodes poll a back end and when a watcher publishes what it observed.

Inputs: the alive members of the back end's zone in rank order (as old as the last heartbeat), the
load report that is read from the back end every `timing.watch_interval`, and the report that this
node published last. Times are seconds of the monotonic clock.
Rule: the first `WATCHERS_PER_BACK_END` members in rank order watch a back end; if its zone has no
alive member, the members of its region are ranked instead. Every watcher publishes a change of
liveness, of the leaving flag or of the weight version at once. Only the first watcher publishes a
change of load, and only if the load changed by at least `MIN_LOAD_CHANGE` requests and by more than
`MIN_LOAD_CHANGE_RATIO`, and `MIN_LOAD_REPORT_INTERVAL_S` have passed since its last report. An
unchanged report is published again after a refresh interval. A back end that fails
`FAILURES_UNTIL_DEAD` polls in a row is reported dead and keeps its leaving flag.
Purpose: limits the gossip traffic of the digest, so that it grows with the number of reports and
not with the number of requests.
Logged as: no event; `crankseam status` shows the reports.
Tested by: tests/controllers/test_back_end_watch.py, tests/requests/test_app_requests.py.
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
from crankseam.records.slots import sort_by_rank

WATCHERS_PER_BACK_END = 2
"""If one watcher dies, the other has polled the back end within the last watch interval."""
FIRST_WATCHER_REFRESH_S = 8.0
"""The first watcher publishes an unchanged report again after this time, so that other nodes do not
take it for stale. Less than a third of the time for which nodes keep reports."""
SECOND_WATCHER_REFRESH_S = 15.0
"""As `FIRST_WATCHER_REFRESH_S`, for the second watcher, which publishes no changes of load."""
MIN_LOAD_REPORT_INTERVAL_S = 2.0
"""Minimum time between two reports that differ only in load; each node adds the requests that it
sent since the last report itself. At 150 nodes, this interval, `MIN_LOAD_CHANGE` and load reports
from one watcher only reduced a relay's traffic from 16.7 to 8.9 KB/s."""
MIN_LOAD_CHANGE = 4
"""Minimum change of the load, in requests, for a new report; see `MIN_LOAD_REPORT_INTERVAL_S` for
its effect."""
MIN_LOAD_CHANGE_RATIO = 0.2
"""The change must also exceed this fraction of the load that was reported last. At 0.15, a relay's
traffic exceeded 19 KB/s at 50 nodes."""
FAILURES_UNTIL_DEAD = 2
"""Consecutive unanswered polls after which a back end is reported dead; one answer may be lost."""
MIN_POLL_PAUSE_S = 0.05
"""Minimum pause between two polls of one back end, even if its answers take the whole interval."""


@dataclass(frozen=True)
class Target:
    """A back end or sampler of the configuration, named `service/back end` or `pool/sampler`."""

    name: str
    back_end: BackEnd
    region: str


def all_targets(snapshot: Snapshot) -> list[Target]:
    """Return every back end and sampler of a configuration snapshot."""
    targets = []
    for service in snapshot.services.values():
        for back_end in service.back_ends:
            name = f"{service.name}/{back_end.name}"
            targets.append(Target(name, back_end, service.home_region))
    for pool in snapshot.pools.values():
        for sampler in pool.samplers:
            targets.append(Target(f"{pool.name}/{sampler.name}", sampler, pool.home_region))
    return targets


def should_publish(
    old: BackEndReport, new: BackEndReport, age_s: float, is_first_watcher: bool
) -> bool:
    """Whether to publish `new`, `age_s` seconds after `old` was published."""
    if age_s > (FIRST_WATCHER_REFRESH_S if is_first_watcher else SECOND_WATCHER_REFRESH_S):
        return True
    if (old.alive, old.leaving, old.version) != (new.alive, new.leaving, new.version):
        return True
    if age_s < MIN_LOAD_REPORT_INTERVAL_S or not is_first_watcher:
        return False
    before = old.running + old.waiting
    change = abs(new.running + new.waiting - before)
    return change >= MIN_LOAD_CHANGE and change > before * MIN_LOAD_CHANGE_RATIO


class BackEndWatchController:
    """Polls the back ends that are assigned to this node, each in its own task."""

    def __init__(self, agent: ClusterAgent, session: aiohttp.ClientSession) -> None:
        self._agent = agent
        self._session = session
        self._interval = agent.settings.timing.watch_interval
        self._watch_tasks: dict[str, asyncio.Task[None]] = {}
        self._reports: dict[str, BackEndReport] = {}
        self._sent_at: dict[str, float] = {}
        self._controller_reports: dict[str, list[BackEndReport]] = {}
        self._sequence = 0
        self._reconciled_inputs = (-1, -1)
        self._first_watched: set[str] = set()
        agent.membership.observed_reports = self.current_reports

    def current_reports(self) -> list[BackEndReport]:
        """Return this node's newest reports, which its heartbeats carry."""
        reports = [report for group in self._controller_reports.values() for report in group]
        return [*self._reports.values(), *reports]

    def publish_controller_reports(self, source: str, reports: list[BackEndReport]) -> None:
        """Publish reports that a controller of this node makes on back ends.

        Explanation
        ===========

        A report with an unchanged `set_aside` is published again only after
        `FIRST_WATCHER_REFRESH_S`.

        Parameters
        ==========

        source : name of the controller; its reports replace the ones that it passed before.
        """
        previous = {report.target: report for report in self._controller_reports.get(source, [])}
        renewed = []
        for report in reports:
            old = previous.get(report.target)
            age = (report.sequence - old.sequence) / 1000 if old else FIRST_WATCHER_REFRESH_S
            if (
                old is not None
                and old.set_aside == report.set_aside
                and age < FIRST_WATCHER_REFRESH_S
            ):
                renewed.append(old)
                continue
            renewed.append(report)
            self._agent.digest.merge_report(report)
        self._controller_reports[source] = renewed

    async def run(self) -> None:
        """Start and stop polling tasks as the configuration or the members change."""
        while True:
            self._reconcile()
            await asyncio.sleep(self._interval)

    def _reconcile(self) -> None:
        # The assignment depends on these two inputs only; ranking the members for every back end is
        # expensive, so it is skipped while both are unchanged.
        inputs = (self._agent.lease.snapshot.revision, self._agent.digest.alive_version)
        if inputs == self._reconciled_inputs:
            return
        self._reconciled_inputs = inputs
        assigned = {
            t.name: t for t in all_targets(self._agent.lease.snapshot) if self._is_assigned_here(t)
        }
        own_name = self._agent.settings.name
        self._first_watched = {
            name for name, t in assigned.items() if self._watchers(t)[0] == own_name
        }
        for name in list(self._watch_tasks):
            if name not in assigned:
                self._watch_tasks.pop(name).cancel()
                self._reports.pop(name, None)
        for name, target in assigned.items():
            if name not in self._watch_tasks:
                self._watch_tasks[name] = self._agent.tasks.start(
                    self._watch(target), f"watch {name}"
                )

    def _is_assigned_here(self, target: Target) -> bool:
        return self._agent.settings.name in self._watchers(target)

    def _is_first_watcher(self, name: str) -> bool:
        """Whether this node is the first watcher of a target, which also publishes its load.

        The second watcher becomes the first one when the digest reports the other dead.
        """
        return name in self._first_watched

    def _watchers(self, target: Target) -> list[str]:
        digest = self._agent.digest
        candidates = digest.alive_in_zone(target.back_end.zone)
        if not candidates:
            candidates = digest.alive_in_region(target.region)
        chosen = sort_by_rank(f"watch/{target.name}", candidates)[:WATCHERS_PER_BACK_END]
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
                self._publish_report(target, load)
            elapsed = time.monotonic() - started
            await asyncio.sleep(max(MIN_POLL_PAUSE_S, self._interval - elapsed))

    def _publish_report(self, target: Target, load: LoadReport | None) -> None:
        previous = self._reports.get(target.name)
        report = self._build_report(target, load)
        if previous is not None:
            age_s = time.monotonic() - self._sent_at[target.name]
            if not should_publish(previous, report, age_s, self._is_first_watcher(target.name)):
                return
        self._sequence = max(self._sequence + 1, clocks.wall_ms())
        report = msgspec.structs.replace(report, sequence=self._sequence)
        self._reports[target.name] = report
        self._sent_at[target.name] = time.monotonic()
        self._agent.digest.merge_report(report)
        if previous is None or previous.leaving != report.leaving or previous.alive != report.alive:
            self._agent.membership.nudge()

    def _build_report(self, target: Target, load: LoadReport | None) -> BackEndReport:
        # A back end that does not answer keeps its leaving flag: a missing answer does not
        # withdraw the announcement to leave.
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
