"""Generates one sample; if a stream breaks, another sampler continues from the tokens received.

This module keeps the partial sample. The router selects the sampler with the least load within the
staleness bound. The pool's limit and `may_send` decide whether a request may be sent now; a sample
whose sampler crashed waits as `crash_backoff` tells, and is never held back. The weight version of
each token is the one that the sampler reports.

`jobs/item_run` does the same on the users' platform, with intended differences: there, an item is
assigned a slot at a sampler before the run and keeps it, a run may be moved to a faster sampler,
results have deadlines, and an item fails after the number of attempts that its route allows. A
sample, in contrast, is retried until it is complete or its step has ended.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from crankseam.back_end_probe import BackEndProbe
from crankseam.backoff import Backoff, crash_backoff
from crankseam.clients.address_probe import refuses_connections
from crankseam.clients.sampler import CompletionRequest
from crankseam.config.kinds import BackEnd, Limit, SamplerPool, Trainer
from crankseam.controllers.limit_shares import LimitShareController
from crankseam.decisions import Candidate, Decision, DecisionLog
from crankseam.peers.messages import CompletionOutcome
from crankseam.rollout.executors import StreamExecutors
from crankseam.rollout.messages import (
    SampleRequest,
    SampleResult,
    Segment,
    append_tokens,
    oldest_version,
)
from crankseam.routing import Choice, Router

log = logging.getLogger(__name__)

SELECTION_REASON = "least load within the staleness bound"
RETRY_BASE_DELAY_S = 0.02
"""Minimum delay before a sampler is selected again, and upper bound of the random jitter that is
added to the first delay."""
RETRY_MAX_JITTER_S = 0.1
"""Upper bound of the random jitter that is added to any delay."""


@dataclass
class SampleJob:
    """State of a sample under generation: its request, its tokens so far and their versions.

    The number of the step is also the priority at the sampler, so that samples of earlier steps run
    first.
    """

    step: int
    request: SampleRequest
    tokens: list[int] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    samplers: list[str] = field(default_factory=list)
    is_complete: bool = False

    def name(self, trainer: str) -> str:
        """Return `trainer/step/index`, which is unique and the same for each attempt."""
        return f"{trainer}/{self.step}/{self.request.index}"

    def add_outcome(self, sampler: str, outcome: CompletionOutcome) -> None:
        """Append the tokens of a stream that continued from the tokens so far."""
        self.samplers.append(sampler)
        for version, start, end in outcome.segments:
            if end > start:
                append_tokens(self.segments, version, len(self.tokens) + start, end - start)
            elif not self.segments:
                self.segments.append(Segment(version, 0, 0))
        self.tokens.extend(outcome.tokens)
        ended = outcome.finished and not outcome.cut_by_bound
        self.is_complete = ended or len(self.tokens) >= self.request.max_tokens

    def oldest_version(self) -> float:
        """Return the oldest version that generated a token so far; infinity if there is none."""
        return oldest_version(self.segments) if self.segments else float("inf")

    def restart(self) -> None:
        """Discard all tokens, so that the next attempt starts from the prompt."""
        self.tokens.clear()
        self.segments.clear()
        self.samplers.clear()

    def result(self, trainer: str, generation: int, decision_id: str) -> SampleResult:
        """Return the complete sample in the form in which it is committed."""
        return SampleResult(
            trainer=trainer,
            step=self.step,
            index=self.request.index,
            generation=generation,
            tokens=self.tokens,
            segments=self.segments,
            samplers=self.samplers,
            decision_id=decision_id,
        )


@dataclass(frozen=True)
class GenerationTarget:
    """Trainer, pool and versions for which a sample is generated, as currently known.

    Attributes
    ==========

    trainer_version : version that the trainer will have when it trains on the sample.
    revision : revision of the configuration that `trainer`, `pool` and `limit` come from.
    """

    trainer: Trainer
    pool: SamplerPool
    trainer_version: int
    revision: int
    limit: Limit | None = None
    """Limit on the requests in flight at the pool; None if there is none."""

    @property
    def oldest_allowed(self) -> int:
        """The oldest weight version that may generate a token of the sample."""
        return self.trainer_version - self.trainer.staleness_bound


def _make_version_filter(generation_target: GenerationTarget) -> Callable[[Candidate], str | None]:
    """Return a filter for the router that refuses samplers with a version that is too old."""

    def refuse(candidate: Candidate) -> str | None:
        if 0 <= candidate.version < generation_target.oldest_allowed:
            return f"version {candidate.version} is older than {generation_target.oldest_allowed}"
        return None

    return refuse


class _Attempt(NamedTuple):
    """One attempt at a sample.

    Attributes
    ==========

    sampler_crashed : whether the sampler crashed before it generated a token.
    """

    decision: Decision
    sampler_crashed: bool


class SampleGenerator:
    """Generates samples on the samplers of a pool."""

    def __init__(
        self,
        executors: StreamExecutors,
        router: Router,
        decisions: DecisionLog,
        may_send: Callable[[], bool],
        shares: LimitShareController,
        probe: BackEndProbe,
    ) -> None:
        self._probe = probe
        self._shares = shares
        self._executors = executors
        self._may_send = may_send
        self._router = router
        self._decisions = decisions

    async def generate(
        self, job: SampleJob, generation: int, target: Callable[[], GenerationTarget]
    ) -> SampleResult:
        """Generate a sample until it is complete, and return its result.

        Parameters
        ==========

        target : returns the current target. It is called for each attempt, because versions and
            configuration may change between attempts.
        """
        backoff = Backoff(RETRY_BASE_DELAY_S, RETRY_MAX_JITTER_S)
        crashes = crash_backoff()
        while True:
            generation_target = target()
            tokens_before = len(job.tokens)
            attempt = await self._attempt_within_limit(job, generation_target)
            if attempt is None:
                await asyncio.sleep(RETRY_BASE_DELAY_S + backoff.next_delay())
                continue
            backoff.reset()
            if job.is_complete:
                name = generation_target.trainer.name
                return job.result(name, generation, attempt.decision.decision_id)
            if len(job.tokens) > tokens_before:
                crashes.reset()
            if attempt.sampler_crashed:
                await asyncio.sleep(crashes.next_delay())

    async def _attempt_within_limit(
        self, job: SampleJob, generation_target: GenerationTarget
    ) -> _Attempt | None:
        """Make one attempt if the pool's limit permits; return None if none was started."""
        if generation_target.limit is None:
            return await self._choose_and_attempt(job, generation_target)
        if not await self._shares.acquire(generation_target.limit):
            return None
        try:
            return await self._choose_and_attempt(job, generation_target)
        finally:
            self._shares.share_of(generation_target.limit).release()

    async def _choose_and_attempt(
        self, job: SampleJob, generation_target: GenerationTarget
    ) -> _Attempt | None:
        if not self._may_send():
            return None
        if job.oldest_version() < generation_target.oldest_allowed:
            job.restart()  # the tokens so far are too old: the sample could not be delivered
        decision = self._make_decision(job, generation_target)
        if decision.choice is None:
            return None
        sampler = next(s for s in generation_target.pool.samplers if s.name == decision.choice)
        if not await self._probe.may_receive_work(sampler):
            self._router.record_connection_failure(f"{generation_target.pool.name}/{sampler.name}")
            return None
        self._decisions.record(decision)
        return _Attempt(decision, await self._attempt(job, sampler, generation_target))

    def has_eligible_sampler(self, generation_target: GenerationTarget) -> bool:
        """Whether any sampler is eligible for a sample now, regardless of free capacity."""
        pool = generation_target.pool
        choice = self._router.choose(
            pool.name, pool.samplers, _make_version_filter(generation_target)
        )
        return choice.back_end is not None

    def _make_decision(self, job: SampleJob, generation_target: GenerationTarget) -> Decision:
        choice = self._choose_sampler(generation_target)
        return Decision(
            decision_id=self._decisions.new_id(),
            kind="sample",
            subject=job.name(generation_target.trainer.name),
            node=self._decisions.node,
            revision=generation_target.revision,
            at="",
            reason=SELECTION_REASON,
            choice=choice.back_end.name if choice.back_end else None,
            candidates=choice.candidates,
        )

    def _choose_sampler(self, generation_target: GenerationTarget) -> Choice:
        pool = generation_target.pool
        version_filter = _make_version_filter(generation_target)

        def eligible(candidate: Candidate) -> str | None:
            in_flight = self._router.local_state(f"{pool.name}/{candidate.name}").in_flight
            if in_flight >= pool.max_running_per_sampler:
                return f"full: {in_flight} running"
            return version_filter(candidate)

        if pool.routing == "round_robin":
            return self._router.choose_round_robin(pool.name, pool.samplers, eligible)
        return self._router.choose(pool.name, pool.samplers, eligible)

    async def _attempt(
        self, job: SampleJob, sampler: BackEnd, generation_target: GenerationTarget
    ) -> bool:
        """Generate on one sampler until its stream ends or breaks; add the tokens to the job.

        Returns
        =======

        Whether the sampler crashed before it generated a token.
        """
        target = f"{generation_target.pool.name}/{sampler.name}"
        completion = CompletionRequest(
            request_id=job.name(generation_target.trainer.name),
            prompt=job.request.prompt,
            max_tokens=job.request.max_tokens - len(job.tokens),
            prior_tokens=list(job.tokens),
            priority=job.step,
        )
        self._router.start(target)
        try:
            outcome = await self._executors.run(sampler.address, completion)
        finally:
            self._router.finish(target)
        if outcome.refused or outcome.broke:
            self._router.record_connection_failure(target)
        if outcome.broke:
            log.info("sample broke off", extra={"sampler": sampler.name, "error": outcome.broke})
        if not outcome.refused:
            job.add_outcome(sampler.name, outcome)
        if not outcome.broke or outcome.tokens:
            return False
        return await refuses_connections(sampler.address)
