"""A stand-in's own account of what happened, kept as JSON lines that outlive a crash.

The auditor reads nothing else of what stand-ins saw. Each entry is written unbuffered as it
happens.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec


class Account:
    """Appends entries to a file (if one is given) as they happen."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path is not None else None

    def append(self, entry: dict[str, Any]) -> None:
        """Write one entry down at once."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(entry) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read_account(path: Path) -> list[dict[str, Any]]:
    """All whole entries of an account; a line cut short by a crash is passed over."""
    if not path.exists():
        return []
    entries = []
    for line in path.read_bytes().splitlines():
        try:
            entries.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            continue
    return entries
