"""Chooses loopback ports for listeners that start later.

Records the ports that this process has assigned, so that none is assigned twice. Processes that
were started one after the other assign ports of different slices: a port is in use by nobody while
the program behind it starts again.
"""

from __future__ import annotations

import os
import random
import socket
from pathlib import Path

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_FIRST_EPHEMERAL = 32768
"""First port of the default ephemeral range of Linux, used if the range cannot be read."""
CANDIDATES = 12000
"""Number of ports directly below the ephemeral range from which a port is chosen."""
SLICES = 24
"""Number of slices of the candidates; a process assigns ports of one, as long as it finds any."""
TRIES_PER_SLICE = 16
"""Ports of a slice that are tried before one of the next slice is."""

_assigned_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is not in use and lies below the ephemeral range.

    The kernel could assign a port of the ephemeral range to an outgoing connection between this
    call and the start of the listener.
    """
    lowest = _first_ephemeral() - CANDIDATES
    slice_ports = max(1, CANDIDATES // SLICES)
    own_start = os.getpid() % SLICES * slice_ports
    tries = 0
    while True:
        start = own_start + tries // TRIES_PER_SLICE * slice_ports
        tries += 1
        port = lowest + (start + random.randrange(slice_ports)) % CANDIDATES
        if port not in _assigned_ports and _is_free(port):
            _assigned_ports.add(port)
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
