"""Prometheus metrics of one node.

Owns a registry of its own; gauges are set when the page is asked for. `serving/metrics` does this
on the users' platform, and differs by intent: it counts log events and calls to the store, and its
buckets are those of the calls there. The names of both are read by operators and share nothing but
a prefix.
"""

from __future__ import annotations

import resource

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from crankseam.errors import Problem

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
"""Upper bounds of the histogram of a request's time, up to the default deadline. Origin not
recorded."""


class NodeMetrics:
    """Counters of one process, in a registry of its own."""

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
        """Count one problem answer."""
        self._problems.labels(problem.type, problem.outcome).inc()

    def observe_request(self, service: str, seconds: float) -> None:
        """Count one request and its time."""
        self._latency.labels(service).observe(seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge before it is read."""
        self._gauges[name].set(value)

    def render(self) -> bytes:
        """All metrics in the text format."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.set_gauge("cpu_seconds", usage.ru_utime + usage.ru_stime)
        return generate_latest(self._registry)
