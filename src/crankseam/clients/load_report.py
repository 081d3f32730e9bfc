"""Reads a back end's load from its Prometheus text.

Owns which metrics count, with or without an engine's prefix. A report may lag behind what runs.
"""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

RUNNING = "num_requests_running"
WAITING = "num_requests_waiting"
VERSION = "weight_version"
LEAVING = "leaving"
NO_VERSION = -1
"""Stands for the weight version of a back end that has none; on the wire between nodes too."""


@dataclass(frozen=True)
class LoadReport:
    """What a back end says of itself; it may lag behind."""

    running: int
    waiting: int
    version: int
    """Weight version served; -1 where there is none."""
    leaving: bool


def parse_load_report(text: str) -> LoadReport:
    """Pick the known metrics out of Prometheus text; a prefix such as `vllm:` is ignored.

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
    """A back end's report, or None when it gives none in time."""
    limit = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.get(f"http://{address}/metrics", timeout=limit) as answer:
            answer.raise_for_status()
            return parse_load_report(await answer.text())
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None  # the caller counts and reports it: a watcher, or a probe before sending
