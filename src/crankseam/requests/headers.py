"""Selects the headers of a request or answer that are forwarded to the next hop."""

from __future__ import annotations

from collections.abc import Mapping

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop headers (RFC 9110), and headers that the next hop sets itself; not forwarded."""


def end_to_end_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers without those in `HOP_BY_HOP_HEADERS`."""
    return {
        name: value for name, value in headers.items() if name.lower() not in HOP_BY_HOP_HEADERS
    }
