"""Reads sampler streams on many nodes, so that the node that drives a step need not read all.

The driving node chooses the sampler, counts what it sent there, and keeps the partial sample. An
executor only reads one stream to its end or to where it breaks off, and returns what came.
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

LOCAL_STREAMS = 64
"""Streams a driving node reads itself before it asks others (the cost of a stream is in
docs/CAPACITY.md). Origin of the value not recorded."""

REMOTE_TIMEOUT_S = 1800.0
"""Longest time for which another node reads one stream. Origin not recorded."""
WATCH_S = 0.5
"""How often each side of a stream looks whether the other is still alive. Origin not recorded."""


async def read_stream(
    sampler: SamplerClient, address: str, request: CompletionRequest
) -> CompletionOutcome:
    """Read one stream; never raises a SamplerError, the outcome tells."""
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
    """Runs streams here or on other nodes of the region, and runs those that others ask for."""

    def __init__(self, agent: ClusterAgent, sampler: SamplerClient) -> None:
        self._agent = agent
        self._sampler = sampler
        self._assigned: Counter[str] = Counter()
        self._running: dict[tuple[str, str], asyncio.Task[CompletionOutcome]] = {}
        agent.transport.handle(RunCompletion, self._on_run)
        agent.transport.handle(CancelCompletion, self._on_cancel)

    # --- the driving node

    async def run(self, address: str, request: CompletionRequest) -> CompletionOutcome:
        """Read a stream on the node that reads the fewest for this one."""
        executor = self._choose()
        name = executor.name if executor else self._agent.settings.name
        self._assigned[name] += 1
        try:
            if executor is None:
                return await read_stream(self._sampler, address, request)
            return await self._run_remotely(executor, address, request)
        finally:
            self._assigned[name] -= 1

    def _choose(self) -> Member | None:
        """Another node, or None to read here."""
        own = self._agent.settings.name
        if self._assigned[own] < LOCAL_STREAMS:
            return None
        members = self._agent.digest.alive_in_region(self._agent.settings.region)
        chosen = min(members, key=lambda m: self._assigned[m.name], default=None)
        return chosen if chosen is not None and chosen.name != own else None

    async def _run_remotely(
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
                executor.peer_address, message, CompletionOutcome, REMOTE_TIMEOUT_S
            )
        )
        try:
            while not call.done():
                await asyncio.wait([call], timeout=WATCH_S)
                if not call.done() and not self._is_alive(executor):
                    break
            if call.done():
                return call.result()
        except PeerError:
            pass  # logged below, as for an executor that is known to be dead
        finally:
            if not call.done():
                call.cancel()
                self._agent.tasks.start(self._cancel(executor, request), "cancel stream")
        # What the executor had read is lost; the sample goes on from what was kept before. The
        # sampler is not to blame, so the outcome is not that the stream broke.
        log.info("executor lost", extra={"executor": executor.name, "request": request.request_id})
        return CompletionOutcome([], [])

    def _is_alive(self, executor: Member) -> bool:
        member = self._agent.digest.member(executor.name)
        if member is None or member.identity != executor.identity:
            return False
        return member.status != MemberStatus.DEAD

    async def _cancel(self, executor: Member, request: CompletionRequest) -> None:
        try:
            await self._agent.transport.call(
                executor.peer_address,
                CancelCompletion(request.request_id),
                self._agent.settings.timing.peer_timeout,
            )
        except PeerError:
            log.info("stream not cancelled", extra={"executor": executor.name})

    # --- the executor

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
                await asyncio.wait([task], timeout=WATCH_S)
                if self._is_dead(peer):
                    task.cancel()  # nobody waits for it any more
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
    def running_for_others(self) -> int:
        """Streams that this node reads for driving nodes."""
        return len(self._running)
