"""Generates one sample, going on elsewhere with the tokens it has when a sampler breaks off."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from crankseam.backoff import Backoff
from crankseam.clients.sampler import CompletionRequest
from crankseam.config.kinds import BackEnd, Limit, SamplerPool, Trainer
from crankseam.controllers.limit_shares import LimitShareController
from crankseam.decisions import Candidate, Decision, DecisionLog
from crankseam.peers.messages import CompletionOutcome
from crankseam.rollout.executors import StreamExecutors
from crankseam.rollout.lanes import lane_of, lane_rule
from crankseam.rollout.lengths import LengthEstimator
from crankseam.rollout.messages import (
    SampleRequest,
    SampleResult,
    Segment,
    append_tokens,
    oldest_version,
)
from crankseam.routing import Router

log = logging.getLogger(__name__)

REASON = "least load within the staleness bound"
REASON_LONG = "a long sample: a small batch first, then least load within the staleness bound"
WAIT_FOR_SAMPLER_BASE = 0.02
WAIT_FOR_SAMPLER_CAP = 0.1


@dataclass
class PartialSample:
    """Tokens generated so far, with the versions that made them."""

    tokens: list[int] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    samplers: list[str] = field(default_factory=list)

    def add(self, sampler: str, outcome: CompletionOutcome) -> None:
        """Take the tokens of one more stream, which went on from what is here."""
        self.samplers.append(sampler)
        for version, start, end in outcome.segments:
            if end > start:
                append_tokens(self.segments, version, len(self.tokens) + start, end - start)
            elif not self.segments:
                self.segments.append(Segment(version, 0, 0))
        self.tokens.extend(outcome.tokens)

    def clear(self) -> None:
        """Start from the prompt again."""
        self.tokens.clear()
        self.segments.clear()
        self.samplers.clear()


@dataclass(frozen=True)
class GenerationTarget:
    """What a sample is generated for, as the configuration and the trainer say now."""

    trainer: Trainer
    pool: SamplerPool
    trainer_version: int
    revision: int
    limit: Limit | None = None
    """The limit that bounds the pool, if any."""

    @property
    def oldest_allowed(self) -> int:
        """The oldest weight version that may make a token."""
        return self.trainer_version - self.trainer.staleness_bound


def _version_rule(wanted: GenerationTarget) -> Callable[[Candidate], str | None]:
    """Refuses samplers that serve a version older than what may make a token."""

    def refuse(candidate: Candidate) -> str | None:
        if 0 <= candidate.version < wanted.oldest_allowed:
            return f"version {candidate.version} is older than {wanted.oldest_allowed}"
        return None

    return refuse


class SampleGenerator:
    """Generates samples on the samplers of a pool."""

    def __init__(
        self,
        executors: StreamExecutors,
        router: Router,
        decisions: DecisionLog,
        may_send: Callable[[], bool],
        lengths: LengthEstimator,
        shares: LimitShareController,
    ) -> None:
        self._lengths = lengths
        self._shares = shares
        self._executors = executors
        self._may_send = may_send
        self._router = router
        self._decisions = decisions

    async def generate(
        self,
        step: int,
        request: SampleRequest,
        generation: int,
        target: Callable[[], GenerationTarget],
        priority: Callable[[], int],
    ) -> SampleResult:
        """Generate until whole.

        Args:
            target: asked anew for each attempt, since versions and configuration move on.
            priority: asked anew for each attempt; lower runs first.
        """
        partial = PartialSample()
        backoff = Backoff(WAIT_FOR_SAMPLER_BASE, WAIT_FOR_SAMPLER_CAP)
        while True:
            wanted = target()
            if not self._may_send():
                await asyncio.sleep(WAIT_FOR_SAMPLER_BASE + backoff.next_delay())
                continue
            is_long = self._is_long(request, partial)
            decision = self._choose(step, request, wanted, is_long)
            if decision.choice is None:
                await asyncio.sleep(WAIT_FOR_SAMPLER_BASE + backoff.next_delay())
                continue
            backoff.reset()
            sampler = next(s for s in wanted.pool.samplers if s.name == decision.choice)
            if partial.segments and oldest_version(partial.segments) < wanted.oldest_allowed:
                partial.clear()  # carried on, it could not be delivered
            bound = self._bound(request, partial, wanted, is_long)
            if wanted.limit is not None and not await self._shares.acquire(wanted.limit):
                await asyncio.sleep(WAIT_FOR_SAMPLER_BASE + backoff.next_delay())
                continue
            try:
                is_whole = await self._attempt(
                    sampler, step, request, wanted, partial, priority(), bound
                )
            finally:
                if wanted.limit is not None:
                    self._shares.share_of(wanted.limit).release()
            if is_whole:
                return SampleResult(
                    trainer=wanted.trainer.name,
                    step=step,
                    index=request.index,
                    generation=generation,
                    tokens=partial.tokens,
                    segments=partial.segments,
                    samplers=partial.samplers,
                    decision_id=decision.decision_id,
                )

    def _is_long(self, request: SampleRequest, partial: PartialSample) -> bool:
        threshold = self._lengths.long_from()
        proven = threshold is not None and len(partial.tokens) >= threshold
        return proven or self._lengths.is_expected_long(request)

    def _bound(
        self,
        request: SampleRequest,
        partial: PartialSample,
        wanted: GenerationTarget,
        is_long: bool,
    ) -> int:
        """Tokens to ask for now: up to where the sample proves long and is to be moved."""
        remaining = request.max_tokens - len(partial.tokens)
        threshold = self._lengths.long_from()
        if is_long or threshold is None or not lane_of(wanted.pool):
            return remaining
        return max(1, min(remaining, threshold - len(partial.tokens)))

    def has_eligible(self, wanted: GenerationTarget) -> bool:
        """Whether any sampler could take a sample now, were it not full."""
        pool = wanted.pool
        choice = self._router.choose(pool.name, pool.samplers, _version_rule(wanted))
        return choice.back_end is not None

    def _choose(
        self, step: int, request: SampleRequest, wanted: GenerationTarget, is_long: bool
    ) -> Decision:
        pool = wanted.pool
        version_rule = _version_rule(wanted)

        lanes = lane_rule(pool, is_long)

        def eligible(candidate: Candidate) -> str | None:
            in_flight = self._router.view(f"{pool.name}/{candidate.name}").in_flight
            if in_flight >= lanes.places(candidate.name):
                return f"full: {in_flight} running"
            return version_rule(candidate)

        if pool.routing == "round_robin":
            choice = self._router.take_turns(pool.name, pool.samplers, eligible)
        else:
            choice = self._router.choose(pool.name, pool.samplers, eligible, prefers=lanes.prefers)
        subject = f"{wanted.trainer.name}/{step}/{request.index}"
        decision = Decision(
            decision_id=self._decisions.new_id(),
            kind="sample",
            subject=subject,
            node=self._decisions.node,
            revision=wanted.revision,
            at="",
            reason=REASON_LONG if is_long else REASON,
            choice=choice.back_end.name if choice.back_end else None,
            candidates=choice.candidates,
        )
        if decision.choice is not None:
            self._decisions.record(decision)
        return decision

    async def _attempt(
        self,
        sampler: BackEnd,
        step: int,
        request: SampleRequest,
        wanted: GenerationTarget,
        partial: PartialSample,
        priority: int,
        bound: int,
    ) -> bool:
        """Generate at most `bound` tokens on one sampler; False if the sample is not whole then
        (what came is kept in `partial`)."""
        target = f"{wanted.pool.name}/{sampler.name}"
        completion = CompletionRequest(
            request_id=f"{wanted.trainer.name}/{step}/{request.index}",
            prompt=request.prompt,
            max_tokens=bound,
            prior_tokens=list(partial.tokens),
            priority=priority,
        )
        self._router.start(target)
        try:
            outcome = await self._executors.run(sampler.address, completion)
        finally:
            self._router.finish(target)
        if outcome.refused or outcome.broke:
            self._router.fail_connection(target)
        if outcome.refused:
            return False
        if outcome.broke:
            log.info("sample broke off", extra={"sampler": sampler.name, "error": outcome.broke})
        partial.add(sampler.name, outcome)
        if outcome.cut_by_bound:
            return len(partial.tokens) >= request.max_tokens
        return outcome.finished
