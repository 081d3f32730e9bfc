"""HTTP sessions that never resend a request on their own."""

from __future__ import annotations

from typing import Any

import aiohttp


def single_send_session(**options: Any) -> aiohttp.ClientSession:
    """Return a session without automatic retries, which are left to the caller.

    By default, aiohttp resends an idempotent request such as GET, PUT or DELETE on a new connection
    if a kept-alive connection breaks before the answer. The back end may have run the request by
    then, so a request that may run only once would run twice. If the second connection is refused,
    it would also look as if nothing had been sent. aiohttp has no public option to disable this;
    `tests/platform/test_front.py` fails if the private attribute set here loses its effect.

    Parameters
    ==========

    options : keyword arguments of `aiohttp.ClientSession`.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
