"""Stores peer addresses in the data folder, for a start at which seeds and machine list fail.

The addresses are kept in one file, which is replaced as a whole. They are only hints: an address
may be outdated, and no other module depends on the file.
"""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec

log = logging.getLogger(__name__)

FILE_NAME = "known-peers.json"
MAX_PEERS = 50
"""Number of addresses kept. At its start a node tries at most ten addresses, including the seeds
and the machine list (`MAX_SEEDS_TRIED` in the agent module)."""


class KnownPeers:
    """A short list of peer addresses, stored in a file. The addresses may be outdated."""

    def __init__(self, folder: Path | None) -> None:
        self._file = folder / FILE_NAME if folder is not None else None

    def load(self) -> list[str]:
        """The stored addresses; empty if there is no readable file."""
        if self._file is None or not self._file.exists():
            return []
        try:
            return msgspec.json.decode(self._file.read_bytes(), type=list[str])[:MAX_PEERS]
        except (OSError, msgspec.DecodeError) as error:
            log.warning("known peers not read", extra={"error": type(error).__name__})
            return []

    def save(self, addresses: list[str]) -> None:
        """Replace the stored addresses. A failed write is logged and keeps the previous file."""
        if self._file is None:
            return
        partial = self._file.with_suffix(".partial")
        try:
            self._file.parent.mkdir(parents=True, exist_ok=True)
            partial.write_bytes(msgspec.json.encode(addresses[:MAX_PEERS]))
            partial.rename(self._file)
        except OSError as error:
            log.warning("known peers not saved", extra={"error": type(error).__name__})
