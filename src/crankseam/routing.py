"""Chooses the back end for a request or sample, and states why other back ends are not eligible.

Inputs: the configuration's back ends; watchers' reports of liveness, leaving flag, load and version
(as old as `age` says; see `back_end_watch`); what this node itself sent to a back end and when a
connection was last refused (seconds of the monotonic clock); the machine list's leaving machines.
Rule: a back end is not eligible if any source says that it is leaving, if it is set aside, if none
of its watchers reaches it, or if it refused a connection within `CONNECTION_FAILURE_S`. Of the
others, the one with the least load is chosen. The load is the number of requests that this node has
in flight there or, if greater, the load in the newest report plus the requests sent since. Among
equal loads, a back end of this zone is preferred, then a random one, so that nodes do not all
choose the same.
Purpose: a back end that is leaving receives no new work, and the others are not overloaded while
reports, which are seconds old, do not show their present load.
Logged as: the decision that `crankseam explain` prints, with each candidate and the reason why it
was refused.
Tested by: tests/test_routing.py, tests/requests/test_app_requests.py, tests/rollout/.

`serving/back_ends.choose` does the same for the users' platform and differs on purpose: loads are
relative to the slots of a back end; a back end with consecutive failures is avoided for increasing
periods, but is used if no other is left; and refusals are not kept for later queries.
"""

from __future__ import annotations

import itertools
import random
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from crankseam.clients.load_report import NO_VERSION
from crankseam.cluster.digest import AgedReport, DigestTable
from crankseam.config.kinds import BackEnd
from crankseam.decisions import Candidate

CONNECTION_FAILURE_S = 1.0
"""Seconds for which a back end that refused a connection is not eligible; its watchers report it
dead within two readings."""
MAX_SEND_TIMES = 1024
"""Most send times kept per back end; those later than a report are added to the reported load."""

CONTROLLER_REPORT_PREFIX = "weights/"
"""Prefix of the watcher name in reports that a controller writes; they carry no load."""

LEAVING_BY_FILE = "leaving: by its file"
LEAVING_BY_REPORT = "leaving: by its own report"
LEAVING_BY_MACHINE_LIST = "leaving: by the machine list"


@dataclass
class LocalBackEndState:
    """What this node itself knows about one back end."""

    in_flight: int = 0
    sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SEND_TIMES))
    failed_at: float = float("-inf")


def expected_load(local_state: LocalBackEndState, newest: AgedReport | None, now: float) -> float:
    """Estimate the number of requests at a back end.

    It is the number in flight from this node or, if greater, the load in the newest report plus the
    requests that this node sent since.
    """
    if newest is None:
        return float(local_state.in_flight)
    reported_at = now - newest.age
    sent_since = sum(1 for at in reversed(local_state.sent_at) if at > reported_at)
    reported = newest.report.running + newest.report.waiting
    return float(max(local_state.in_flight, reported + sent_since))


def watcher_reports(reports: Iterable[AgedReport]) -> list[AgedReport]:
    """Return the reports that come from watchers, not from controllers."""
    return [
        aged for aged in reports if not aged.report.watcher.startswith(CONTROLLER_REPORT_PREFIX)
    ]


@dataclass(frozen=True)
class Choice:
    """The chosen back end (None if none was eligible) and all candidates."""

    back_end: BackEnd | None
    candidates: list[Candidate]


class Router:
    """Chooses back ends by load; shared by app requests and rollouts."""

    def __init__(
        self,
        digest: DigestTable,
        zone: str,
        generator: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._digest = digest
        self._zone = zone
        self._random = generator
        self._clock = clock
        self._states: dict[str, LocalBackEndState] = {}
        self._last_turns: dict[str, int] = {}
        self._turn_counter = itertools.count(1)
        self.leaving_machines: set[str] = set()
        """Hosts of the machines that the machine list reports as leaving or gone."""

    def local_state(self, target: str) -> LocalBackEndState:
        """Return this node's own state of a back end; `target` is `group/back end`."""
        return self._states.setdefault(target, LocalBackEndState())

    def start(self, target: str) -> None:
        """Record that a request is now sent to the back end."""
        local_state = self.local_state(target)
        local_state.in_flight += 1
        local_state.sent_at.append(self._clock())

    def finish(self, target: str) -> None:
        """Record that a request to the back end ended."""
        self.local_state(target).in_flight -= 1

    def record_connection_failure(self, target: str) -> None:
        """Record a refused connection, which makes the back end ineligible for a while."""
        self.local_state(target).failed_at = self._clock()

    def choose(
        self,
        group: str,
        back_ends: Iterable[BackEnd],
        eligible: Callable[[Candidate], str | None] = lambda _candidate: None,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice:
        """Choose one of `back_ends` of the service or pool `group`.

        Parameters
        ==========

        eligible : returns the reason why a candidate is refused, None to accept it.
        excluded : names of back ends that were already tried for this request.
        """
        by_name = {back_end.name: back_end for back_end in back_ends}
        candidates = [self._make_candidate(group, back_end) for back_end in by_name.values()]
        for candidate in candidates:
            if candidate.refused is None and candidate.name in excluded:
                candidate.refused = "already tried for this request"
            if candidate.refused is None:
                candidate.refused = eligible(candidate)
        accepted = [candidate for candidate in candidates if candidate.refused is None]
        if not accepted:
            return Choice(None, candidates)
        lowest = min(candidate.load for candidate in accepted)
        # Equal loads: prefer this zone, then choose at random, so that nodes do not all choose
        # the same back end.
        tied = [candidate for candidate in accepted if candidate.load == lowest]
        same_zone = [c for c in tied if by_name[c.name].zone == self._zone]
        chosen = self._random.choice(same_zone or tied)
        return Choice(by_name[chosen.name], candidates)

    def choose_round_robin(
        self,
        group: str,
        back_ends: Iterable[BackEnd],
        eligible: Callable[[Candidate], str | None],
    ) -> Choice:
        """Choose the eligible back end that this method chose the longest ago."""
        choice = self.choose(group, back_ends, eligible)
        accepted = [c.name for c in choice.candidates if c.refused is None]
        if not accepted:
            return choice
        by_name = {back_end.name: back_end for back_end in back_ends}
        chosen = min(accepted, key=lambda name: self._last_turns.get(f"{group}/{name}", 0))
        self._last_turns[f"{group}/{chosen}"] = next(self._turn_counter)
        return Choice(by_name[chosen], choice.candidates)

    def _make_candidate(self, group: str, back_end: BackEnd) -> Candidate:
        target = f"{group}/{back_end.name}"
        local_state = self.local_state(target)
        reports = self._digest.reports_for(target)
        refused = self._refusal(back_end, local_state, reports)
        newest = min(watcher_reports(reports), key=lambda aged: aged.age, default=None)
        load = expected_load(local_state, newest, self._clock())
        version = newest.report.version if newest is not None else NO_VERSION
        return Candidate(back_end.name, load, version, refused)

    def _refusal(
        self, back_end: BackEnd, local_state: LocalBackEndState, reports: list[AgedReport]
    ) -> str | None:
        """Return the reason why the back end is not eligible; None if it is."""
        if back_end.leaving:
            return LEAVING_BY_FILE
        if any(aged.report.leaving for aged in reports):
            return LEAVING_BY_REPORT
        if back_end.address.rpartition(":")[0] in self.leaving_machines:
            return LEAVING_BY_MACHINE_LIST
        set_aside = next((aged.report.set_aside for aged in reports if aged.report.set_aside), None)
        if set_aside is not None:
            return f"set aside: {set_aside}"
        observed = watcher_reports(reports)
        if observed and not any(aged.report.alive for aged in observed):
            return "does not answer its watchers"
        if self._clock() - local_state.failed_at < CONNECTION_FAILURE_S:
            return "refused a connection just now"
        return None
