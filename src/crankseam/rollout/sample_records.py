"""Commits the results of samples: the first whole result of a generation wins.

Owns the keys and dates of a step's records. Relies on the proposer for a majority's agreement; who
drives the step and what is committed is what its record says, not what a node remembers.
"""

from __future__ import annotations

import msgspec

from crankseam.cluster.agent import ClusterAgent
from crankseam.records.proposer import RecordKey
from crankseam.rollout.messages import SampleRecord, SampleResult, StepRecord

STEP_RETENTION_MS = 2 * 3600 * 1000
"""Records of a step are kept this much longer than those of requests: 2 hours. Origin not
recorded."""

_record_decoder = msgspec.msgpack.Decoder(SampleRecord)


class SampleRecords:
    """Reads and writes the records of one step."""

    def __init__(self, agent: ClusterAgent, trainer: str, step: int, opened_at_ms: int) -> None:
        self._agent = agent
        self._prefix = f"{trainer}/{step}"
        self._dated = opened_at_ms + STEP_RETENTION_MS

    def _locate(self, index: int) -> RecordKey:
        return self._agent.locate(f"sample/{self._prefix}/{index}", self._dated)

    async def become_driver(self) -> StepRecord:
        """Take the step over; the driver before finds out and stops. Raises RecordError."""
        where = self._agent.locate(f"step/{self._prefix}", self._dated)
        identity = self._agent.identity

        def take_over(standing: bytes | None) -> bytes | None:
            term = 0
            if standing is not None:
                record = msgspec.msgpack.decode(standing, type=StepRecord)
                if record.driver == identity:
                    return None
                term = record.term
            return msgspec.msgpack.encode(StepRecord(identity, term + 1))

        value = await self._agent.proposer.change(where, take_over)
        assert value is not None
        return msgspec.msgpack.decode(value, type=StepRecord)

    async def is_driver(self) -> bool:
        """Whether this node is still the step's driver. Raises RecordError."""
        where = self._agent.locate(f"step/{self._prefix}", self._dated)
        value = await self._agent.proposer.read(where)
        if value is None:
            return False
        return msgspec.msgpack.decode(value, type=StepRecord).driver == self._agent.identity

    async def read(self, index: int) -> SampleRecord | None:
        """What is agreed about a sample. Raises RecordError."""
        value = await self._agent.proposer.read(self._locate(index))
        return _record_decoder.decode(value) if value is not None else None

    async def commit(self, result: SampleResult) -> SampleRecord:
        """Commit a result unless another was committed first; return what is agreed.

        Raises:
            RecordError: it is not known whether it was committed; try again.
        """
        encoded = msgspec.msgpack.encode(
            SampleRecord(result.generation, msgspec.json.encode(result))
        )
        where = self._locate(result.index)
        if result.generation == 0 and await self._agent.proposer.create(where, encoded):
            return _record_decoder.decode(encoded)

        def first_wins(standing: bytes | None) -> bytes | None:
            if standing is None:
                return encoded
            record = _record_decoder.decode(standing)
            may_follow = record.result is None and record.generation == result.generation
            return encoded if may_follow else None

        value = await self._agent.proposer.change(where, first_wins)
        assert value is not None
        return _record_decoder.decode(value)

    async def drop_stale(self, index: int, generation: int) -> SampleRecord:
        """Drop a committed result that is too old to deliver, so that it is made again."""
        dropped = msgspec.msgpack.encode(SampleRecord(generation + 1, None))

        def drop(standing: bytes | None) -> bytes | None:
            if standing is None:
                return dropped
            record = _record_decoder.decode(standing)
            return dropped if record.generation <= generation else None

        value = await self._agent.proposer.change(self._locate(index), drop)
        assert value is not None
        return _record_decoder.decode(value)
