"""Measures the latency that one node adds to a small app request.

Requests go directly to the back end, through a node as a read, and through a node as a claimed
request. The three paths alternate within one run, so that the load of the machine affects all of
them equally. The latency table in README.md shows these figures.
"""

from __future__ import annotations

import statistics
import time
from pathlib import Path
from typing import Any

import aiohttp

from crankseam.config.kinds import Service
from crankseam.identifiers import new_uuid7
from crankseam_experiments.experiment_run import ExperimentRun
from crankseam_experiments.plots import write_page
from crankseam_experiments.spec import Experiment

REQUESTS = 2000
"""Measured requests per path: enough for 20 of them to lie above the 99th percentile."""
WARM_UP = 200
"""Requests sent per path before the measurement; they are not counted."""
BODY = b"slot-1"
REQUEST_PATHS = ("straight", "node_read", "node_claimed")


class LatencyRun:
    """Sends requests one at a time, alternating between the paths."""

    def __init__(self, run: ExperimentRun) -> None:
        service: Service = run.document(Service)
        self._direct_url = f"http://{service.back_ends[0].address}/bookings"
        node = next(iter(run.fleet.node_addresses.values()))
        self._node_url = f"http://{node}/services/{service.name}/bookings"
        self.milliseconds: dict[str, list[float]] = {path: [] for path in REQUEST_PATHS}

    async def run(self) -> None:
        """Send the warm-up requests, then record the latencies in `milliseconds`."""
        async with aiohttp.ClientSession() as self._session:
            for number in range(WARM_UP + REQUESTS):
                for path in REQUEST_PATHS:
                    elapsed_ms = await self._send(path)
                    if number >= WARM_UP:
                        self.milliseconds[path].append(elapsed_ms)

    async def _send(self, path: str) -> float:
        url = self._direct_url if path == "straight" else self._node_url
        method = "POST" if path == "node_claimed" else "GET"
        headers = {"Idempotency-Key": new_uuid7()}
        started = time.perf_counter()
        async with self._session.request(method, url, data=BODY, headers=headers) as answer:
            await answer.read()
            answer.raise_for_status()
        return (time.perf_counter() - started) * 1000


def _percentiles(values: list[float]) -> dict[str, float]:
    percentiles = statistics.quantiles(values, n=100, method="inclusive")
    return {"p50": round(percentiles[49], 3), "p99": round(percentiles[98], 3)}


async def run_latency(spec: Experiment, folder: Path, seed: int, out: Path) -> dict[str, Any]:
    """Run the latency experiment, write its HTML page and return its report."""
    run = ExperimentRun(spec, folder, seed, out, weakened=None)
    try:
        await run.fleet.start()
        await run.apply_configuration()
        await run.fleet.wait_until_ready()
        latency = LatencyRun(run)
        await latency.run()
        codes = await run.fleet.stop()
    finally:
        await run.fleet.kill_all()
    summary = {path: _percentiles(values) for path, values in latency.milliseconds.items()}
    report = {
        "name": spec.name,
        "requests_each_way": REQUESTS,
        "latency_ms": summary,
        "summary": summary,
        "passed": all(code == 0 for code in codes.values()),
    }
    write_page(spec.name, [], report, out)
    return report
