"""Which back end gets a request or sample, and why do the others not?

Inputs: the configuration's back ends; watchers' reports of their life, leaving flag, load and
version (as old as `age` says; see `back_end_watch`); what this node itself sent there and when a
connection was last refused (seconds of the steady clock); the machine list's leaving machines.
Rule: one that is leaving by any source, set aside, silent to all its watchers, or refused a
connection within `CONNECTION_FAILURE_S` is not eligible. Of the others the least load wins, which
is what this node has in flight there or, if more, the newest report and what was sent since. Equal
loads: one of this zone first, then a random tie-break, so that nodes do not all agree.
Protects: a back end that leaves from new work, and the others from the load that reports, seconds
old, do not show.
Shown by: the decision in `crankseam explain`, with each candidate and the reason it was refused.
Held by: tests/test_routing.py, tests/requests/test_app_requests.py, tests/rollout/.

`serving/back_ends.choose` does this on the users' platform, and differs by intent: a back end has
slots there that loads are measured against, failures in a row are avoided for longer and longer and
such a back end is taken where no other is left, and no refusals are kept to be asked about.
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
"""A back end that refused a connection is passed over for this long; its watchers report it dead
within two readings. Origin not recorded."""
REMEMBERED_SENDS = 1024
"""Sends to one back end whose times are kept, to be counted after a report. Origin not recorded."""

NOTE_PREFIX = "weights/"
"""Reports of this kind of watcher carry a controller's note and no load."""

LEAVING_SEEN_FILE = "leaving: by its file"
LEAVING_SEEN_REPORT = "leaving: by its own report"
LEAVING_SEEN_MACHINE = "leaving: by the machine list"


@dataclass
class LocalView:
    """What this node itself knows of one back end."""

    in_flight: int = 0
    sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=REMEMBERED_SENDS))
    failed_at: float = float("-inf")


def expected_load(view: LocalView, newest: AgedReport | None, now: float) -> float:
    """Requests at a back end, as far as this node can tell."""
    if newest is None:
        return float(view.in_flight)
    reported_at = now - newest.age
    sent_since = sum(1 for at in reversed(view.sent_at) if at > reported_at)
    reported = newest.report.running + newest.report.waiting
    return float(max(view.in_flight, reported + sent_since))


def watchers_only(reports: Iterable[AgedReport]) -> list[AgedReport]:
    """The reports of watchers, without controllers' notes."""
    return [each for each in reports if not each.report.watcher.startswith(NOTE_PREFIX)]


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
        newest = min(watchers_only(reports), key=lambda each: each.age, default=None)
        load = expected_load(view, newest, self._clock())
        version = newest.report.version if newest is not None else NO_VERSION
        return Candidate(back_end.name, load, version, refused)

    def _refusal(self, back_end: BackEnd, view: LocalView, reports: list[AgedReport]) -> str | None:
        """Why the back end is not eligible; None if it is."""
        if back_end.leaving:
            return LEAVING_SEEN_FILE
        if any(each.report.leaving for each in reports):
            return LEAVING_SEEN_REPORT
        if back_end.address.rpartition(":")[0] in self.leaving_machines:
            return LEAVING_SEEN_MACHINE
        set_aside = next((each.report.set_aside for each in reports if each.report.set_aside), None)
        if set_aside is not None:
            return f"set aside: {set_aside}"
        observed = watchers_only(reports)
        if observed and not any(each.report.alive for each in observed):
            return "does not answer its watchers"
        if self._clock() - view.failed_at < CONNECTION_FAILURE_S:
            return "refused a connection just now"
        return None
