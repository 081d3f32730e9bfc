"""Event log of a stand-in: a file of JSON lines that survives a crash of the process.

Each entry is written without buffering when its event happens. The auditor has no other record of
what the stand-ins observed.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec


class Account:
    """Appends each entry to a file without buffering; without a path, discards the entries."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path is not None else None

    def append(self, entry: dict[str, Any]) -> None:
        """Write one entry to the file immediately, as one line of JSON."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(entry) + b"\n")

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._file is not None:
            self._file.close()


def read_account(path: Path) -> list[dict[str, Any]]:
    """Return the entries of an event log, skipping lines that a crash left incomplete."""
    if not path.exists():
        return []
    entries = []
    for line in path.read_bytes().splitlines():
        try:
            entries.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    return entries
