"""Finds in log files what happened to one id, and what its processes went through meanwhile.

Owns which fields name a subject and which events explain what a process did. Relies on the log
lines of the users' platform (`serving/log_events`); a line that is none is passed over.
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
"""Events of a process that may explain what it did to a request."""
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
MARGIN_S = 2.0
"""Lines of the same processes this long before and after those of the id are told too. Origin not
recorded."""

Line = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """The lines about one id, and those around them, each in order of time."""

    subject: list[Line]
    surroundings: list[Line]


def read_lines(files: Iterable[Path]) -> list[Line]:
    """All JSON lines of the files, in order of time; anything before the first brace is skipped."""
    lines: list[Line] = []
    for file in files:
        with file.open("rb") as opened:
            for raw in opened:
                line = decode_line(raw)
                if line is not None:
                    lines.append(line)
    return sorted(lines, key=lambda line: float(line["time"]))


def decode_line(raw: bytes) -> Line | None:
    """One line of a log; None if it is none. What stands before the first brace is skipped."""
    start = raw.find(b"{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(raw[start:])
    except msgspec.DecodeError:
        return None  # not a line of a log: other programs write to the same file
    return line if isinstance(line, dict) and "event" in line and "time" in line else None


def _is_about(line: Line, subject: str) -> bool:
    if any(line.get(field) == subject for field in SUBJECT_FIELDS):
        return True
    items = line.get("items")
    return isinstance(items, list) and subject in items


def tell(lines: list[Line], subject: str) -> Story:
    """What the lines say of a request, job, item, back end, model or machine."""
    own = [line for line in lines if _is_about(line, subject)]
    if not own:
        return Story([], [])
    jobs = {line["job"] for line in own if "job" in line}
    own += [line for line in lines if line.get("job") in jobs and _concerns_job(line, own)]
    own.sort(key=lambda line: float(line["time"]))
    return Story(own, _surroundings(lines, own))


def _concerns_job(line: Line, own: list[Line]) -> bool:
    """Lines of the whole job, not those of its other items."""
    return line not in own and "item" not in line and not line["event"].startswith("results_")


def _surroundings(lines: list[Line], own: list[Line]) -> list[Line]:
    start = float(own[0]["time"]) - MARGIN_S
    end = float(own[-1]["time"]) + MARGIN_S
    nodes = {line["node"] for line in own if "node" in line}
    back_ends = {line["back_end"] for line in own if "back_end" in line}
    for line in own:
        back_ends.update(line.get("attempts") or [])
    found = []
    for line in lines:
        if line in own or not start <= float(line["time"]) <= end:
            continue
        of_process = line["event"] in SURROUNDING_EVENTS and line.get("node") in nodes
        of_back_end = line["event"] in BACK_END_EVENTS and line.get("back_end") in back_ends
        if of_process or of_back_end:
            found.append(line)
    return found
