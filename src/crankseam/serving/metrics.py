"""Metrics of a serving process, counted from its log events and its calls to the store.

Owns the process's metrics registry. Relies on the catalogue of events, which bounds the labels.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from crankseam.serving.log_events import EVENTS

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)
"""Upper bounds of the histograms' buckets, in seconds."""
TIMED_EVENTS = ("request_answered", "request_given_up", "item_done")
"""Events whose field `seconds` tells the time since the request or item came."""


class ProcessMetrics(logging.Handler):
    """Counts every log event; bounded by the catalogue.

    Gauges are read when the metrics are asked for, so that they cost nothing in between.
    """

    def __init__(self) -> None:
        super().__init__()
        self._registry = CollectorRegistry()
        self._events = Counter("crankseam_events", "Log events", ["event"], registry=self._registry)
        self._seconds = Histogram(
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
        """Count one event."""
        event = record.getMessage()
        if event not in EVENTS:
            event = "other"
        self._events.labels(event).inc()
        if event in TIMED_EVENTS:
            self._seconds.labels(event).observe(getattr(record, "seconds", 0.0))

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when the metrics are asked for."""
        made = Gauge(f"crankseam_{name}", meaning, registry=self._registry)
        self._gauges[name] = (made, read)

    def store_called(self, call: str, answer: str, seconds: float) -> None:
        """Count one call to the store."""
        self._store_calls.labels(call, answer).inc()
        self._store_seconds.labels(call).observe(seconds)

    def render(self) -> bytes:
        """All metrics in the text format."""
        for made, read in self._gauges.values():
            made.set(read())
        return generate_latest(self._registry)
