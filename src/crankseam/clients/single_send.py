"""HTTP sessions that send a request once, whatever becomes of its connection."""

from __future__ import annotations

from typing import Any

import aiohttp


def single_send_session(**options: Any) -> aiohttp.ClientSession:
    """A session that leaves it to its user to send a request again.

    The library sends GET, PUT, DELETE and their like again by itself, on a new connection, when a
    kept one breaks before the answer. A back end may have run the request by then: what may run
    once would run twice, and a connection that is refused the second time would look as if nothing
    had been sent. There is no public switch; `tests/platform/test_front.py` notices if this one
    does nothing any more.

    Parameters
    ==========

    options : as for `aiohttp.ClientSession`.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
