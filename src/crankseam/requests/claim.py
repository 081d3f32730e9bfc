"""At-most-once execution: claims a request that may not be repeated before it is forwarded.

Reads and writes the request's record before and after forwarding, and counts the final states that
are still being committed. The permitted transitions and the outcomes told to callers are in
`claim_rules`; the proposer obtains the agreement of a majority of the replicas.
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
from crankseam.records.proposer import RecordKey, ReservedBallot
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
from crankseam.requests.context import Answer, NextHandler, RequestContext
from crankseam.requests.request_record import (
    RequestRecord,
    RequestState,
    decode_record,
    encode_record,
)

log = logging.getLogger(__name__)

REPLAYED_HEADER = "Crankseam-Replayed"
DIGEST_LENGTH = 16
"""Hexadecimal digits kept of the SHA-256 that distinguishes requests with the same key: 64 bits.
The digest is truncated to keep the records small."""
COMMIT_TIMEOUT_S = 5.0
"""How long a node tries to commit the final state of a request; after that, the request is left as
claimed."""
COMMIT_WAIT_S = 0.25
"""How long the caller's answer waits for the commit, which then continues in the background. Less
than `timing.record_timeout` (0.7 s), so that an unresponsive replica does not delay callers."""
COMMIT_RETRY_DELAY_S = 0.1
"""Delay between two attempts to commit."""


@dataclass
class HeldClaim:
    """A claim of this node.

    Attributes:
        reserved_ballot: for the next write; None unless the fast round created the record.
    """

    record_key: RecordKey
    record: RequestRecord
    reserved_ballot: ReservedBallot | None


class RequestClaims:
    """Reads and writes request records for this node."""

    def __init__(self, agent: ClusterAgent) -> None:
        self._agent = agent
        self.pending_commits = 0
        """Number of final states that are still being committed."""

    def _locate(self, context: RequestContext) -> RecordKey:
        key = f"r/{context.service_name}/{context.idempotency_key}"
        return self._agent.locate(key, context.key_date)

    @staticmethod
    def digest(context: RequestContext) -> str:
        """Return a digest of method, path and body.

        A request with the key of another request is recognised by its different digest.
        """
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
        """Claim the request.

        Returns:
            The claim, or the agreed record that prevents it.

        Raises:
            RecordError: it is not known whether the claim holds; the request must not be forwarded.
        """
        record_key = self._locate(context)
        record = self._new_record(context, RequestState.CLAIMED)
        encoded = encode_record(record)
        reserved = await self._agent.proposer.create(record_key, encoded)
        if reserved is not None:
            return HeldClaim(record_key, record, reserved)
        value = await self._agent.proposer.change(
            record_key, lambda current: apply_claim(current, record)
        )
        assert value is not None
        agreed = decode_record(value)
        if is_claimed_by(agreed, record):
            return HeldClaim(record_key, agreed, None)
        return agreed

    async def commit_final(self, claim: HeldClaim, final: RequestRecord) -> None:
        """Commit the final state of a claimed request; wait at most `COMMIT_WAIT_S` for it."""
        commit_task = self._agent.tasks.start(self._commit_final(claim, final), "settle request")
        await asyncio.wait([commit_task], timeout=COMMIT_WAIT_S)

    async def _commit_final(self, claim: HeldClaim, final: RequestRecord) -> None:
        self.pending_commits += 1
        try:
            if not await self._try_commit(claim, encode_record(final)):
                # A retry will read `claimed` and be told `unknown`, which is true.
                log.info("request left as claimed", extra={"key": claim.record_key.key})
        finally:
            self.pending_commits -= 1

    async def _try_commit(self, claim: HeldClaim, encoded: bytes) -> bool:
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                if claim.reserved_ballot is not None:
                    if await self._agent.proposer.overwrite(
                        claim.record_key, claim.reserved_ballot, encoded
                    ):
                        return True
                return await self._commit_with_retries(claim, encoded)
        except TimeoutError:
            return False  # logged by the caller

    async def _commit_with_retries(self, claim: HeldClaim, encoded: bytes) -> bool:
        while True:
            try:
                value = await self._agent.proposer.change(
                    claim.record_key,
                    lambda current: apply_final_record(current, claim.record, encoded),
                )
                return value == encoded
            except RecordExpired:
                return False
            except RecordError:
                await asyncio.sleep(COMMIT_RETRY_DELAY_S)  # until COMMIT_TIMEOUT_S has passed

    async def refuse(self, context: RequestContext) -> RequestRecord:
        """Commit `not_run` for this attempt; return the agreed record, whose state may differ.

        Raises:
            RecordError: no agreement is known; the caller must be told `unknown`.
        """
        record_key = self._locate(context)
        refusal = self._new_record(context, RequestState.NOT_RUN)
        refusal.refused_attempts = [context.request_id]
        encoded = encode_record(refusal)
        if await self._agent.proposer.create(record_key, encoded) is not None:
            return refusal
        value = await self._agent.proposer.change(
            record_key, lambda current: apply_refusal(current, refusal)
        )
        assert value is not None
        return decode_record(value)


class ClaimFilter:
    """Claims a request before it is forwarded, and commits its final state afterwards."""

    def __init__(self, claims: RequestClaims) -> None:
        self._claims = claims

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Forward the request under a claim, or answer from the existing record."""
        if not context.must_not_repeat:
            return await call_next(context)
        try:
            claim = await self._claims.claim(context)
        except RecordExpired:
            raise IdentifierExpired("the key is older than what is remembered")
        except RecordError as error:
            # The claim may hold without this node's knowledge. The node does not forward the
            # request; RefusalFilter tries to commit `not_run` before the caller is told so.
            raise Unavailable(str(error), OUTCOME_NOT_RUN, retry_after.RECORD_UNAVAILABLE_S)
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

    async def _forward(
        self, claim: HeldClaim, context: RequestContext, call_next: NextHandler
    ) -> Answer:
        try:
            answer = await call_next(context)
        except Problem as problem:
            await self._commit_problem(claim, context, problem)
            raise
        except asyncio.CancelledError:
            # The caller disconnected. A forwarded request may have run, which its record must show.
            if context.dispatched:
                await asyncio.shield(self._commit_unknown(claim))
            raise
        await self._commit_answer(claim, context, answer)
        return answer

    async def _commit_problem(
        self, claim: HeldClaim, context: RequestContext, problem: Problem
    ) -> None:
        # If the request was not forwarded, RefusalFilter replaces this claim by `not_run`.
        if context.dispatched:
            problem.outcome = OUTCOME_UNKNOWN
            await self._commit_unknown(claim)

    async def _commit_unknown(self, claim: HeldClaim) -> None:
        final = msgspec.structs.replace(claim.record, state=RequestState.UNKNOWN)
        await self._claims.commit_final(claim, final)

    async def _commit_answer(
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
        await self._claims.commit_final(claim, final)


class RefusalFilter:
    """Commits the outcome `not_run` before the caller is told."""

    def __init__(self, claims: RequestClaims) -> None:
        self._claims = claims

    async def __call__(self, context: RequestContext, call_next: NextHandler) -> Answer:
        """Return answers unchanged; check the outcome of each problem."""
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
        # The record of a request whose home is another region cannot be reached from here, and an
        # earlier attempt may have run in the home region.
        if context.has_remote_home or not await self._is_agreed(context):
            problem.outcome = OUTCOME_UNKNOWN

    async def _is_agreed(self, context: RequestContext) -> bool:
        """Commit `not_run` for this attempt; return whether that is agreed."""
        try:
            agreed = await self._claims.refuse(context)
        except RecordError:
            return False  # no agreement is known; the caller is told `unknown`
        return is_attempt_refused(agreed, context.request_id)
