"""Structured logs of a serving process: JSON lines on standard output, bounded, never blocking.

Owns standard output and the buffer before it. Relies on `log_events` for what may be written: each
record's message is the name of an event, its extra fields are those of the catalogue.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import time
from collections import deque

import msgspec

MAX_BUFFERED_LINES = 5000
"""Lines kept for a reader that does not read; more are dropped and counted. Origin not recorded."""
_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
"""What the logging library itself sets on a record; all else is a field of the event."""


class JsonLineHandler(logging.Handler):
    """Writes records to a descriptor without ever waiting for its reader.

    Lines that do not fit the buffer are dropped, counted, and the count is written later.
    """

    def __init__(self, node: str, descriptor: int) -> None:
        super().__init__()
        self._node = node
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self.dropped_in_all = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one record and write what the reader takes now."""
        try:
            line = self._encode(record)
        except (TypeError, ValueError):
            self._count_dropped()
            return
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._count_dropped()
        else:
            self._lines.append(line)
        self._flush_ready()

    def _count_dropped(self) -> None:
        self._dropped += 1
        self.dropped_in_all += 1

    def _encode(self, record: logging.LogRecord) -> bytes:
        fields = {
            "time": round(time.time(), 4),
            "node": self._node,
            "level": record.levelname,
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS:
                fields[name] = value
        if record.exc_info and record.exc_info[1] is not None:
            fields["exception"] = logging.Formatter().formatException(record.exc_info)
        return msgspec.json.encode(fields, enc_hook=str) + b"\n"

    def _flush_ready(self) -> None:
        while self._lines and self._poll.poll(0):
            line = self._lines[0]
            try:
                os.write(self._descriptor, line)
            except OSError:
                # The reader is gone or took nothing: the line stays and is tried with the next one.
                return
            self._lines.popleft()
            if self._dropped:
                dropped, self._dropped = self._dropped, 0
                self._lines.append(
                    msgspec.json.encode(
                        {"node": self._node, "event": "log_lines_dropped", "count": dropped}
                    )
                    + b"\n"
                )


def configure_logging(node: str, level: str) -> None:
    """Send every record to standard output as one JSON object, marked with the node's name."""
    root = logging.getLogger()
    root.handlers = [JsonLineHandler(node, sys.stdout.fileno())]
    set_log_level(level)
    # Errors of the HTTP library about callers' malformed requests are no events of this process.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def dropped_log_lines() -> int:
    """How many lines this process has dropped since its start."""
    handlers = logging.getLogger().handlers
    return sum(one.dropped_in_all for one in handlers if isinstance(one, JsonLineHandler))


def set_log_level(level: str) -> None:
    """Write lines of this level and above from now on."""
    logging.getLogger().setLevel(level.upper())
