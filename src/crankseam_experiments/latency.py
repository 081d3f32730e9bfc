"""Measures what one node adds to a small app request: straight and through a node, in turn.

The table of README.md is made by it. Ways take turns within one run, so that the machine's load
weighs on all alike.
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
"""Measured each way: enough that 20 lie above the 99th percentile."""
WARM_UP = 200
"""Sent each way before, and not counted."""
BODY = b"slot-1"
WAYS = ("straight", "node_read", "node_claimed")


class LatencyRun:
    """Sends requests one at a time, each way in turn."""

    def __init__(self, run: ExperimentRun) -> None:
        service: Service = run.document(Service)
        self._straight = f"http://{service.back_ends[0].address}/bookings"
        node = next(iter(run.fleet.node_addresses.values()))
        self._through = f"http://{node}/services/{service.name}/bookings"
        self.milliseconds: dict[str, list[float]] = {way: [] for way in WAYS}

    async def run(self) -> None:
        """Warm up, then measure."""
        async with aiohttp.ClientSession() as self._session:
            for number in range(WARM_UP + REQUESTS):
                for way in WAYS:
                    took = await self._send(way)
                    if number >= WARM_UP:
                        self.milliseconds[way].append(took)

    async def _send(self, way: str) -> float:
        url = self._straight if way == "straight" else self._through
        method = "POST" if way == "node_claimed" else "GET"
        headers = {"Idempotency-Key": new_uuid7()}
        started = time.perf_counter()
        async with self._session.request(method, url, data=BODY, headers=headers) as answer:
            await answer.read()
            answer.raise_for_status()
        return (time.perf_counter() - started) * 1000


def _describe(values: list[float]) -> dict[str, float]:
    percentiles = statistics.quantiles(values, n=100, method="inclusive")
    return {"p50": round(percentiles[49], 3), "p99": round(percentiles[98], 3)}


async def run_latency(spec: Experiment, folder: Path, seed: int, out: Path) -> dict[str, Any]:
    """Run and return the report."""
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
    summary = {way: _describe(values) for way, values in latency.milliseconds.items()}
    report = {
        "name": spec.name,
        "requests_each_way": REQUESTS,
        "latency_ms": summary,
        "summary": summary,
        "passed": all(code == 0 for code in codes.values()),
    }
    write_page(spec.name, [], report, out)
    return report
