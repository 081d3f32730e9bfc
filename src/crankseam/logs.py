"""Structured logs of `crankseam node`: JSON lines through the standard `logging` module.

The message of a line names the event, and `extra` holds its fields. `serving/logs` does the same
for the users' platform and differs on purpose: its lines use other field names, its events come
from a catalogue, and its handler drops and counts lines instead of waiting for a slow reader.
"""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(node: str, level: str) -> None:
    """Write every log record to standard error as one JSON object that includes the node's name."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(LINE_FORMAT, static_fields={"node": node})
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
