"""Watches the settings file and applies changes with or without a signal.

Owns the last content of the file. Relies on `settings` to parse it. Only the log level can change
in a running process: addresses and identity are fixed for its lifetime.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from crankseam.errors import InvalidConfiguration
from crankseam.serving.settings import ProcessSettings, load_settings

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 3.0
"""Seconds between two reads of the file."""


class SettingsWatch:
    """Reloads the settings file when its content changes.

    Explanation
    ===========

    Addresses and identity are fixed for the lifetime of a process; `on_change` applies what may
    change while it runs. A missing or invalid file changes nothing and is logged once.

    Parameters
    ==========

    file : path of the settings file.
    on_change : called with the new settings after each successful reload.
    """

    def __init__(self, file: Path, on_change: Callable[[ProcessSettings], None]) -> None:
        self._file = file
        self._on_change = on_change
        self._last_content = self._read_content()

    def _read_content(self) -> bytes | None:
        try:
            return self._file.read_bytes()
        except OSError:
            # None stands for an unreadable file, so that `reload` logs the error only once.
            return None

    def reload(self) -> None:
        """Read the file now, whether or not it has changed; also called by the signal handler."""
        self._last_content = self._read_content()
        try:
            settings = load_settings(self._file)
        except InvalidConfiguration as group:
            log.error(
                "reload_refused", extra={"errors": [str(error) for error in group.exceptions]}
            )
            return
        self._on_change(settings)
        log.info("reloaded")

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._read_content() != self._last_content:
                self.reload()
