"""Client of samplers: OpenAI-style completions over server-sent events, and fenced orders.

An order tells a sampler to load or to serve a weight version. It carries a fencing token, so that a
sampler rejects orders of a node that has lost the duty to issue them. The weight version of each
chunk is the one that the sampler reports. Requests are not retried here; the class of an error
tells whether tokens may have been generated.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

from crankseam.clients.bounded_responses import read_limited
from crankseam.errors import CrankseamError

DATA_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
LENGTH_FINISH_REASON = "length"
"""`finish_reason` of a completion that was truncated at `max_tokens`."""
CONNECT_TIMEOUT_S = 1.0
"""Timeout for the connection of a completion or order."""
STATE_TIMEOUT_S = 2.0
"""Timeout for reading the state of a sampler."""
ORDER_TIMEOUT_S = 120.0
"""Timeout of an order; loading a version takes tens of seconds."""


MAX_SKIPPED_BYTES = 2**16
"""Bytes of lines that are no events, such as comments, which may come between two events."""


class SamplerError(CrankseamError):
    """The sampler did not complete a request or order."""


class SamplerRefused(SamplerError):
    """The sampler refused the request before it generated any token."""


class SamplerStreamBroke(SamplerError):
    """The stream of a completion ended before the last chunk."""


class OrderRefused(SamplerError):
    """The order's fencing token is older than one that the sampler has seen."""


class OrderFailed(SamplerError):
    """The order failed, for example because the weights could not be loaded."""


class TokenChunk(msgspec.Struct):
    """Consecutive tokens of a completion, and the weight version that generated them."""

    tokens: list[int]
    version: int
    finished: bool = False
    cut_by_bound: bool = False
    """Whether the completion was truncated at `max_tokens`."""


class SamplerState(msgspec.Struct):
    """The weight versions that a sampler reports.

    Attributes:
        serving: version that generates tokens now.
        loaded: versions that are loaded.
        loading: version that is being loaded, if any.
        fence: newest fencing token that the sampler has seen.
    """

    serving: int
    loaded: list[int]
    loading: int | None = None
    fence: int = 0


class _Choice(msgspec.Struct):
    token_ids: list[int]
    finish_reason: str | None = None


class _Completion(msgspec.Struct):
    choices: list[_Choice]
    weight_version: int


@dataclass(frozen=True)
class CompletionRequest:
    """One completion to generate.

    Attributes:
        max_tokens: maximum number of new tokens, without the prior ones.
        prior_tokens: tokens already generated elsewhere, which the completion continues.
        priority: requests with lower numbers run first.
    """

    request_id: str
    prompt: str
    max_tokens: int
    prior_tokens: list[int]
    priority: int


class SamplerClient:
    """Sends completions and orders to samplers.

    Args:
        session: HTTP session of the caller.
        read_timeout: seconds without data after which a completion fails.
    """

    def __init__(self, session: aiohttp.ClientSession, read_timeout: float) -> None:
        self._session = session
        self._read_timeout = read_timeout

    async def complete(self, address: str, request: CompletionRequest) -> AsyncIterator[TokenChunk]:
        """Yield chunks until the completion has finished; closing the generator cancels it.

        Raises:
            SamplerRefused: no token was generated.
            SamplerStreamBroke: the stream ended early; the chunks received so far are valid.
        """
        body = {
            "prompt": request.prompt,
            "prior_token_ids": request.prior_tokens,
            "max_tokens": request.max_tokens,
            "stream": True,
            "priority": request.priority,
            "request_id": request.request_id,
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=self._read_timeout
        )
        url = f"http://{address}/v1/completions"
        try:
            async with self._session.post(url, json=body, timeout=timeout) as answer:
                if answer.status != 200:
                    raise SamplerRefused(f"status {answer.status}")
                async for chunk in _read_events(answer):
                    yield chunk
                    if chunk.finished:
                        return
        except aiohttp.ClientConnectorError as error:
            raise SamplerRefused("no connection") from error
        except (aiohttp.ClientError, TimeoutError, ConnectionError, ValueError) as error:
            # ValueError: a line is longer than the library reads.
            raise SamplerStreamBroke(type(error).__name__) from error
        raise SamplerStreamBroke("ended without a last chunk")

    async def state(self, address: str) -> SamplerState:
        """Return the weight versions that the sampler reports. Raises SamplerError."""
        try:
            timeout = aiohttp.ClientTimeout(total=STATE_TIMEOUT_S)
            url = f"http://{address}/admin/state"
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                return msgspec.json.decode(await read_limited(answer), type=SamplerState)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise SamplerError(type(error).__name__) from error

    async def load(self, address: str, version: int, source: str, fence: int) -> None:
        """Order the sampler to load a version while it serves another; return once it is loaded."""
        await self._order(address, "load", {"version": version, "source": source, "fence": fence})

    async def switch(self, address: str, version: int, fence: int) -> None:
        """Order the sampler to serve a loaded version."""
        await self._order(address, "switch", {"version": version, "fence": fence})

    async def _order(self, address: str, order: str, body: dict[str, int | str]) -> None:
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        url = f"http://{address}/admin/{order}"
        try:
            async with self._session.post(url, json=body, timeout=timeout) as answer:
                if answer.status == 409:
                    raise OrderRefused(order)
                if answer.status != 200:
                    raise OrderFailed(f"{order}: status {answer.status}")
        except (aiohttp.ClientError, TimeoutError) as error:
            raise OrderFailed(f"{order}: {type(error).__name__}") from error


async def _read_events(answer: aiohttp.ClientResponse) -> AsyncIterator[TokenChunk]:
    skipped_bytes = 0
    async for line in answer.content:
        if not line.startswith(DATA_PREFIX):
            skipped_bytes += len(line)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise SamplerStreamBroke("lines without end that are no events")
            continue
        skipped_bytes = 0
        data = line[len(DATA_PREFIX) :].strip()
        if data == END_OF_STREAM:
            return
        try:
            completion = msgspec.json.decode(data, type=_Completion)
        except msgspec.DecodeError as error:
            raise SamplerStreamBroke("malformed event") from error
        choice = completion.choices[0]
        yield TokenChunk(
            tokens=choice.token_ids,
            version=completion.weight_version,
            finished=choice.finish_reason is not None,
            cut_by_bound=choice.finish_reason == LENGTH_FINISH_REASON,
        )
