"""May a back end get work whose watchers are not heard?

Inputs: seconds since the last news of the back end's zone, and the back end's own load report, at
most `CACHE_S` old.
Rule: while the zone is heard, its watchers' word is taken. Where it was silent for
`SILENT_HEARTBEATS`, the back end is asked itself and gets work only if it answers and is not
leaving.
Protects: a back end that leaves during a cut gets no work, and one that is reached goes on.
Shown by: the next attempt among the decisions of `crankseam explain`. Held by:
tests/requests/test_app_requests.py; docs/design/06-membership.md.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp

from crankseam.clients.load_report import LoadReport, fetch_load_report
from crankseam.cluster.digest import DigestTable
from crankseam.config.kinds import BackEnd

CACHE_S = 0.5
"""How long a back end's own report is used again. Origin not recorded."""
SILENT_HEARTBEATS = 1.4
"""A zone without news for this many heartbeats is not heard: news comes once a heartbeat."""


@dataclass(frozen=True)
class _Seen:
    at: float
    report: LoadReport | None


class BackEndProbe:
    """Looks at back ends of zones that are not heard, at most twice a second each."""

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
        self._silence = heartbeat * SILENT_HEARTBEATS
        self._timeout = timeout
        self._clock = clock
        self._seen: dict[str, _Seen] = {}

    async def may_get_work(self, back_end: BackEnd) -> bool:
        """Whether a back end that routing chose may get work. Ask directly before sending."""
        if self._digest.zone_silence(back_end.zone) <= self._silence:
            return True
        report = await self._look(back_end.address)
        return report is not None and not report.leaving

    async def _look(self, address: str) -> LoadReport | None:
        seen = self._seen.get(address)
        if seen is None or self._clock() - seen.at > CACHE_S:
            # Dated before the question: what is reused is no older than it seems.
            asked_at = self._clock()
            report = await fetch_load_report(self._session, address, self._timeout)
            seen = _Seen(asked_at, report)
            self._seen[address] = seen
        return seen.report
