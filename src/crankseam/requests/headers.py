"""Which headers of a request or answer go on to the next hop.

Owns the list of those that do not; relies on nothing.
"""

from __future__ import annotations

from collections.abc import Mapping

HOP_HEADERS = frozenset(
    {
        "connection",
        "content-encoding",
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
"""Headers of one connection (RFC 9110), and those that the next hop sets by itself."""


def end_to_end_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """The headers without those of one hop."""
    return {name: value for name, value in headers.items() if name.lower() not in HOP_HEADERS}
