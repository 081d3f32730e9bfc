"""Decides whether a back end may receive work while the watchers of its zone are silent.

Inputs: seconds since the last news of the back end's zone, and the back end's own load report, at
most `REPORT_CACHE_S` old.
Rule: while news of the zone arrives, the reports of its watchers are trusted. If none has arrived
for `SILENT_HEARTBEATS` heartbeat intervals, this node asks the back end itself and lets it receive
work only if it answers and is not leaving.
Purpose: during a network partition, a back end that is leaving receives no new work, and a back
end that can still be reached continues to receive it.
Logged as: the next attempt among the decisions that `crankseam explain` prints.
Tested by: tests/requests/test_app_requests.py. Design: docs/design/06-membership.md.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from crankseam.clients.load_report import LoadReport, fetch_load_report
from crankseam.cluster.digest import DigestTable
from crankseam.config.kinds import BackEnd

REPORT_CACHE_S = 0.5
"""Seconds for which a back end's own load report is reused."""
SILENT_HEARTBEATS = 1.4
"""Heartbeat intervals without news after which a zone counts as silent; news is due once per
interval."""


@dataclass(frozen=True)
class _CachedReport:
    at: float
    report: LoadReport | None


class BackEndProbe:
    """Queries back ends of silent zones, each at most once per `REPORT_CACHE_S`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        digest: DigestTable,
        heartbeat: float,
        timeout: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._session = session
        self._digest = digest
        self._silence_limit_s = heartbeat * SILENT_HEARTBEATS
        self._timeout = timeout
        self._clock = clock
        self._cached_reports: dict[str, _CachedReport] = {}

    async def may_receive_work(self, back_end: BackEnd) -> bool:
        """Whether a back end that routing chose may receive work.

        The caller must ask immediately before it sends, so that the answer is current.
        """
        if self._digest.seconds_since_zone_update(back_end.zone) <= self._silence_limit_s:
            return True
        report = await self._fetch_cached(back_end.address)
        return report is not None and not report.leaving

    async def _fetch_cached(self, address: str) -> LoadReport | None:
        cached = self._cached_reports.get(address)
        if cached is None or self._clock() - cached.at > REPORT_CACHE_S:
            # The time is taken before the request, so that a cached report is never older than
            # its recorded time.
            requested_at = self._clock()
            report = await fetch_load_report(self._session, address, self._timeout)
            cached = _CachedReport(requested_at, report)
            self._cached_reports[address] = cached
        return cached.report
