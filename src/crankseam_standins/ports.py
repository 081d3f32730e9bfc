"""Loopback ports for listeners that start later.

Owns the ports that this process gave out, so that it gives none out twice.
"""

from __future__ import annotations

import random
import socket
from pathlib import Path

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_FIRST_EPHEMERAL = 32768
"""First port of the range that Linux gives outgoing connections by default."""
CANDIDATES = 12000
"""Ports below the ephemeral ones that are drawn from."""

_handed_out: set[int] = set()


def free_port() -> int:
    """A port that nothing listens on and that no outgoing connection is given.

    A port of the ephemeral range may become the near end of any connection of this machine between
    this call and the listener's start.
    """
    first = _first_ephemeral()
    while True:
        port = random.randrange(first - CANDIDATES, first)
        if port not in _handed_out and _is_free(port):
            _handed_out.add(port)
            return port


def _first_ephemeral() -> int:
    try:
        return int(EPHEMERAL_RANGE.read_text(encoding="ascii").split()[0])
    except (OSError, ValueError, IndexError):
        return DEFAULT_FIRST_EPHEMERAL


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
