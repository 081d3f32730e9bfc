"""Tests how a step retries changes of its records, without a cluster."""

import asyncio

import pytest

from crankseam.errors import NoQuorum, RecordExpired
from crankseam.rollout.messages import OpenStep, SampleRecord, SampleRequest, SampleResult
from crankseam.rollout.step_run import StepRun


class FailingRecords:
    """Raises the given errors in turn; after the last one, each call succeeds."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.calls = 0

    async def _answer(self):
        self.calls += 1
        if self.errors:
            raise self.errors.pop(0)
        return SampleRecord(generation=1, result=None)

    async def drop_stale(self, index, generation):
        return await self._answer()

    async def commit(self, result):
        return await self._answer()


def make_run(records):
    sample = SampleRequest(index=0, prompt="p")
    open_step = OpenStep(step=1, opened_at_ms=1, samples=[sample])
    run = StepRun(open_step, records, None, None, None, lambda version: None, lambda: True)
    started = []
    run._start_sample = started.append
    return run, started


RESULT = SampleResult(
    trainer="t", step=1, index=0, generation=0, tokens=[], segments=[], samplers=[]
)


@pytest.mark.parametrize("method", ["_regenerate", "_commit"])
async def test_a_step_too_old_for_records_is_not_tried_for_ever(method):
    records = FailingRecords(*[RecordExpired()] * 50)
    run, started = make_run(records)
    async with asyncio.timeout(5):
        await getattr(run, method)(RESULT)
    assert records.calls == 1 and not started


async def test_a_stale_sample_is_dropped_through_failures_and_made_again():
    records = FailingRecords(NoQuorum(), NoQuorum())
    run, started = make_run(records)
    await run._regenerate(RESULT)
    assert records.calls == 3 and len(started) == 1
