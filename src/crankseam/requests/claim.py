"""At most once: claims a request that may not be repeated before it is forwarded.

Owns the reading and writing of a request's record around its forwarding, and the count of ends that
are still being committed. Relies on `claim_rules` for what may be written over what and told to
whom, and on the proposer for a majority's agreement.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from dataclasses import dataclass

import msgspec

from crankseam.cluster.agent import ClusterAgent
from crankseam.constants import MAX_STORED_ANSWER_BYTES, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN
from crankseam.errors import (
    BadRequest,
    IdentifierExpired,
    Problem,
    RecordError,
    RecordExpired,
    Unavailable,
)
from crankseam.records.proposer import OwnedBallot, RecordKey
from crankseam.requests import retry_after
from crankseam.requests.claim_rules import (
    apply_claim,
    apply_final_record,
    apply_refusal,
    is_attempt_refused,
    is_claimed_by,
    problem_for,
    requires_agreement,
)
from crankseam.requests.context import Answer, Next, RequestContext
from crankseam.requests.request_record import (
    RequestRecord,
    RequestState,
    decode_record,
    encode_record,
)

log = logging.getLogger(__name__)

REPLAYED_HEADER = "Crankseam-Replayed"
DIGEST_LENGTH = 16
"""Hexadecimal digits kept of the SHA-256 that tells requests under one key apart: 64 bits. Shorter
records; origin not recorded."""
SETTLE_S = 5.0
"""How long a node tries to commit how a request ended, after which it is left as claimed. Origin
not recorded."""
SETTLE_PATIENCE_S = 0.25
"""How long the caller's answer waits for that; after it, the commit goes on behind the answer. Less
than `timing.record_timeout` (0.7 s), so that a replica that is silent does not delay callers."""
SETTLE_PAUSE_S = 0.1
"""Between two tries. Origin not recorded."""


@dataclass
class HeldClaim:
    """A claim of this node, and the ballot for the next write if the fast round gave one."""

    where: RecordKey
    record: RequestRecord
    owned: OwnedBallot | None


class RequestClaims:
    """Reads and writes request records for this node."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self.settling = 0

    def _locate(self, context: RequestContext) -> RecordKey:
        key = f"r/{context.service_name}/{context.idempotency_key}"
        return self._agent.locate(key, context.key_date)

    @staticmethod
    def digest(context: RequestContext) -> str:
        """What tells a request from another under the same key: method, path and body."""
        head = f"{context.http.method} {context.path}\n".encode()
        return hashlib.sha256(head + context.body).hexdigest()[:DIGEST_LENGTH]

    def _new_record(self, context: RequestContext, state: RequestState) -> RequestRecord:
        return RequestRecord(
            state=state,
            attempt=context.request_id,
            claimant=context.claim_token,
            body_digest=self.digest(context),
        )

    async def claim(self, context: RequestContext) -> HeldClaim | RequestRecord:
        """Claim the request; a RequestRecord is what stood in the way.

        Raises:
            RecordError: it is not known whether the claim holds; nothing may be forwarded.
        """
        where = self._locate(context)
        record = self._new_record(context, RequestState.CLAIMED)
        encoded = encode_record(record)
        owned = await self._agent.proposer.create(where, encoded)
        if owned is not None:
            return HeldClaim(where, record, owned)
        value = await self._agent.proposer.change(
            where, lambda standing: apply_claim(standing, record)
        )
        assert value is not None
        agreed = decode_record(value)
        if is_claimed_by(agreed, record):
            return HeldClaim(where, agreed, None)
        return agreed

    async def settle(self, claim: HeldClaim, final: RequestRecord) -> None:
        """Commit how a claimed request ended, in the background if it takes long."""
        work = self._agent.tasks.start(self._settle(claim, final), "settle request")
        await asyncio.wait([work], timeout=SETTLE_PATIENCE_S)

    async def _settle(self, claim: HeldClaim, final: RequestRecord) -> None:
        self.settling += 1
        try:
            if not await self._try_settling(claim, encode_record(final)):
                # A retry will find `claimed` and be told `unknown`, which is true.
                log.info("request left as claimed", extra={"key": claim.where.key})
        finally:
            self.settling -= 1

    async def _try_settling(self, claim: HeldClaim, encoded: bytes) -> bool:
        try:
            async with asyncio.timeout(SETTLE_S):
                if claim.owned is not None:
                    if await self._agent.proposer.overwrite(claim.where, claim.owned, encoded):
                        return True
                return await self._settle_slowly(claim, encoded)
        except TimeoutError:
            return False  # logged by the caller

    async def _settle_slowly(self, claim: HeldClaim, encoded: bytes) -> bool:
        while True:
            try:
                value = await self._agent.proposer.change(
                    claim.where,
                    lambda standing: apply_final_record(standing, claim.record, encoded),
                )
                return value == encoded
            except RecordExpired:
                return False
            except RecordError:
                await asyncio.sleep(SETTLE_PAUSE_S)  # until SETTLE_S are over

    async def refuse(self, context: RequestContext) -> RequestRecord:
        """Commit `not_run` for this attempt; returns what is agreed, which may be another state.

        Raises:
            RecordError: nothing is known to be agreed; the caller must be told `unknown`.
        """
        where = self._locate(context)
        refusal = self._new_record(context, RequestState.NOT_RUN)
        refusal.refused_attempts = [context.request_id]
        encoded = encode_record(refusal)
        if await self._agent.proposer.create(where, encoded) is not None:
            return refusal
        value = await self._agent.proposer.change(
            where, lambda standing: apply_refusal(standing, refusal)
        )
        assert value is not None
        return decode_record(value)


class ClaimFilter:
    """Claims before, and commits the end after, the filters that forward the request."""

    def __init__(self, claims: RequestClaims) -> None:
        self._claims = claims

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Forward under a claim, or answer from the record that stands."""
        if not context.must_not_repeat:
            return await call_next(context)
        try:
            claim = await self._claims.claim(context)
        except RecordExpired:
            raise IdentifierExpired("the key is older than what is remembered")
        except RecordError as error:
            # The claim may hold although this node does not know it. It will not forward, and
            # tries to have that agreed, so that the caller can be told.
            raise Unavailable(str(error), OUTCOME_NOT_RUN, retry_after.RECORD_S)
        if isinstance(claim, RequestRecord):
            return self._answer_from(claim, context)
        return await self._forward(claim, context, call_next)

    def _answer_from(self, record: RequestRecord, context: RequestContext) -> Answer:
        if record.body_digest != self._claims.digest(context):
            detail = "the key was used for another request"
            raise BadRequest(detail, OUTCOME_UNKNOWN)
        problem = problem_for(record)
        if problem is not None:
            raise problem
        headers = {**record.headers, REPLAYED_HEADER: "true"}
        return Answer(record.status, headers, record.body)

    async def _forward(self, claim: HeldClaim, context: RequestContext, call_next: Next) -> Answer:
        try:
            answer = await call_next(context)
        except Problem as problem:
            await self._settle_problem(claim, context, problem)
            raise
        except asyncio.CancelledError:
            # The caller hung up. What was forwarded may have run; its record must not say less.
            if context.dispatched:
                await asyncio.shield(self._settle_unknown(claim))
            raise
        await self._settle_answer(claim, context, answer)
        return answer

    async def _settle_problem(
        self, claim: HeldClaim, context: RequestContext, problem: Problem
    ) -> None:
        # If it was not forwarded, the refusal filter commits `not_run` over this own claim.
        if context.dispatched:
            problem.outcome = OUTCOME_UNKNOWN
            await self._settle_unknown(claim)

    async def _settle_unknown(self, claim: HeldClaim) -> None:
        final = msgspec.structs.replace(claim.record, state=RequestState.UNKNOWN)
        await self._claims.settle(claim, final)

    async def _settle_answer(
        self, claim: HeldClaim, context: RequestContext, answer: Answer
    ) -> None:
        body = answer.body
        if body is not None and len(body) > MAX_STORED_ANSWER_BYTES:
            body = None
        final = msgspec.structs.replace(
            claim.record,
            state=RequestState.ANSWERED,
            status=answer.status,
            headers=answer.headers,
            body=body,
            decision_id=context.decision.decision_id if context.decision else "",
        )
        await self._claims.settle(claim, final)


class RefusalFilter:
    """Turns every `not_run` into a committed state before the caller hears of it."""

    def __init__(self, claims: RequestClaims) -> None:
        self._claims = claims

    async def __call__(self, context: RequestContext, call_next: Next) -> Answer:
        """Pass answers through; check each problem's outcome."""
        try:
            return await call_next(context)
        except Problem as problem:
            await self._check_outcome(context, problem)
            raise

    async def _check_outcome(self, context: RequestContext, problem: Problem) -> None:
        if context.dispatched and problem.outcome == OUTCOME_NOT_RUN:
            problem.outcome = OUTCOME_UNKNOWN
        if not requires_agreement(context, problem.outcome):
            return
        # In another region its record is out of reach: an earlier attempt may have run at home.
        if context.has_remote_home or not await self._is_agreed(context):
            problem.outcome = OUTCOME_UNKNOWN

    async def _is_agreed(self, context: RequestContext) -> bool:
        """Have `not_run` agreed for this attempt; whether it is."""
        try:
            agreed = await self._claims.refuse(context)
        except RecordError:
            return False  # nothing is known to be agreed, and the caller is told so
        return is_attempt_refused(agreed, context.request_id)
