"""Structured logging of a serving process: JSON lines on standard output.

Owns standard output and a bounded buffer in front of it; writing never blocks. Relies on
`log_events`, the catalogue of permitted records: the message of a record is the name of an event,
and its extra fields are those that the catalogue lists for the event.
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
"""Lines buffered while the reader does not read; further lines are dropped and counted."""
_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}
"""Attributes that the logging library sets on a record; all others are fields of the event."""


class JsonLineHandler(logging.Handler):
    """Writes records to a file descriptor without ever waiting for its reader.

    Lines that do not fit in the buffer are dropped. The number of dropped lines is written as the
    event `log_lines_dropped` once the reader reads again.

    Parameters
    ==========

    node : name of the process, written with each line.
    descriptor : file descriptor to write to.

    Attributes
    ==========

    dropped_total : number of lines dropped since the handler was created.
    """

    def __init__(self, node: str, descriptor: int) -> None:
        super().__init__()
        self._node = node
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self.dropped_total = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one record, and write as many lines as the reader accepts now."""
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
        self.dropped_total += 1

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
                # The reader is gone or accepts nothing: the line is retried with the next record.
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
    """Write every log record to standard output as one JSON object with the name of the node."""
    root = logging.getLogger()
    root.handlers = [JsonLineHandler(node, sys.stdout.fileno())]
    set_log_level(level)
    # The HTTP library logs malformed requests of callers as errors; they are not events here.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def dropped_log_lines() -> int:
    """Return the number of log lines that this process has dropped since it started."""
    handlers = logging.getLogger().handlers
    return sum(
        handler.dropped_total for handler in handlers if isinstance(handler, JsonLineHandler)
    )


def set_log_level(level: str) -> None:
    """Set the lowest level of the records that are written."""
    logging.getLogger().setLevel(level.upper())
