"""Structured logs: JSON lines through the standard `logging` module."""

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
