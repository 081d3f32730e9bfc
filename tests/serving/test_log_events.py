"""The catalogue of log events agrees with the log calls in the code and with docs/LOGS.md."""

import ast
import json
import logging
import os
from pathlib import Path

import pytest

from crankseam.serving.log_events import EVENTS, as_markdown
from crankseam.serving.logs import MAX_BUFFERED_LINES, JsonLineHandler
from crankseam.serving.metrics import ProcessMetrics

ROOT = Path(__file__).parents[2]
FOLDERS = [
    ROOT / "src/crankseam/serving",
    ROOT / "src/crankseam/jobs",
    ROOT / "src/crankseam/orders",
    ROOT / "src/crankseam/coordination",
    ROOT / "src/crankseam/usage",
    ROOT / "src/crankseam/scaling",
    ROOT / "src/crankseam/quarantine",
    ROOT / "src/crankseam/overload",
    ROOT / "src/crankseam/fairness",
    ROOT / "src/crankseam/memory",
    ROOT / "platform/crankseam_platform",
]
FILES = [file for folder in FOLDERS for file in folder.glob("*.py")]
FILES.append(ROOT / "src/crankseam/machine_retirement.py")
FILES.append(ROOT / "src/crankseam/clients/bounded_responses.py")
INDIRECT_CALL_FIELDS = {
    "item_run.py": {"job", "item", "back_end", "reason", "events", "seconds"},
    "scoring.py": {"job", "item", "request", "back_end", "reason", "seconds"},
}
METHODS = {"info", "warning", "error", "exception"}


def logged_lines(file):
    """Yield the event and the fields of each logger call in a file."""
    for node in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        direct = isinstance(owner, ast.Name) and owner.id == "log" and node.func.attr in METHODS
        indirect = node.func.attr == "_log" and isinstance(owner, ast.Name) and owner.id == "self"
        if not direct and not indirect:
            continue
        names = [
            constant.value
            for constant in ast.walk(node.args[0])
            if isinstance(constant, ast.Constant) and isinstance(constant.value, str)
        ]
        fields = set(INDIRECT_CALL_FIELDS[file.name]) if indirect else set()
        for keyword in node.keywords:
            if keyword.arg == "extra":
                fields = {key.value for key in keyword.value.keys}
        for name in names:
            yield name, fields


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.name)
def test_every_line_is_in_the_catalogue_with_its_fields(file):
    for event, fields in logged_lines(file):
        assert event in EVENTS, f"{file.name}: {event}"
        assert fields == set(EVENTS[event].fields), f"{file.name}: {event}"


def test_every_event_of_the_catalogue_is_logged_somewhere():
    logged = {event for file in FILES for event, _ in logged_lines(file)}
    written_by_the_handler = {"log_lines_dropped"}
    assert set(EVENTS) - logged - written_by_the_handler == set()


def test_the_page_is_written_from_the_catalogue():
    assert (ROOT / "docs/LOGS.md").read_text(encoding="utf-8") == as_markdown()


def logger_with(handler):
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


def test_lines_are_json_and_a_stalled_reader_does_not_block_logging():
    reader, writer = os.pipe()
    handler = JsonLineHandler("n", writer)
    logger = logger_with(handler)
    logger.info("job_done", extra={"job": "j", "results": 3})
    line = json.loads(os.read(reader, 4096))
    assert (line["event"], line["job"], line["results"], line["node"]) == ("job_done", "j", 3, "n")
    for _ in range(MAX_BUFFERED_LINES + 3000):
        logger.info("job_done", extra={"job": "x" * 50, "results": 0})
    assert handler.dropped_total > 0
    drained = b""
    while b"log_lines_dropped" not in drained:
        drained += os.read(reader, 65536)
        logger.info("job_ended", extra={"job": "j"})
    os.close(reader)
    os.close(writer)


def test_metrics_count_events_and_their_labels_are_bounded():
    metrics = ProcessMetrics()
    logger = logger_with(metrics)
    for number in range(50):
        logger.info(f"odd {number}")
    logger.info("request_answered", extra={"seconds": 0.3})
    metrics.gauge("lease_held", "x", lambda: True)
    metrics.store_called("get", "ok", 0.01)
    text = metrics.render().decode()
    assert 'crankseam_events_total{event="other"} 50.0' in text
    assert 'crankseam_event_seconds_count{event="request_answered"} 1.0' in text
    assert "crankseam_lease_held 1.0" in text
    assert 'crankseam_store_calls_total{answer="ok",call="get"} 1.0' in text
