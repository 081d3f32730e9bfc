"""Distributes the reading of sampler streams over the nodes of a region.

The node that drives a step (its driver) does not have to read all streams of the step itself. The
driver chooses the sampler, counts its requests in flight there, and keeps the partial sample. An
executor is the node that reads one stream until the stream ends or breaks, and returns the tokens
that it received.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from contextlib import aclosing

from crankseam.clients.sampler import (
    CompletionRequest,
    SamplerClient,
    SamplerRefused,
    SamplerStreamBroke,
)
from crankseam.cluster.agent import ClusterAgent
from crankseam.cluster.digest import MemberStatus
from crankseam.errors import PeerError
from crankseam.peers.messages import (
    AnyMessage,
    CancelCompletion,
    CompletionOutcome,
    Done,
    Member,
    RunCompletion,
)
from crankseam.rollout.messages import Segment, append_tokens

log = logging.getLogger(__name__)

LOCAL_STREAM_THRESHOLD = 64
"""Number of streams that a driver reads itself before it also assigns streams to other nodes. The
cost of reading a stream is given in docs/CAPACITY.md."""

REMOTE_STREAM_TIMEOUT_S = 1800.0
"""Longest time that a driver waits for another node to read one stream."""
LIVENESS_CHECK_INTERVAL_S = 0.5
"""Interval at which the driver and the executor of a stream each check that the other node is still
alive."""


async def read_stream(
    sampler: SamplerClient, address: str, request: CompletionRequest
) -> CompletionOutcome:
    """Read one stream and return its outcome.

    A refused or broken stream is reported in the outcome; no SamplerError is raised.
    """
    outcome = CompletionOutcome([], [])
    segments: list[Segment] = []
    try:
        async with aclosing(sampler.complete(address, request)) as chunks:  # type: ignore[type-var]
            async for chunk in chunks:
                append_tokens(segments, chunk.version, len(outcome.tokens), len(chunk.tokens))
                outcome.tokens.extend(chunk.tokens)
                if chunk.finished and not segments:
                    segments.append(Segment(chunk.version, 0, 0))
                outcome.finished = chunk.finished
                outcome.cut_by_bound = chunk.cut_by_bound
    except SamplerRefused:
        outcome.refused = True
    except SamplerStreamBroke as error:
        outcome.broke = str(error)
    outcome.segments = [(s.version, s.start, s.end) for s in segments]
    return outcome


class StreamExecutors:
    """Has streams read by this node or by other nodes of the region.

    As a driver, this node calls `run`. As an executor, it answers the `RunCompletion` and
    `CancelCompletion` messages of drivers on other nodes.
    """

    def __init__(self, agent: ClusterAgent, sampler: SamplerClient) -> None:
        self._agent = agent
        self._sampler = sampler
        self._assigned_streams: Counter[str] = Counter()
        self._running: dict[tuple[str, str], asyncio.Task[CompletionOutcome]] = {}
        agent.transport.handle(RunCompletion, self._on_run)
        agent.transport.handle(CancelCompletion, self._on_cancel)

    # --- driver

    async def run(self, address: str, request: CompletionRequest) -> CompletionOutcome:
        """Read a stream on this node or on another node of the region.

        Below `LOCAL_STREAM_THRESHOLD` streams, this node reads the stream itself. From there on,
        the stream is assigned to the node that has the fewest streams from this node; this may be
        this node itself.
        """
        executor = self._choose_executor()
        name = executor.name if executor else self._agent.settings.name
        self._assigned_streams[name] += 1
        try:
            if executor is None:
                return await read_stream(self._sampler, address, request)
            return await self._run_on_executor(executor, address, request)
        finally:
            self._assigned_streams[name] -= 1

    def _choose_executor(self) -> Member | None:
        """Return the other node that should read the next stream; None means this node."""
        own = self._agent.settings.name
        if self._assigned_streams[own] < LOCAL_STREAM_THRESHOLD:
            return None
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        chosen = min(members, key=lambda m: self._assigned_streams[m.name], default=None)
        return chosen if chosen is not None and chosen.name != own else None

    async def _run_on_executor(
        self, executor: Member, address: str, request: CompletionRequest
    ) -> CompletionOutcome:
        message = RunCompletion(
            address,
            request.request_id,
            request.prompt,
            request.max_tokens,
            request.prior_tokens,
            request.priority,
        )
        call = asyncio.create_task(
            self._agent.transport.call_for(
                executor.peer_address, message, CompletionOutcome, REMOTE_STREAM_TIMEOUT_S
            )
        )
        try:
            while not call.done():
                await asyncio.wait([call], timeout=LIVENESS_CHECK_INTERVAL_S)
                if not call.done() and not self._is_alive(executor):
                    break
            if call.done():
                return call.result()
        except PeerError:
            pass  # logged below, together with executors that are reported dead
        finally:
            if not call.done():
                call.cancel()
                self._agent.tasks.start(
                    self._cancel_remote_stream(executor, request), "cancel stream"
                )
        # The tokens that the executor had read are lost; the sample is continued from the tokens
        # that this node kept before. The sampler did not fail, so the outcome does not say that the
        # stream broke.
        log.info("executor lost", extra={"executor": executor.name, "request": request.request_id})
        return CompletionOutcome([], [])

    def _is_alive(self, executor: Member) -> bool:
        member = self._agent.digest.member(executor.name)
        if member is None or member.identity != executor.identity:
            return False
        return member.status != MemberStatus.DEAD

    async def _cancel_remote_stream(self, executor: Member, request: CompletionRequest) -> None:
        try:
            await self._agent.transport.call(
                executor.peer_address,
                CancelCompletion(request.request_id),
                self._agent.settings.timing.peer_timeout,
            )
        except PeerError:
            log.info("stream not cancelled", extra={"executor": executor.name})

    # --- executor

    async def _on_run(self, peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, RunCompletion)
        request = CompletionRequest(
            message.request_id,
            message.prompt,
            message.max_tokens,
            message.prior_tokens,
            message.priority,
        )
        key = (peer, message.request_id)
        task = asyncio.create_task(read_stream(self._sampler, message.address, request))
        self._running[key] = task
        try:
            while not task.done():
                await asyncio.wait([task], timeout=LIVENESS_CHECK_INTERVAL_S)
                if self._is_dead(peer):
                    task.cancel()  # the driver is dead, so no node waits for the outcome
            return task.result()
        except asyncio.CancelledError:
            return CompletionOutcome([], [], broke="cancelled")
        finally:
            task.cancel()
            self._running.pop(key, None)

    def _is_dead(self, peer: str) -> bool:
        member = self._agent.digest.member(peer)
        return member is not None and member.status == MemberStatus.DEAD

    async def _on_cancel(self, peer: str, message: AnyMessage) -> AnyMessage:
        assert isinstance(message, CancelCompletion)
        task = self._running.get((peer, message.request_id))
        if task is not None:
            task.cancel()
        return Done()

    @property
    def streams_read_for_other_nodes(self) -> int:
        """Number of streams that this node reads for drivers on other nodes."""
        return len(self._running)
