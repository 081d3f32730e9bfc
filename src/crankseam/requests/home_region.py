"""Forwards a request to its service's home region, whose nodes store the request's record.

The digest lists the live nodes of the region. If a node cannot be connected to, the next one is
tried. Once a byte was sent, no other node is tried, since the request may have run. A header marks
a request that was forwarded from another region.
"""

from __future__ import annotations

import asyncio
import logging
import random

import aiohttp

from crankseam.clients.bounded_responses import MAX_UNSIZED_ANSWER_BYTES, read_limited
from crankseam.cluster.agent import ClusterAgent
from crankseam.constants import (
    DEADLINE_HEADER,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    REQUEST_ID_HEADER,
)
from crankseam.errors import OutcomeUnknown, Unavailable
from crankseam.peers.messages import Member
from crankseam.requests import retry_after
from crankseam.requests.context import Answer, NextHandler, RequestContext
from crankseam.requests.headers import end_to_end_headers

log = logging.getLogger(__name__)

FORWARDED_HEADER = "Crankseam-Forwarded"
"""Set on a request that was forwarded to its home region, so that it is forwarded only once."""

MAX_NODES_TRIED = 3
"""Maximum number of nodes of the home region that are tried, so that the caller gets an error soon
if none of the nodes can be reached."""


class HomeRegionFilter:
    """Handles requests of this region's services, and forwards all others to their home region."""

    def __init__(self, agent: ClusterAgent, session: aiohttp.ClientSession) -> None:
        self._agent = agent
        self._session = session
        self._random = random.Random(f"home {agent.identity}")

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Forward the request, unless this is its home region or it was forwarded already."""
        home_region = context.require_service().home_region
        if home_region == self._agent.settings.region:
            return await call_next(context)
        context.has_remote_home = True
        if FORWARDED_HEADER in context.http.headers:
            detail = (
                f"this node is not in {home_region}, and the request was passed on once already"
            )
            raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.OTHER_REGION_S)
        members = list(self._agent.digest.alive_in_region(home_region))
        self._random.shuffle(members)
        for member in members[:MAX_NODES_TRIED]:
            try:
                return await self._forward_to(context, member)
            except aiohttp.ClientConnectorError:
                log.info("home node not reached", extra={"node": member.name})
        detail = f"no node of the home region {home_region} can be reached"
        raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.OTHER_REGION_S)

    async def _forward_to(self, context: RequestContext, member: Member) -> Answer:
        headers = end_to_end_headers(context.http.headers)
        headers[FORWARDED_HEADER] = self._agent.settings.name
        headers[REQUEST_ID_HEADER] = context.request_id
        headers[DEADLINE_HEADER] = str(max(0, int(context.remaining() * 1000)))
        request = self._session.request(
            context.http.method,
            f"http://{member.caller_address}{context.http.path_qs}",
            data=context.body,
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=context,
        )
        try:
            async with asyncio.timeout(max(0.0, context.remaining())):
                async with request as answer:
                    body = await read_limited(answer, MAX_UNSIZED_ANSWER_BYTES)
                    return Answer(answer.status, end_to_end_headers(answer.headers), body)
        except aiohttp.ClientConnectorError:
            raise
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            detail = f"the home region's answer was lost: {type(error).__name__}"
            raise OutcomeUnknown(detail, OUTCOME_UNKNOWN) from error
