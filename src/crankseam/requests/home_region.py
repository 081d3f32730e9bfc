"""Passes a request on to its service's home region, whose nodes keep the request's record.

Owns the header that marks a request as passed on once. Relies on the digest for living nodes of the
region. A node whose connection is refused is passed over; after the first byte nothing is tried
again, since the request may have run.
"""

from __future__ import annotations

import asyncio
import logging
import random

import aiohttp

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
from crankseam.requests.context import Answer, Next, RequestContext
from crankseam.requests.headers import end_to_end_headers

log = logging.getLogger(__name__)

FORWARDED_HEADER = "Crankseam-Forwarded"
"""Set on a request that was passed on once, so that it is never passed on again."""

MAX_NODES_TRIED = 3
"""Nodes of the home region that are tried, so that a region whose nodes are all gone is noticed
soon. Origin not recorded."""


class HomeRegionFilter:
    """Handles requests of this region's services here, and passes all others on."""

    def __init__(self, agent: ClusterAgent, session: aiohttp.ClientSession) -> None:
        self._agent = agent
        self._session = session
        self._random = random.Random(f"home {agent.identity}")

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Pass on, unless this is the home region or the request came from another region."""
        home = context.require_service().home_region
        if home == self._agent.settings.region:
            return await call_next(context)
        context.has_remote_home = True
        if FORWARDED_HEADER in context.http.headers:
            detail = f"this node is not in {home}, and the request was passed on once already"
            raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.OTHER_REGION_S)
        members = list(self._agent.digest.alive_in_region(home))
        self._random.shuffle(members)
        for member in members[:MAX_NODES_TRIED]:
            try:
                return await self._pass_on(context, member)
            except aiohttp.ClientConnectorError:
                log.info("home node not reached", extra={"node": member.name})
        detail = f"no node of the home region {home} can be reached"
        raise Unavailable(detail, OUTCOME_NOT_RUN, retry_after.OTHER_REGION_S)

    async def _pass_on(self, context: RequestContext, member: Member) -> Answer:
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
                    body = await answer.read()
                    return Answer(answer.status, end_to_end_headers(answer.headers), body)
        except aiohttp.ClientConnectorError:
            raise
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            detail = f"the home region's answer was lost: {type(error).__name__}"
            raise OutcomeUnknown(detail, OUTCOME_UNKNOWN) from error
