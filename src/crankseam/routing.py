"""Chooses a back end: least load, corrected by what this node sent since the load was reported."""

from __future__ import annotations

import itertools
import random
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from crankseam.cluster.digest import DigestTable
from crankseam.config.kinds import BackEnd
from crankseam.decisions import Candidate

CONNECTION_FAILURE_SECONDS = 1.0
"""A back end that refused a connection is passed over for this long."""

NOTE_PREFIX = "weights/"
"""Reports of this kind of watcher carry a controller's note and no load."""

LEAVING_SEEN_FILE = "leaving: by its file"
LEAVING_SEEN_REPORT = "leaving: by its own report"
LEAVING_SEEN_MACHINE = "leaving: by the machine list"


@dataclass
class LocalView:
    """What this node itself knows of one back end."""

    in_flight: int = 0
    sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=1024))
    failed_at: float = float("-inf")


@dataclass(frozen=True)
class Choice:
    """A chosen back end (None if there was none) and all that were considered."""

    back_end: BackEnd | None
    candidates: list[Candidate]


class Router:
    """Scores back ends; shared by app requests and rollouts."""

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
        self._views: dict[str, LocalView] = {}
        self._turns: dict[str, int] = {}
        self._turn = itertools.count(1)
        self.leaving_machines: set[str] = set()
        """host of each machine that the machine list calls leaving or gone."""

    def view(self, target: str) -> LocalView:
        """This node's own view of `service/back end`."""
        return self._views.setdefault(target, LocalView())

    def start(self, target: str) -> None:
        """Count a request that is now sent to the back end."""
        view = self.view(target)
        view.in_flight += 1
        view.sent_at.append(self._clock())

    def finish(self, target: str) -> None:
        """Count a request that ended there."""
        self.view(target).in_flight -= 1

    def fail_connection(self, target: str) -> None:
        """Pass the back end over for a while: it refused a connection."""
        self.view(target).failed_at = self._clock()

    def choose(
        self,
        group: str,
        back_ends: Iterable[BackEnd],
        eligible: Callable[[Candidate], str | None] = lambda _candidate: None,
        excluded: frozenset[str] = frozenset(),
    ) -> Choice:
        """Choose one of `back_ends` of the service or pool `group`.

        Args:
            eligible: returns a reason to refuse a candidate, None to accept it.
            excluded: names already tried for this request.
        """
        by_name = {back_end.name: back_end for back_end in back_ends}
        candidates = [self._consider(group, back_end) for back_end in by_name.values()]
        for candidate in candidates:
            if candidate.refused is None and candidate.name in excluded:
                candidate.refused = "already tried for this request"
            if candidate.refused is None:
                candidate.refused = eligible(candidate)
        accepted = [candidate for candidate in candidates if candidate.refused is None]
        if not accepted:
            return Choice(None, candidates)
        lowest = min(candidate.load for candidate in accepted)
        # Equal loads: one of this zone first, then by chance, so that nodes do not all agree.
        tied = [candidate for candidate in accepted if candidate.load == lowest]
        near = [c for c in tied if by_name[c.name].zone == self._zone]
        chosen = self._random.choice(near or tied)
        return Choice(by_name[chosen.name], candidates)

    def take_turns(
        self,
        group: str,
        back_ends: Iterable[BackEnd],
        eligible: Callable[[Candidate], str | None],
    ) -> Choice:
        """Choose the eligible one that had its last request the longest ago."""
        choice = self.choose(group, back_ends, eligible)
        accepted = [c.name for c in choice.candidates if c.refused is None]
        if not accepted:
            return choice
        by_name = {back_end.name: back_end for back_end in back_ends}
        chosen = min(accepted, key=lambda name: self._turns.get(f"{group}/{name}", 0))
        self._turns[f"{group}/{chosen}"] = next(self._turn)
        return Choice(by_name[chosen], choice.candidates)

    def _consider(self, group: str, back_end: BackEnd) -> Candidate:
        target = f"{group}/{back_end.name}"
        view = self.view(target)
        reports = self._digest.reports_for(target)
        refused = self._refusal(back_end, view, reports)
        observed = [item for item in reports if not item[0].watcher.startswith(NOTE_PREFIX)]
        load, version = self._load(view, observed)
        return Candidate(back_end.name, load, version, refused)

    def _load(self, view: LocalView, reports: list) -> tuple[float, int]:
        if not reports:
            return float(view.in_flight), -1
        report, age = min(reports, key=lambda item: item[1])
        reported_at = self._clock() - age
        sent_since = sum(1 for at in reversed(view.sent_at) if at > reported_at)
        reported = report.running + report.waiting
        return float(max(view.in_flight, reported + sent_since)), report.version

    def _refusal(self, back_end: BackEnd, view: LocalView, reports: list) -> str | None:
        if back_end.leaving:
            return LEAVING_SEEN_FILE
        if any(report.leaving for report, _age in reports):
            return LEAVING_SEEN_REPORT
        if back_end.address.rpartition(":")[0] in self.leaving_machines:
            return LEAVING_SEEN_MACHINE
        set_aside = next((r.set_aside for r, _age in reports if r.set_aside), None)
        if set_aside is not None:
            return f"set aside: {set_aside}"
        observed = [item for item in reports if not item[0].watcher.startswith(NOTE_PREFIX)]
        if observed and not any(report.alive for report, _age in observed):
            return "does not answer its watchers"
        if self._clock() - view.failed_at < CONNECTION_FAILURE_SECONDS:
            return "refused a connection just now"
        return None
