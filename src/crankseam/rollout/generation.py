"""Generates one sample, going on elsewhere with the tokens it has when a sampler breaks off.

Owns the partial sample. Relies on the router for the sampler with the least load within the
staleness bound, on the pool's limit, the quarantine and `may_send` for whether one may be asked
now, and on the sampler's own report for the version of each token.

`jobs/item_run` does this on the users' platform, and differs by intent: there a place at a sampler
is assigned before the run and kept, runs may be moved to a faster sampler, results have deadlines,
and an item is given up after its route's attempts. A sample is made until it is whole or its step
is over.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from crankseam.back_end_probe import BackEndProbe
from crankseam.backoff import Backoff
from crankseam.clients.address_probe import refuses_connections
from crankseam.clients.sampler import CompletionRequest
from crankseam.config.kinds import BackEnd, Limit, SamplerPool, Trainer
from crankseam.controllers.limit_shares import LimitShareController
from crankseam.decisions import Candidate, Decision, DecisionLog
from crankseam.peers.messages import CompletionOutcome
from crankseam.quarantine.model import TrialSubject, name_of_end
from crankseam.quarantine.quarantine import Quarantine
from crankseam.quarantine.trial import Send, Trial
from crankseam.rollout.executors import StreamExecutors
from crankseam.rollout.messages import (
    SampleRequest,
    SampleResult,
    Segment,
    append_tokens,
    oldest_version,
)
from crankseam.routing import Choice, Router
from crankseam.serving.tenants import NO_TENANT

log = logging.getLogger(__name__)

REASON = "least load within the staleness bound"
WAIT_BASE_S = 0.02
"""Shortest pause before a sampler is looked for again, and upper bound of what chance adds to the
first one. Origin not recorded."""
WAIT_CAP_S = 0.1
"""Upper bound of what chance adds to any pause. Origin not recorded."""


@dataclass
class SampleJob:
    """A sample on its way: what was asked for, and the tokens so far with their versions.

    Earlier steps run first at a sampler, so the step is also the priority.
    """

    step: int
    request: SampleRequest
    tokens: list[int] = field(default_factory=list)
    segments: list[Segment] = field(default_factory=list)
    samplers: list[str] = field(default_factory=list)
    is_whole: bool = False

    def name(self, trainer: str) -> str:
        """`trainer/step/index`, unique and the same for each attempt."""
        return f"{trainer}/{self.step}/{self.request.index}"

    def add(self, sampler: str, outcome: CompletionOutcome) -> None:
        """Take the tokens of one more stream, which went on from what is here."""
        self.samplers.append(sampler)
        for version, start, end in outcome.segments:
            if end > start:
                append_tokens(self.segments, version, len(self.tokens) + start, end - start)
            elif not self.segments:
                self.segments.append(Segment(version, 0, 0))
        self.tokens.extend(outcome.tokens)
        ended = outcome.finished and not outcome.cut_by_bound
        self.is_whole = ended or len(self.tokens) >= self.request.max_tokens

    def oldest_version(self) -> float:
        """The oldest version that made a token so far; infinite before the first."""
        return oldest_version(self.segments) if self.segments else float("inf")

    def start_again(self) -> None:
        """Start from the prompt again."""
        self.tokens.clear()
        self.segments.clear()
        self.samplers.clear()

    def result(self, trainer: str, generation: int, decision_id: str) -> SampleResult:
        """The whole sample as it is committed."""
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


def _subject(job: SampleJob, wanted: GenerationTarget) -> TrialSubject:
    """What a sampler is asked for; samples of one prompt are alike."""
    prompt = f"{job.request.max_tokens} {job.request.prompt}".encode()
    name = job.name(wanted.trainer.name)
    return TrialSubject(name, NO_TENANT, wanted.pool.name, "POST", wanted.pool.name, "", prompt)


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
        shares: LimitShareController,
        probe: BackEndProbe,
        quarantine: Quarantine,
    ) -> None:
        self._probe = probe
        self._quarantine = quarantine
        self._shares = shares
        self._executors = executors
        self._may_send = may_send
        self._router = router
        self._decisions = decisions

    async def generate(
        self, job: SampleJob, generation: int, target: Callable[[], GenerationTarget]
    ) -> SampleResult:
        """Generate until whole.

        Args:
            target: asked anew for each attempt, since versions and configuration move on.
        """
        wanted = target()
        trial = Trial(self._quarantine, _subject(job, wanted), wanted.pool.crash_limit)
        try:
            return await self._attempt_until_whole(job, generation, target, trial)
        finally:
            trial.abandon()

    async def _attempt_until_whole(
        self,
        job: SampleJob,
        generation: int,
        target: Callable[[], GenerationTarget],
        trial: Trial,
    ) -> SampleResult:
        backoff = Backoff(WAIT_BASE_S, WAIT_CAP_S)
        while True:
            await trial.wait_admitted()
            wanted = target()
            decision = await self._attempt_within_limit(job, wanted, trial)
            if decision is None:
                await asyncio.sleep(WAIT_BASE_S + backoff.next_delay())
                continue
            backoff.reset()
            if job.is_whole:
                return job.result(wanted.trainer.name, generation, decision.decision_id)

    async def _attempt_within_limit(
        self, job: SampleJob, wanted: GenerationTarget, trial: Trial
    ) -> Decision | None:
        """One attempt, if the pool's limit has room; None if nothing could be started."""
        if wanted.limit is None:
            return await self._choose_and_attempt(job, wanted, trial)
        if not await self._shares.acquire(wanted.limit):
            return None
        try:
            return await self._choose_and_attempt(job, wanted, trial)
        finally:
            self._shares.share_of(wanted.limit).release()

    async def _choose_and_attempt(
        self, job: SampleJob, wanted: GenerationTarget, trial: Trial
    ) -> Decision | None:
        if not self._may_send():
            return None
        if job.oldest_version() < wanted.oldest_allowed:
            job.start_again()  # carried on, it could not be delivered
        decision = self._choose(job, wanted)
        if decision.choice is None:
            return None
        sampler = next(s for s in wanted.pool.samplers if s.name == decision.choice)
        if not await self._probe.may_get_work(sampler):
            self._router.fail_connection(f"{wanted.pool.name}/{sampler.name}")
            return None
        self._decisions.record(decision)
        tokens_before = len(job.tokens)
        with trial.sending() as send:
            await self._attempt(job, sampler, wanted, send)
        if len(job.tokens) > tokens_before:
            trial.progressed()
        trial.report_if_held()
        return decision

    def has_eligible(self, wanted: GenerationTarget) -> bool:
        """Whether any sampler could take a sample now, were it not full."""
        pool = wanted.pool
        choice = self._router.choose(pool.name, pool.samplers, _version_rule(wanted))
        return choice.back_end is not None

    def _choose(self, job: SampleJob, wanted: GenerationTarget) -> Decision:
        choice = self._choose_sampler(wanted)
        return Decision(
            decision_id=self._decisions.new_id(),
            kind="sample",
            subject=job.name(wanted.trainer.name),
            node=self._decisions.node,
            revision=wanted.revision,
            at="",
            reason=REASON,
            choice=choice.back_end.name if choice.back_end else None,
            candidates=choice.candidates,
        )

    def _choose_sampler(self, wanted: GenerationTarget) -> Choice:
        pool = wanted.pool
        version_rule = _version_rule(wanted)

        def eligible(candidate: Candidate) -> str | None:
            in_flight = self._router.view(f"{pool.name}/{candidate.name}").in_flight
            if in_flight >= pool.max_running_per_sampler:
                return f"full: {in_flight} running"
            return version_rule(candidate)

        if pool.routing == "round_robin":
            return self._router.take_turns(pool.name, pool.samplers, eligible)
        return self._router.choose(pool.name, pool.samplers, eligible)

    async def _attempt(
        self, job: SampleJob, sampler: BackEnd, wanted: GenerationTarget, send: Send
    ) -> None:
        """Generate on one sampler until it ends or breaks off; the job keeps what came."""
        target = f"{wanted.pool.name}/{sampler.name}"
        completion = CompletionRequest(
            request_id=job.name(wanted.trainer.name),
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
            self._router.fail_connection(target)
        send.was_not_run = outcome.refused
        if outcome.broke and not outcome.tokens and await refuses_connections(sampler.address):
            send.ended_id = name_of_end(sampler.name)
        if outcome.broke:
            log.info("sample broke off", extra={"sampler": sampler.name, "error": outcome.broke})
        if not outcome.refused:
            job.add(sampler.name, outcome)
