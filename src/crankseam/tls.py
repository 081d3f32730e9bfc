"""TLS contexts for peers and callers, with keys that are reloaded when their files change.

The context objects stay the same across reloads. If new keys cannot be read, the old ones stay in
use and the error is logged.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from pathlib import Path

from crankseam.settings import TlsSettings

log = logging.getLogger(__name__)


class TlsKeys:
    """Holds the TLS contexts; new connections use the reloaded keys, open ones are not affected."""

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._modified: dict[Path, float] = {}
        self._peer_server: ssl.SSLContext | None = None
        self._peer_client: ssl.SSLContext | None = None
        self._callers: ssl.SSLContext | None = None
        if settings.certificate is not None:
            self._peer_server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            self._peer_server.verify_mode = ssl.CERT_REQUIRED
            self._peer_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            # Peers are addressed by IP and authenticated by the authority that signed their key.
            self._peer_client.check_hostname = False
            self._peer_client.verify_mode = ssl.CERT_REQUIRED
        if settings.callers_certificate is not None:
            self._callers = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._load()

    def peer_server_context(self) -> ssl.SSLContext | None:
        """Context for accepting connections from peers; None for plain TCP."""
        return self._peer_server

    def peer_client_context(self) -> ssl.SSLContext | None:
        """Context for connecting to peers; None for plain TCP."""
        return self._peer_client

    def callers_context(self) -> ssl.SSLContext | None:
        """Context for accepting connections from callers; None for plain TCP."""
        return self._callers

    def _files(self) -> list[Path]:
        settings = self._settings
        candidates = [
            settings.certificate,
            settings.key,
            settings.authority,
            settings.callers_certificate,
            settings.callers_key,
            settings.operators_authority,
        ]
        return [path for path in candidates if path is not None]

    def _load(self) -> None:
        settings = self._settings
        for context in (self._peer_server, self._peer_client):
            if context is None or settings.certificate is None:
                continue
            context.load_cert_chain(settings.certificate, settings.key)
            context.load_verify_locations(settings.authority)
        if self._callers is not None and settings.callers_certificate is not None:
            self._callers.load_cert_chain(settings.callers_certificate, settings.callers_key)
            if settings.operators_authority is not None:
                self._callers.verify_mode = ssl.CERT_OPTIONAL
                self._callers.load_verify_locations(settings.operators_authority)
        self._modified = {path: path.stat().st_mtime for path in self._files()}

    def reload_if_changed(self) -> bool:
        """Reload the keys if a file changed; returns whether they were reloaded.

        If the new keys cannot be loaded, the old ones stay in use and the error is logged.
        """
        try:
            current = {path: path.stat().st_mtime for path in self._files()}
            if current == self._modified:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            log.error("keys not reloaded", extra={"error": type(error).__name__})
            return False
        log.info("keys reloaded")
        return True

    async def watch_files(self) -> None:
        """Reload changed files periodically until cancelled."""
        if not self._files():
            return
        while True:
            await asyncio.sleep(self._settings.reload_interval)
            self.reload_if_changed()
