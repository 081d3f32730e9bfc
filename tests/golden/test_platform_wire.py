"""Requests that the platform adapter sends to the store, the samplers and the duty service."""

import contextlib

from crankseam_platform.control import HttpSamplerControl
from crankseam_platform.duty_calls import DutyClient
from crankseam_platform.generations import HttpGenerationClient
from crankseam_platform.sampler import SamplerClient
from crankseam_platform.scoring_calls import HttpScoringClient
from crankseam_platform.store import PlatformStore

from crankseam import clocks
from crankseam.coordination.interface import Condition, Put, Transaction
from crankseam.errors import KeyValueError
from crankseam.jobs.model import ItemDefinition, JobDefinition, ScoringRequest
from crankseam.orders.messages import OrderUnanswered, RunningRequests, VersionOrder
from crankseam.scaling.model import Kind, Order
from crankseam.serving.back_ends import BackEnd, BackEndRecord
from crankseam.serving.messages import AttemptBroken
from tests.golden.compare import check_golden
from tests.golden.recorder import RequestRecorder


async def test_calls_to_the_store():
    async with RequestRecorder() as recorder:
        store = PlatformStore(recorder.address)
        await store.start()
        transaction = Transaction([Condition("a/k", 4)], [Put("a/k", b"v\x00", 9)], ["a/gone"])
        calls = [
            lambda: store.get("a/k é"),
            lambda: store.page("a/"),
            lambda: store.page("a/", "a/k"),
            lambda: store.watch("a/", 7, 1.5),
            lambda: store.commit(transaction),
            lambda: store.grant_lease(2.5),
            lambda: store.renew_lease(12),
            lambda: store.end_lease(12),
        ]
        for call in calls:
            with contextlib.suppress(KeyValueError, KeyError):
                await call()
        await store.close()
    check_golden("wire_store.json", recorder.requests)


def back_end(recorder):
    return BackEnd(BackEndRecord("i-1", "svc", recorder.address, "z", 8))


def item(**fields):
    sent = {"Model": "m", "Token-Counts": "10,20", "Tenant": "x"}
    return ItemDefinition(id="item-1", path="/job/1?q=%20", headers=sent, body=b"body", **fields)


async def test_calls_to_samplers():
    async with RequestRecorder() as recorder:
        samplers = SamplerClient()
        await samplers.start()
        target = back_end(recorder)
        orders = HttpSamplerControl(samplers)
        with contextlib.suppress(OrderUnanswered):
            await orders.report(target)
        for running in RunningRequests:
            await orders.order_version(target, VersionOrder("m", 3, running, "front-1", 5, 2))
        job = JobDefinition(id="job1", host="app.example", path="/job", items=[item()], tenant="t")
        generations = HttpGenerationClient(samplers)
        for after in (0, 4):
            with contextlib.suppress(AttemptBroken):
                async for _ in generations.generate(target, job, job.items[0], after, 2.0):
                    pass
        scoring = ScoringRequest("score-1", "score.example", "/score?x=1", b"text")
        with contextlib.suppress(AttemptBroken):
            deadline = clocks.boottime_s() + 5.0
            await HttpScoringClient(samplers).score(target, scoring, deadline)
        await samplers.close()
    check_golden("wire_samplers.json", recorder.requests)


async def test_calls_to_the_duty_service():
    async with RequestRecorder() as recorder:
        caller = DutyClient(recorder.address)
        await caller.start()
        await caller.report_usage(7, {"t": 3}, "front-1", 5)
        for kind in Kind:
            await caller.order_samplers(Order("svc", "z", kind, 6, "need"), "front-1", 5)
        await caller.close()
    check_golden("wire_duties.json", recorder.requests)
