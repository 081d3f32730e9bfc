"""Problem documents (RFC 9457) for callers.

`Retry-After` is rounded up to whole seconds, at least 1, as the header has no smaller unit.
"""

from __future__ import annotations

import math

import msgspec
from aiohttp import web

from crankseam.errors import Problem

PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:crankseam:problem:"


def problem_response(problem: Problem, headers: dict[str, str]) -> web.Response:
    """Return the response that tells a caller what happened, the outcome of the request, and when
    to retry."""
    body = {
        "type": PROBLEM_TYPE_PREFIX + problem.type,
        "title": problem.type.replace("-", " "),
        "status": problem.status,
        "detail": problem.detail,
        "outcome": problem.outcome,
    }
    if problem.retry_after is not None:
        headers = {**headers, "Retry-After": str(max(1, math.ceil(problem.retry_after)))}
    return web.Response(
        status=problem.status,
        body=msgspec.json.encode(body),
        content_type=PROBLEM_CONTENT_TYPE,
        headers=headers,
    )
