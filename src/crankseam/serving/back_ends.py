"""What this process believes of each back end: load, failures, weight versions, its own requests.

Owns the registry of back ends by id, as discovery fills it, and the time for which a back end is
avoided after it failed. Relies on the reports that back ends send with their answers. Which of them
gets a request is decided in `choice` (requests) and `jobs.places` (items).
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from crankseam.serving.cold_starts import DEFAULT_COLD_PER_S, ColdStart
from crankseam.serving.engine_memory import REMOTE_RUN_TOKENS, EngineMemory, RunSize

log = logging.getLogger(__name__)

LOAD_REPORT_MAX_AGE_S = 1.5
"""A reported load older than so many seconds is not believed any more. Origin not recorded."""
AVOID_BASE_S = 0.4
"""Seconds for which a back end is avoided after its first failure. Origin not recorded."""
AVOID_CAP_S = 3.0
"""After failures in a row it is avoided for a time that doubles up to so many seconds. Origin not
recorded."""
FULL_AVOID_S = 0.05
"""Seconds for which a back end that rejected a request is avoided: a slot comes free soon. Origin
not recorded."""
ENDED_AVOID_S = 5.0
"""Seconds: discovery drops a silent back end after some three heartbeats; one that was taken as
ended by mistake is tried again after this."""


@dataclass(frozen=True, slots=True)
class BackEndRecord:
    """What discovery says of one incarnation of a back end."""

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    """Weight version by model."""
    is_spot: bool = False
    """Whether it may be taken away at short notice."""
    cold_left_s: float = 0.0
    """How long it bears few requests still, when it said so."""


@dataclass(slots=True, eq=False)
class BackEnd:
    """One incarnation of a back end and this process's experience with it."""

    record: BackEndRecord
    in_flight: int = 0
    """Requests of this process that run there or were promised a place; counted by `occupy_slot`
    and `release_slot`."""
    reported_load: int = 0
    """Requests of all processes there, running or waiting, by its last report."""
    reported_own: int = 0
    """`in_flight` when that report came."""
    reported_at: float = float("-inf")
    """Monotonic time of the report, in seconds."""
    failures: int = 0
    """In a row, those that came together counted once."""
    avoid_until: float = float("-inf")
    """Monotonic time, in seconds, until which it is chosen only where there is no other."""
    observed_versions: dict[str, int] = field(default_factory=dict)
    """Newest weight version seen in answers, by model."""
    runs: dict[str, RunSize] = field(default_factory=dict)
    """Runs of this process that hold or were granted a place there, by item."""
    cold: ColdStart = field(default_factory=ColdStart)
    has_ended: bool = False
    """Whether this process found that it ended without having said so."""

    def occupy_slot(self) -> None:
        """A request of this process is sent there, or is promised the next place."""
        self.in_flight += 1
        self.cold.sent(time.monotonic())

    def release_slot(self) -> None:
        """It has ended, or does not go there after all."""
        self.in_flight -= 1

    def expected_load(self, now: float) -> float:
        """Requests there: this process's own and, while the report is fresh, those of others."""
        if now - self.reported_at > LOAD_REPORT_MAX_AGE_S:
            return float(self.in_flight)
        return self.in_flight + max(0, self.reported_load - self.reported_own)

    def has_memory_for(self, size: RunSize, memory: EngineMemory, now: float) -> bool:
        """Whether a run fits until its end beside those that are there."""
        others = max(0.0, self.expected_load(now) - self.in_flight)
        taken = sum(run.expected_tokens(memory) for run in self.runs.values())
        if not taken and not others:
            return True
        expected = taken + others * REMOTE_RUN_TOKENS + size.expected_tokens(memory)
        return expected <= memory.tokens

    def report_load(self, running: int, waiting: int) -> None:
        """Take a load report of the back end itself."""
        self.reported_load = running + waiting
        self.reported_own = self.in_flight
        self.reported_at = time.monotonic()

    def version_of(self, model: str) -> int:
        """Newest version of a model that this back end is known to carry; 0 if unknown."""
        return max(self.record.versions.get(model, 0), self.observed_versions.get(model, 0))

    def succeeded(self) -> None:
        """An answer came as it should."""
        self.has_ended = False
        self.failures = 0
        self.avoid_until = float("-inf")

    def failed(self) -> None:
        """An attempt broke: avoid the back end for a while.

        Attempts that break together, as when it resets all its connections, are one failure.
        """
        if self.avoid_until > time.monotonic() and self.failures:
            return
        self.failures += 1
        pause_s = min(AVOID_CAP_S, AVOID_BASE_S * 2.0 ** (self.failures - 1))
        self.avoid_until = max(self.avoid_until, time.monotonic() + pause_s)

    def ended(self) -> None:
        """It ended without having said so: discovery shows it a while longer."""
        self.has_ended = True
        self.avoid_until = max(self.avoid_until, time.monotonic() + ENDED_AVOID_S)

    def was_full(self, pause_s: float = FULL_AVOID_S) -> None:
        """The back end rejected a request without running it."""
        self.avoid_until = max(self.avoid_until, time.monotonic() + pause_s)


class BackEndRegistry:
    """All back ends by id, as discovery tells them; ids are never used again."""

    def __init__(self) -> None:
        self._by_id: dict[str, BackEnd] = {}
        self._by_service: dict[str, dict[str, BackEnd]] = {}
        self._evacuated: set[str] = set()
        self.on_change: list[Callable[[], None]] = []
        self.cold_share: Callable[[str, str], int | None] = lambda _id, _service: int(
            DEFAULT_COLD_PER_S
        )
        """Requests that this process may send to a cold back end within any second, by its id and
        service; None if any number."""

    def update(self, record: BackEndRecord, is_first_reading: bool = False) -> None:
        """Take what discovery says of a back end.

        Parameters
        ==========

        is_first_reading : it was found when this process read all: no line for each.
        """
        known = self._by_id.get(record.id)
        if known is None:
            known = self._by_id[record.id] = BackEnd(record)
            self._by_service.setdefault(record.service, {})[record.id] = known
            if not is_first_reading:
                log.info("back_end_in", extra={"back_end": record.id, "service": record.service})
        else:
            if record.service != known.record.service:
                del self._by_service[known.record.service][record.id]
                self._by_service.setdefault(record.service, {})[record.id] = known
            if record.leaving and not known.record.leaving:
                log.info("back_end_leaving", extra={"back_end": record.id})
            known.record = record
        self._take_cold(known, record.cold_left_s)
        self._changed()

    @staticmethod
    def _take_cold(known: BackEnd, left_s: float) -> None:
        now = time.monotonic()
        if left_s > 0.0 and not known.cold.is_cold(now):
            log.info("back_end_cold", extra={"back_end": known.record.id, "seconds": left_s})
        known.cold.set_remaining(left_s, now)

    def may_send(self, back_end: BackEnd, now: float) -> bool:
        """Whether this process may send a request there now: a cold one bears few."""
        if not back_end.cold.is_cold(now):
            return True
        most = self.cold_share(back_end.record.id, back_end.record.service)
        return back_end.cold.has_room(most, now)

    def remove(self, back_end_id: str) -> None:
        """The back end is gone from discovery: nothing new is sent there."""
        gone = self._by_id.pop(back_end_id, None)
        if gone is not None:
            del self._by_service[gone.record.service][back_end_id]
            log.info("back_end_out", extra={"back_end": back_end_id})
            self._changed()

    def evacuate(self, zone: str) -> None:
        """The operator wants nothing new sent to a zone's back ends; what runs there goes on."""
        if zone not in self._evacuated:
            self._evacuated.add(zone)
            log.info("zone_evacuated", extra={"zone": zone})
            self._changed()

    def take_back(self, zone: str) -> None:
        """The operator takes an evacuation back."""
        if zone in self._evacuated:
            self._evacuated.remove(zone)
            log.info("zone_taken_back", extra={"zone": zone})
            self._changed()

    def _takes_new_work(self, back_end: BackEnd) -> bool:
        return not back_end.record.leaving and back_end.record.zone not in self._evacuated

    def _changed(self) -> None:
        for notify in self.on_change:
            notify()

    def count(self) -> int:
        """How many are known, leaving ones among them."""
        return len(self._by_id)

    def by_id(self, back_end_id: str) -> BackEnd | None:
        """The back end of this id, leaving or not."""
        return self._by_id.get(back_end_id)

    def is_current(self, back_end: BackEnd) -> bool:
        """Whether new work may be sent to this back end now."""
        return self.is_known(back_end) and self._takes_new_work(back_end)

    def is_known(self, back_end: BackEnd) -> bool:
        """Whether this incarnation is still in discovery, leaving or not."""
        return self._by_id.get(back_end.record.id) is back_end

    def carrying(self, model: str) -> list[BackEnd]:
        """All that carry a model and are not leaving."""
        return [
            back_end
            for back_end in self._by_id.values()
            if model in back_end.record.versions and not back_end.record.leaving
        ]

    def of_service(self, service: str) -> list[BackEnd]:
        """Those that take new work."""
        return [one for one in self.staying_of(service) if self._takes_new_work(one)]

    def staying_of(self, service: str) -> list[BackEnd]:
        """Those that are not leaving, in evacuated zones too."""
        known = self._by_service.get(service, {}).values()
        return [one for one in known if not one.record.leaving]

    def is_staying(self, back_end: BackEnd) -> bool:
        """Whether it is known and not leaving, in an evacuated zone too."""
        return self.is_known(back_end) and not back_end.record.leaving
