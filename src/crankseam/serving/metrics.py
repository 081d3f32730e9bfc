"""Metrics of a serving process, derived from its log events and its calls to the store.

Owns the metrics registry of the process. Relies on the catalogue of log events, which limits the
number of label values.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from crankseam.serving.log_events import EVENTS

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
"""Upper bounds of the histogram buckets, in seconds."""
TIMED_EVENTS = ("request_answered", "request_given_up", "item_done")
"""Events whose field `seconds` is the time since the request or item arrived."""


class ProcessMetrics(logging.Handler):
    """Counts every log event.

    Events that are not in the catalogue are counted together as `other`, which limits the number
    of label values. Gauges are read only when the metrics are rendered, so they cost nothing in
    between.
    """

    def __init__(self) -> None:
        super().__init__()
        self._registry = CollectorRegistry()
        self._events = Counter("crankseam_events", "Log events", ["event"], registry=self._registry)
        self._event_seconds = Histogram(
            "crankseam_event_seconds",
            "Time from arrival to this event",
            ["event"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._store_calls = Counter(
            "crankseam_store_calls",
            "Calls to the store",
            ["call", "answer"],
            registry=self._registry,
        )
        self._store_seconds = Histogram(
            "crankseam_store_seconds",
            "Time of calls to the store",
            ["call"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges: dict[str, tuple[Gauge, Callable[[], float]]] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Count one log event, and record its duration if it is in `TIMED_EVENTS`."""
        event = record.getMessage()
        if event not in EVENTS:
            event = "other"
        self._events.labels(event).inc()
        if event in TIMED_EVENTS:
            self._event_seconds.labels(event).observe(getattr(record, "seconds", 0.0))

    def gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is obtained from `read` when the metrics are rendered."""
        gauge = Gauge(f"crankseam_{name}", description, registry=self._registry)
        self._gauges[name] = (gauge, read)

    def store_called(self, call: str, answer: str, seconds: float) -> None:
        """Count one call to the store, and record its duration."""
        self._store_calls.labels(call, answer).inc()
        self._store_seconds.labels(call).observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for gauge, read in self._gauges.values():
            gauge.set(read())
        return generate_latest(self._registry)
