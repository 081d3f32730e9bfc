"""Remembers peers in the data folder, for first contact when seeds and machine list fail.

Owns one file, which is replaced as a whole. Nothing relies on it: the addresses may be old and are
only tried.
"""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec

log = logging.getLogger(__name__)

FILE_NAME = "known-peers.json"
MAX_PEERS = 50
"""Addresses kept; first contact tries ten of all. Origin not recorded."""


class KnownPeers:
    """A short list of peer addresses in a file. It may be old; addresses are only tried."""

    def __init__(self, folder: Path | None) -> None:
        self._file = folder / FILE_NAME if folder is not None else None

    def load(self) -> list[str]:
        """The addresses remembered; empty if there is no usable file."""
        if self._file is None or not self._file.exists():
            return []
        try:
            return msgspec.json.decode(self._file.read_bytes(), type=list[str])[:MAX_PEERS]
        except (OSError, msgspec.DecodeError) as error:
            log.warning("known peers not read", extra={"error": type(error).__name__})
            return []

    def save(self, addresses: list[str]) -> None:
        """Replace what is remembered; a failure is logged and changes nothing else."""
        if self._file is None:
            return
        partial = self._file.with_suffix(".partial")
        try:
            self._file.parent.mkdir(parents=True, exist_ok=True)
            partial.write_bytes(msgspec.json.encode(addresses[:MAX_PEERS]))
            partial.rename(self._file)
        except OSError as error:
            log.warning("known peers not saved", extra={"error": type(error).__name__})
