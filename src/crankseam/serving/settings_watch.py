"""Takes up changes of the settings file, whether or not a signal tells of them.

Owns the file's last content. Relies on `settings` to read it; only the log level changes in a
process that runs, since addresses and identity hold for its life.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from crankseam.errors import InvalidConfiguration
from crankseam.serving.settings import ProcessSettings, load_settings

log = logging.getLogger(__name__)

LOOK_S = 3.0
"""How often the file is looked at."""


class SettingsWatch:
    """Reads the settings file again when it has changed.

    Explanation
    ===========

    Addresses and identity hold for a process's life; what may change while it runs is passed on.
    A file that is missing or not valid changes nothing, and is said once.

    Parameters
    ==========

    file : the settings file.
    on_change : called with the newly read settings.
    """

    def __init__(self, file: Path, on_change: Callable[[ProcessSettings], None]) -> None:
        self._file = file
        self._on_change = on_change
        self._seen = self._read()

    def _read(self) -> bytes | None:
        try:
            return self._file.read_bytes()
        except OSError:
            # A missing file is a content of its own: `reload` says once what is wrong with it.
            return None

    def reload(self) -> None:
        """Read the file now, changed or not; for the signal."""
        self._seen = self._read()
        try:
            settings = load_settings(self._file)
        except InvalidConfiguration as group:
            log.error("reload_refused", extra={"errors": [str(one) for one in group.exceptions]})
            return
        self._on_change(settings)
        log.info("reloaded")

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            if self._read() != self._seen:
                self.reload()
