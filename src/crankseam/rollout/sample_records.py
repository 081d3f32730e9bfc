"""Commits the results of samples: of each generation, the first complete result is kept.

This module defines the keys and dates of a step's records. The proposer makes a majority of the
replicas agree on each record. The records alone, and not the memory of a node, determine which node
is the driver of a step and which results are committed.
"""

from __future__ import annotations

import msgspec

from crankseam.cluster.agent import ClusterAgent
from crankseam.records.proposer import RecordKey
from crankseam.rollout.messages import SampleRecord, SampleResult, StepRecord

STEP_RETENTION_MS = 2 * 3600 * 1000
"""Records of a step are kept 2 hours longer than records of requests."""

_record_decoder = msgspec.msgpack.Decoder(SampleRecord)


class SampleRecords:
    """Reads and writes the records of one step."""

    def __init__(self, agent: ClusterAgent, trainer: str, step: int, opened_at_ms: int) -> None:
        self._agent = agent
        self._prefix = f"{trainer}/{step}"
        self._record_date_ms = opened_at_ms + STEP_RETENTION_MS

    def _locate_sample(self, index: int) -> RecordKey:
        return self._agent.locate(f"sample/{self._prefix}/{index}", self._record_date_ms)

    async def become_driver(self) -> StepRecord:
        """Make this node the driver of the step and return the step's record.

        The previous driver stops as soon as it reads the changed record.

        Raises
        ======

        RecordError : the record could not be changed, or it is not known whether it was changed.
        """
        record_key = self._agent.locate(f"step/{self._prefix}", self._record_date_ms)
        identity = self._agent.identity

        def take_over(standing: bytes | None) -> bytes | None:
            term = 0
            if standing is not None:
                record = msgspec.msgpack.decode(standing, type=StepRecord)
                if record.driver == identity:
                    return None
                term = record.term
            return msgspec.msgpack.encode(StepRecord(identity, term + 1))

        value = await self._agent.proposer.change(record_key, take_over)
        assert value is not None
        return msgspec.msgpack.decode(value, type=StepRecord)

    async def is_driver(self) -> bool:
        """Whether this node is still the driver of the step.

        Raises
        ======

        RecordError : the record could not be read.
        """
        record_key = self._agent.locate(f"step/{self._prefix}", self._record_date_ms)
        value = await self._agent.proposer.read(record_key)
        if value is None:
            return False
        return msgspec.msgpack.decode(value, type=StepRecord).driver == self._agent.identity

    async def read(self, index: int) -> SampleRecord | None:
        """Return the agreed record of a sample; None if there is none.

        Raises
        ======

        RecordError : the record could not be read.
        """
        value = await self._agent.proposer.read(self._locate_sample(index))
        return _record_decoder.decode(value) if value is not None else None

    async def commit(self, result: SampleResult) -> SampleRecord:
        """Commit a result unless another result was committed first; return the agreed record.

        Raises
        ======

        RecordError : it is not known whether the result was committed; the caller should retry.
        """
        encoded = msgspec.msgpack.encode(
            SampleRecord(result.generation, msgspec.json.encode(result))
        )
        record_key = self._locate_sample(result.index)
        if result.generation == 0 and await self._agent.proposer.create(record_key, encoded):
            return _record_decoder.decode(encoded)

        def first_wins(standing: bytes | None) -> bytes | None:
            if standing is None:
                return encoded
            record = _record_decoder.decode(standing)
            may_commit = record.result is None and record.generation == result.generation
            return encoded if may_commit else None

        value = await self._agent.proposer.change(record_key, first_wins)
        assert value is not None
        return _record_decoder.decode(value)

    async def drop_stale(self, index: int, generation: int) -> SampleRecord:
        """Drop a committed result that is too old to deliver, so that it can be generated again.

        Returns the agreed record. A record of a later generation is left unchanged.
        """
        dropped = msgspec.msgpack.encode(SampleRecord(generation + 1, None))

        def drop(standing: bytes | None) -> bytes | None:
            if standing is None:
                return dropped
            record = _record_decoder.decode(standing)
            return dropped if record.generation <= generation else None

        value = await self._agent.proposer.change(self._locate_sample(index), drop)
        assert value is not None
        return _record_decoder.decode(value)
