"""Structured logs of `crankseam node`: JSON lines through the standard `logging` module.

Owns the form of a line: its text names the event, `extra` its fields. `serving/logs` does this on
the users' platform, and differs by intent: lines have other names for their fields there, events
come from a catalogue, and the handler never waits for its reader but drops lines and counts them.
"""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(node: str, level: str) -> None:
    """Send every record to standard error as one JSON object, marked with the node's name."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(FIELDS, static_fields={"node": node})
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
