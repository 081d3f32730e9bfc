"""Prometheus metrics of one node, in a registry of their own.

Gauges are set when the metrics page is requested. `serving/metrics` does the same for the users'
platform and differs on purpose: it counts log events and calls to the store, with histogram buckets
that suit those calls. Operators read the names of both; they share only a prefix.
"""

from __future__ import annotations

import resource

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from crankseam.errors import Problem

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds of the request-latency histogram, up to the default deadline."""


class NodeMetrics:
    """Counter, histogram and gauges of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._problems = Counter(
            "crankseam_problems", "Problem answers", ["type", "outcome"], registry=self._registry
        )
        self._latency = Histogram(
            "crankseam_request_seconds",
            "Time from arrival to answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges = {
            name: Gauge(f"crankseam_{name}", text, registry=self._registry)
            for name, text in {
                "configuration_revision": "Revision served under",
                "configuration_lease_seconds": "Remaining lease",
                "members_alive": "Members known to be alive",
                "records": "Replicated records held",
                "record_operations": "Record operations answered",
                "requests_running": "Requests in this node",
                "peer_bytes_sent": "Bytes sent to peers",
                "peer_frames_sent": "Frames sent to peers",
                "key_value_requests": "Requests sent to the key-value service",
                "cpu_seconds": "Processor time of the process",
                "slot_moves": "Replica sets moved by this node",
                "suspects": "Requests under which back ends ended",
            }.items()
        }

    def count_problem(self, problem: Problem) -> None:
        """Count one problem document by its type and outcome."""
        self._problems.labels(problem.type, problem.outcome).inc()

    def observe_request(self, service: str, seconds: float) -> None:
        """Record the latency of one request to a service."""
        self._latency.labels(service).observe(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge of the given name, without the prefix `crankseam_`."""
        self._gauges[name].set(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set_gauge("cpu_seconds", usage.ru_utime + usage.ru_stime)
        return generate_latest(self._registry)
