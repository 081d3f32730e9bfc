"""Client of samplers: OpenAI-style completions over server-sent events, and fenced orders.

Owns the forms of both. Relies on the sampler's own word for the version of each chunk. Nothing is
tried again here; each error says whether tokens may have been generated.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp
import msgspec

from crankseam.errors import CrankseamError

DATA_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
REASON_BOUND = "length"
"""`finish_reason` of a completion that ended at its max_tokens."""
CONNECT_TIMEOUT_S = 1.0
"""Of a completion or order. Origin not recorded."""
STATE_TIMEOUT_S = 2.0
"""For reading what a sampler serves. Origin not recorded."""
ORDER_TIMEOUT_S = 120.0
"""For an order; loading a version takes tens of seconds. Origin not recorded."""


class SamplerError(CrankseamError):
    """The sampler did not finish what it was asked for."""


class SamplerRefused(SamplerError):
    """The sampler turned the request down before it began."""


class SamplerStreamBroke(SamplerError):
    """The stream ended before its last chunk."""


class OrderRefused(SamplerError):
    """The order's fence is older than one the sampler has seen."""


class OrderFailed(SamplerError):
    """The order was taken and failed, such as a weight load that broke off."""


class TokenChunk(msgspec.Struct):
    """Some tokens, and the weight version that truly made them."""

    tokens: list[int]
    version: int
    finished: bool = False
    cut_by_bound: bool = False
    """The completion ended at its max_tokens, not by itself."""


class SamplerState(msgspec.Struct):
    """What a sampler says of its weights."""

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
        max_tokens: bound on the tokens of this completion, without the prior ones.
        prior_tokens: tokens already generated elsewhere, to go on from.
        priority: lower numbers run first.
    """

    request_id: str
    prompt: str
    max_tokens: int
    prior_tokens: list[int]
    priority: int


class SamplerClient:
    """Talks to any sampler by its address."""

    def __init__(self, session: aiohttp.ClientSession, silence_timeout: float) -> None:
        self._session = session
        self._silence = silence_timeout

    async def complete(self, address: str, request: CompletionRequest) -> AsyncIterator[TokenChunk]:
        """Yield chunks until the completion is whole; closing the generator cancels it.

        Raises:
            SamplerRefused: nothing was generated.
            SamplerStreamBroke: the stream ended early; the chunks so far are valid.
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
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=self._silence
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
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            raise SamplerStreamBroke(type(error).__name__) from error
        raise SamplerStreamBroke("ended without a last chunk")

    async def state(self, address: str) -> SamplerState:
        """What the sampler serves and has loaded. Raises SamplerError."""
        try:
            timeout = aiohttp.ClientTimeout(total=STATE_TIMEOUT_S)
            url = f"http://{address}/admin/state"
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                return msgspec.json.decode(await answer.read(), type=SamplerState)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise SamplerError(type(error).__name__) from error

    async def load(self, address: str, version: int, source: str, fence: int) -> None:
        """Have the sampler load a version beside the one it serves; returns when it is loaded."""
        await self._order(address, "load", {"version": version, "source": source, "fence": fence})

    async def switch(self, address: str, version: int, fence: int) -> None:
        """Have the sampler serve a loaded version."""
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
    async for line in answer.content:
        if not line.startswith(DATA_PREFIX):
            continue
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
            cut_by_bound=choice.finish_reason == REASON_BOUND,
        )
