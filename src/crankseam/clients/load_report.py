"""Reads the load of a back end from its Prometheus metrics.

Metric names are matched with or without the prefix of an inference engine. A report may lag behind
the actual load.
"""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from crankseam.clients.bounded_responses import read_limited

RUNNING = "num_requests_running"
WAITING = "num_requests_waiting"
VERSION = "weight_version"
LEAVING = "leaving"
NO_VERSION = -1
"""Weight version of a back end that has none, also in the messages between nodes."""


@dataclass(frozen=True)
class LoadReport:
    """The state that a back end reports, which may lag behind its actual state."""

    running: int
    waiting: int
    version: int
    """Weight version served; `NO_VERSION` if there is none."""
    leaving: bool


def parse_load_report(text: str) -> LoadReport:
    """Parse the known metrics of a Prometheus text; a prefix such as `vllm:` is ignored.

    Raises:
        ValueError: the text is not in the Prometheus format.
    """
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        name = family.name.rpartition(":")[2]
        for sample in family.samples:
            values[name] = values.get(name, 0.0) + sample.value
    return LoadReport(
        running=int(values.get(RUNNING, 0)),
        waiting=int(values.get(WAITING, 0)),
        version=int(values.get(VERSION, NO_VERSION)),
        leaving=values.get(LEAVING, 0) > 0,
    )


async def fetch_load_report(
    session: aiohttp.ClientSession, address: str, timeout: float
) -> LoadReport | None:
    """Return the report of a back end, or None if it cannot be read within `timeout` seconds."""
    limit = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.get(f"http://{address}/metrics", timeout=limit) as answer:
            answer.raise_for_status()
            return parse_load_report((await read_limited(answer)).decode())
    except (aiohttp.ClientError, TimeoutError, ValueError):
        # The caller, a watcher or a probe before sending, counts and reports the failure.
        return None
