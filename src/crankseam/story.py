"""Extracts from log files the lines about one id, and the events around them that may explain them.

Defines which fields identify a subject and which events explain what a process did. Reads the log
lines of the users' platform (`serving/log_events`) and skips all other lines.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

SUBJECT_FIELDS = ("request", "job", "item", "back_end", "model", "machine", "fingerprint")
SURROUNDING_EVENTS = frozenset(
    {
        "started",
        "stopped",
        "draining",
        "task_failed",
        "store_lost",
        "store_regained",
        "lease_lost",
        "lease_won",
        "history_compacted",
        "configuration_taken",
    }
)
"""Events of a process that may explain what the process did to a request."""
BACK_END_EVENTS = frozenset(
    {
        "back_end_out",
        "back_end_leaving",
        "back_end_ended",
        "version_ordered",
        "version_loaded",
        "order_failed",
    }
)
SERVICE_EVENTS = frozenset({"concurrency_limit_changed"})
"""Events of a process and a service that may explain why a request waited or was refused."""
SURROUNDING_MARGIN_S = 2.0
"""Seconds before the first and after the last line of the id, within which events of the processes
and back ends involved are included."""

LogLine = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LogExtract:
    """The log lines about one id and the events around them, each sorted by time."""

    subject: list[LogLine]
    surroundings: list[LogLine]


def read_lines(files: Iterable[Path]) -> list[LogLine]:
    """Read all log lines of the files, sorted by time; see `decode_line`."""
    lines: list[LogLine] = []
    for file in files:
        with file.open("rb") as stream:
            for raw in stream:
                line = decode_line(raw)
                if line is not None:
                    lines.append(line)
    return sorted(lines, key=lambda line: float(line["time"]))


def decode_line(raw: bytes) -> LogLine | None:
    """Decode one log line; None if it is not a log line. Text before the first brace is skipped."""
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(raw[start:])
    except msgspec.DecodeError:
        return None  # other programs write to the same file
    return line if isinstance(line, dict) and "event" in line and "time" in line else None


def _is_about(line: LogLine, subject: str) -> bool:
    if any(line.get(field) == subject for field in SUBJECT_FIELDS):
        return True
    items = line.get("items")
    return isinstance(items, list) and subject in items


def extract(lines: list[LogLine], subject: str) -> LogExtract:
    """Extract the lines about one request, job, item, back end, model or machine.

    Includes the lines about the whole of each job that these lines name, but not about other items.
    """
    subject_lines = [line for line in lines if _is_about(line, subject)]
    if not subject_lines:
        return LogExtract([], [])
    jobs = {line["job"] for line in subject_lines if "job" in line}
    subject_lines += [
        line for line in lines if line.get("job") in jobs and _is_line_of_job(line, subject_lines)
    ]
    subject_lines.sort(key=lambda line: float(line["time"]))
    return LogExtract(subject_lines, _surroundings(lines, subject_lines))


def _is_line_of_job(line: LogLine, subject_lines: list[LogLine]) -> bool:
    """Whether a line outside `subject_lines` is about the whole job, not an item or its results."""
    return (
        line not in subject_lines
        and "item" not in line
        and not line["event"].startswith("results_")
    )


def _surroundings(lines: list[LogLine], subject_lines: list[LogLine]) -> list[LogLine]:
    start = float(subject_lines[0]["time"]) - SURROUNDING_MARGIN_S
    end = float(subject_lines[-1]["time"]) + SURROUNDING_MARGIN_S
    nodes = {line["node"] for line in subject_lines if "node" in line}
    back_ends = {line["back_end"] for line in subject_lines if "back_end" in line}
    for line in subject_lines:
        back_ends.update(line.get("attempts") or [])
        if "slow" in line:
            back_ends.add(line["slow"])
    services = {(line.get("node"), line["service"]) for line in subject_lines if "service" in line}
    found = []
    for line in lines:
        if line in subject_lines or not start <= float(line["time"]) <= end:
            continue
        explains_process = line["event"] in SURROUNDING_EVENTS and line.get("node") in nodes
        explains_back_end = line["event"] in BACK_END_EVENTS and line.get("back_end") in back_ends
        is_of_service = (line.get("node"), line.get("service")) in services
        explains_service = line["event"] in SERVICE_EVENTS and is_of_service
        if explains_process or explains_back_end or explains_service:
            found.append(line)
    return found
