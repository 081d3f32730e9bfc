"""State of each back end as known to this process: load, failures, weight versions, own requests.

Owns the registry of back ends by id, which discovery fills, and the time for which a back end is
avoided after a failure. Relies on the load reports that back ends send with their answers. The back
end for a request is selected in `choice`, the one for an item in `jobs.places`.
"""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from crankseam.serving.cold_starts import DEFAULT_COLD_PER_S, ColdStart
from crankseam.serving.engine_memory import REMOTE_RUN_TOKENS, EngineMemory, RunSize
from crankseam.serving.isolation import log_left_out
from crankseam.serving.load_reports import LoadReport

log = logging.getLogger(__name__)

DEFAULT_SLOTS = 8
"""Number of slots of a back end for which discovery lists none."""
LOAD_REPORT_MAX_AGE_S = 1.5
"""Seconds after which a reported load is ignored as stale."""
AVOID_BASE_S = 0.4
"""Seconds for which a back end is avoided after one failure; doubles with each consecutive one."""
AVOID_CAP_S = 3.0
"""Longest time, in seconds, for which a back end is avoided after consecutive failures."""
REJECTED_AVOID_S = 0.05
"""Seconds for which a back end is avoided after it rejected a request. The time is short since a
slot becomes free soon."""
AVERAGE_SLOWDOWN_WINDOW_S = 3.0
"""Smoothing window, in seconds, of the average slowdown. It is in time rather than in reports,
since those of concurrent requests arrive together."""
ENDED_AVOID_S = 5.0
"""Seconds for which a back end is avoided after it was found to have ended. Discovery removes a
silent back end after about three heartbeats; a back end that was considered ended by mistake is
used again after this time."""


@dataclass(frozen=True, slots=True)
class BackEndRecord:
    """Entry of one incarnation of a back end in discovery."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    """Loaded weight version, by model."""
    is_spot: bool = False
    """Whether the back end runs on spot capacity, which may be withdrawn at short notice."""
    cold_left_s: float = 0.0
    """Remaining cold time, in seconds, when the entry was written; see `cold_starts`."""


@dataclass(slots=True, eq=False)
class BackEnd:
    """One incarnation of a back end, with the state that this process keeps about it."""

    record: BackEndRecord
    in_flight: int = 0
    """Requests of this process that run there or have been granted a slot; maintained by
    `occupy_slot` and `release_slot`."""
    reported_load: int = 0
    """Running and waiting requests of all processes, according to the last load report."""
    slowdown: float | None = None
    """Slowdown of the last load report; None if the back end does not report it."""
    average_slowdown: float | None = None
    """Average of the reported slowdowns over `AVERAGE_SLOWDOWN_WINDOW_S`; None while none was
    reported."""
    in_flight_at_report: int = 0
    """Value of `in_flight` when the last load report arrived."""
    reported_at: float = float("-inf")
    """Monotonic time, in seconds, at which the last load report arrived."""
    failures: int = 0
    """Number of consecutive failures; failures that occur together count once."""
    avoid_until: float = float("-inf")
    """Monotonic time, in seconds, until which the back end is used only if there is no other."""
    observed_versions: dict[str, int] = field(default_factory=dict)
    """Newest weight version observed in answers, by model."""
    runs: dict[str, RunSize] = field(default_factory=dict)
    """Runs of this process that occupy or were granted a slot there, by item."""
    cold: ColdStart = field(default_factory=ColdStart)
    has_ended: bool = False
    """Whether this process found that the back end ended without announcing it."""

    def occupy_slot(self) -> None:
        """Count a request of this process that is sent there or is granted the next free slot."""
        self.in_flight += 1
        self.cold.sent(time.monotonic())

    def release_slot(self) -> None:
        """Stop counting a request that has ended, or that is not sent there after all."""
        self.in_flight -= 1

    def expected_load(self, now: float) -> float:
        """Return the estimated number of requests at the back end.

        The estimate is the number of requests of this process plus, while the last load report is
        fresh, the number of requests of other processes according to that report.
        """
        if now - self.reported_at > LOAD_REPORT_MAX_AGE_S:
            return float(self.in_flight)
        return self.in_flight + max(0, self.reported_load - self.in_flight_at_report)

    def has_memory_for(self, size: RunSize, memory: EngineMemory, now: float) -> bool:
        """Whether a run is expected to fit in memory until it ends, beside the runs already there.

        A run always fits if the back end has no other.
        """
        others = max(0.0, self.expected_load(now) - self.in_flight)
        taken = sum(run.expected_tokens(memory) for run in self.runs.values())
        if not taken and not others:
            return True
        expected = taken + others * REMOTE_RUN_TOKENS + size.expected_tokens(memory)
        return expected <= memory.tokens

    def report_load(self, report: LoadReport) -> None:
        """Store a load report that the back end sent."""
        now = time.monotonic()
        self._update_slowdown(report.slowdown, now)
        self.reported_load = report.requests
        self.in_flight_at_report = self.in_flight
        self.reported_at = now

    def _update_slowdown(self, slowdown: float | None, now: float) -> None:
        self.slowdown = slowdown
        if slowdown is None or self.average_slowdown is None:
            self.average_slowdown = slowdown
            return
        elapsed_s = max(0.0, now - self.reported_at)
        weight = 1.0 - math.exp(-elapsed_s / AVERAGE_SLOWDOWN_WINDOW_S)
        self.average_slowdown += weight * (slowdown - self.average_slowdown)

    def version_of(self, model: str) -> int:
        """Return the newest weight version of a model that the back end is known to have loaded.

        The version is 0 if none is known.
        """
        return max(self.record.versions.get(model, 0), self.observed_versions.get(model, 0))

    def record_success(self) -> None:
        """Record a valid answer: the back end is no longer avoided."""
        self.has_ended = False
        self.failures = 0
        self.avoid_until = float("-inf")

    def record_failure(self) -> None:
        """Record a failed attempt, and avoid the back end for some time.

        Attempts that fail together, for example when the back end resets all its connections, count
        as one failure.
        """
        if self.avoid_until > time.monotonic() and self.failures:
            return
        self.failures += 1
        pause_s = min(AVOID_CAP_S, AVOID_BASE_S * 2.0 ** (self.failures - 1))
        self.avoid_until = max(self.avoid_until, time.monotonic() + pause_s)

    def record_end(self) -> None:
        """Record that the back end ended unannounced; discovery still lists it for some time."""
        self.has_ended = True
        self.avoid_until = max(self.avoid_until, time.monotonic() + ENDED_AVOID_S)

    def record_rejection(self, pause_s: float = REJECTED_AVOID_S) -> None:
        """Record that the back end rejected a request without running it; avoid it briefly."""
        self.avoid_until = max(self.avoid_until, time.monotonic() + pause_s)


def slots_of(back_end: BackEnd) -> int:
    """Number of requests that a back end processes concurrently."""
    return back_end.record.slots or DEFAULT_SLOTS


class BackEndRegistry:
    """All back ends that discovery reports, by id; ids are never reused.

    Attributes
    ==========

    on_change : callbacks invoked after each change.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, BackEnd] = {}
        self._by_service: dict[str, dict[str, BackEnd]] = {}
        self._evacuated_zones: set[str] = set()
        self.on_change: list[Callable[[], None]] = []
        self.cold_limit: Callable[[str, str], int | None] = lambda _id, _service: int(
            DEFAULT_COLD_PER_S
        )
        """Returns how many requests this process may send to a cold back end within any second, by
        its id and service; None means no limit."""
        self.is_service_named: Callable[[str], bool] = lambda _service: True
        """Whether the configuration in force names a service. Back ends of other services are kept,
        since a later configuration may name them."""

    def update(self, record: BackEndRecord, is_initial_read: bool = False) -> None:
        """Add a back end, or update its entry.

        Parameters
        ==========

        is_initial_read : whether this process is reading all entries for the first time; added back
            ends are then not logged individually.
        """
        back_end = self._by_id.get(record.id)
        if back_end is None:
            back_end = self._by_id[record.id] = BackEnd(record)
            self._by_service.setdefault(record.service, {})[record.id] = back_end
            if not is_initial_read:
                log.info("back_end_in", extra={"back_end": record.id, "service": record.service})
        else:
            if record.service != back_end.record.service:
                del self._by_service[back_end.record.service][record.id]
                self._by_service.setdefault(record.service, {})[record.id] = back_end
            if record.leaving and not back_end.record.leaving:
                log.info("back_end_leaving", extra={"back_end": record.id})
            back_end.record = record
        self._update_cold_start(back_end, record.cold_left_s)
        self._notify_change()

    @staticmethod
    def _update_cold_start(back_end: BackEnd, remaining_s: float) -> None:
        now = time.monotonic()
        if remaining_s > 0.0 and not back_end.cold.is_cold(now):
            log.info(
                "back_end_cold", extra={"back_end": back_end.record.id, "seconds": remaining_s}
            )
        back_end.cold.set_remaining(remaining_s, now)

    def may_send(self, back_end: BackEnd, now: float) -> bool:
        """Whether this process may send a request now; the rate is limited for cold back ends."""
        if not back_end.cold.is_cold(now):
            return True
        limit_per_s = self.cold_limit(back_end.record.id, back_end.record.service)
        return back_end.cold.has_room(limit_per_s, now)

    def remove(self, back_end_id: str) -> None:
        """Remove a back end that is gone from discovery; it gets no new requests."""
        gone = self._by_id.pop(back_end_id, None)
        if gone is not None:
            del self._by_service[gone.record.service][back_end_id]
            log.info("back_end_out", extra={"back_end": back_end_id})
            self._notify_change()

    def evacuate(self, zone: str) -> None:
        """Send no new work to the back ends of a zone, as ordered by the operator.

        Requests that are already running there continue.
        """
        if zone not in self._evacuated_zones:
            self._evacuated_zones.add(zone)
            log.info("zone_evacuated", extra={"zone": zone})
            self._notify_change()

    def revoke_evacuation(self, zone: str) -> None:
        """Revoke the evacuation of a zone, as ordered by the operator."""
        if zone in self._evacuated_zones:
            self._evacuated_zones.remove(zone)
            log.info("zone_taken_back", extra={"zone": zone})
            self._notify_change()

    def _accepts_new_work(self, back_end: BackEnd) -> bool:
        return not back_end.record.leaving and back_end.record.zone not in self._evacuated_zones

    def _notify_change(self) -> None:
        for notify in self.on_change:
            notify()

    def count(self) -> int:
        """Return the number of known back ends, including those that are leaving."""
        return len(self._by_id)

    def by_id(self, back_end_id: str) -> BackEnd | None:
        """Return the back end with an id, leaving or not; None if unknown."""
        return self._by_id.get(back_end_id)

    def is_current(self, back_end: BackEnd) -> bool:
        """Whether this incarnation is still in discovery and accepts new work."""
        return self.is_known(back_end) and self._accepts_new_work(back_end)

    def is_known(self, back_end: BackEnd) -> bool:
        """Whether this incarnation is still in discovery, even if it is leaving."""
        return self._by_id.get(back_end.record.id) is back_end

    def with_model(self, model: str) -> list[BackEnd]:
        """Return all back ends that have loaded a model and are not leaving.

        Back ends of a service that the configuration does not name are left out.
        """
        return [
            back_end
            for back_end in self._by_id.values()
            if model in back_end.record.versions
            and not back_end.record.leaving
            and self.is_service_named(back_end.record.service)
        ]

    def of_service(self, service: str) -> list[BackEnd]:
        """Return the back ends of a service that accept new work."""
        accepting = []
        for back_end in self.not_leaving(service):
            try:
                if self._accepts_new_work(back_end):
                    accepting.append(back_end)
            except Exception:
                log_left_out("accepts_new_work", back_end.record.id)
        return accepting

    def with_back_ends(self, services: list[str]) -> list[str]:
        """Those of some services that have a back end which accepts new work."""
        return [service for service in services if self.of_service(service)]

    def not_leaving(self, service: str) -> list[BackEnd]:
        """Return the back ends of a service that are not leaving, including evacuated zones."""
        known = self._by_service.get(service, {}).values()
        return [back_end for back_end in known if not back_end.record.leaving]

    def reports_slowdown(self, service: str) -> bool:
        """Whether a back end of a service has reported a slowdown; see LoadReport."""
        known = self._by_service.get(service, {}).values()
        return any(back_end.slowdown is not None for back_end in known)

    def is_not_leaving(self, back_end: BackEnd) -> bool:
        """Whether a back end is known and not leaving; its zone may be evacuated."""
        return self.is_known(back_end) and not back_end.record.leaving
