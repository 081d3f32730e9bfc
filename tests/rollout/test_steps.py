"""Tests steps on a cluster of real nodes with stand-ins for samplers.

Each sample must be delivered exactly once, with the weight versions that generated its tokens, and
within the staleness bound at delivery.
"""

import asyncio

import aiohttp
import msgspec
import pytest

from crankseam.config.kinds import BackEnd, Limit, SamplerPool, Trainer
from crankseam.identifiers import new_uuid7, timestamp_ms_of
from crankseam.rollout import executors
from crankseam.rollout.cursor import format_cursor, parse_cursor
from crankseam.rollout.messages import OpenStep, SampleRequest, SampleResult
from crankseam_standins.sampler import SamplerStandin, sample_length, token_at
from crankseam_standins.sampler_parameters import SamplerParameters
from tests.support.harness import (
    WAIT_SECONDS,
    ZONES,
    MemoryAccount,
    eventually,
    running_cluster,
    serve,
)

PARAMETERS = SamplerParameters(
    time_scale=50.0, median_length=40, report_lag=0.0, load_seconds=0.1, switch_seconds=0.1
)
STEP_SAMPLES = 12
LEASE_NOT_HELD = ("this node cannot confirm its configuration", "not_run")
"""Detail and outcome of the answer after which a trainer retries on the same node."""


async def retry_until_lease_is_held(send_request):
    """Repeat a request, as a trainer does, while the node does not hold its configuration lease.

    The harness shortens the lease to 0.58 s, and all nodes share the event loop of the test. If the
    machine does not schedule this process for that long, the lease expires and the refusal is
    correct. Any other answer is returned.
    """
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            status, content = await send_request()
            is_problem = status == 503 and isinstance(content, dict)
            if not is_problem or (content["detail"], content["outcome"]) != LEASE_NOT_HELD:
                return status, content
            await asyncio.sleep(0.01)


class Rollout:
    """A cluster with samplers, and a client that sends the requests of a trainer."""

    def __init__(self, cluster, samplers, runners, session) -> None:
        self.cluster = cluster
        self.samplers: list[SamplerStandin] = samplers
        self.runners = runners
        self.session = session
        self.opened_at = timestamp_ms_of(new_uuid7())

    def samples(self):
        return [
            SampleRequest(i, f"group-{i % 3}|prompt {i}", f"group-{i % 3}", 200)
            for i in range(STEP_SAMPLES)
        ]

    async def open(self, node, version=1, after=""):
        body = msgspec.json.encode(OpenStep(0, self.opened_at, self.samples()))
        url = f"{self.cluster.url(node)}/trainers/trainer/steps"
        query = {"version": str(version), "after": after}

        async def send_request():
            async with self.session.post(url, data=body, params=query) as answer:
                return answer.status, await answer.json(content_type=None)

        return await retry_until_lease_is_held(send_request)

    async def stream(self, node, version=1, after="", stop_after=None):
        url = f"{self.cluster.url(node)}/trainers/trainer/steps/0/samples"
        query = {"version": str(version), "after": after}

        async def send_request():
            async with self.session.get(url, params=query) as answer:
                if answer.status != 200:
                    return answer.status, await answer.json(content_type=None)
                return answer.status, await self._read_results(answer, stop_after)

        status, content = await retry_until_lease_is_held(send_request)
        assert status == 200, content
        return content

    @staticmethod
    async def _read_results(answer, stop_after):
        results: list[SampleResult] = []
        async for line in answer.content:
            results.append(msgspec.json.decode(line, type=SampleResult))
            if len(results) == stop_after:
                break
        return results


@pytest.fixture
async def rollout():
    async with running_cluster() as cluster, aiohttp.ClientSession() as session:
        samplers, runners, back_ends = [], [], []
        for number in range(3):
            sampler = SamplerStandin(f"sampler-{number}", PARAMETERS, 1, MemoryAccount())
            runner, address = await serve(sampler.application())
            samplers.append(sampler)
            runners.append(runner)
            back_ends.append(BackEnd(name=sampler.name, address=address, zone=ZONES[number]))
        pool = SamplerPool(
            kind="SamplerPool",
            name="pool",
            home_region="home",
            samplers=back_ends,
            max_running_per_sampler=4,
        )
        trainer = Trainer(kind="Trainer", name="trainer", pool="pool", staleness_bound=1)
        await cluster.platform.apply([*cluster.platform.documents(), pool, trainer])
        await eventually(
            lambda: all(n.agent.lease.snapshot.revision == 2 for n in cluster.nodes.values())
        )
        yield Rollout(cluster, samplers, runners, session)
        for runner in runners:
            await runner.cleanup()


def assert_complete_with_true_versions(rollout, results):
    prompts = {sample.index: sample for sample in rollout.samples()}
    for result in results:
        prompt = prompts[result.index].prompt
        length = sample_length(PARAMETERS, prompt, 200)
        assert result.tokens == [token_at(prompt, i) for i in range(length)]
        generated = [
            line
            for sampler in rollout.samplers
            for line in sampler.account.lines
            if line.get("request") == f"trainer/0/{result.index}"
        ]
        for segment in result.segments:
            for position in range(segment.start, segment.end):
                assert any(
                    line["start"] <= position < line["end"] and line["version"] == segment.version
                    for line in generated
                )


async def test_every_sample_comes_once(rollout):
    assert (await rollout.open(0))[0] == 200
    results = await rollout.stream(0)
    assert sorted(r.index for r in results) == list(range(STEP_SAMPLES))
    assert parse_cursor(results[-1].cursor) == set(range(STEP_SAMPLES))
    assert_complete_with_true_versions(rollout, results)


async def test_a_stream_goes_on_after_the_cursor_on_another_node(rollout):
    """If a node is killed between commit and delivery, no sample is lost or delivered twice."""
    await rollout.open(0)
    first_part = await rollout.stream(0, stop_after=3)
    await rollout.cluster.kill(0)
    cursor = first_part[-1].cursor
    assert (await rollout.open(1, after=cursor))[0] == 200
    second_part = await rollout.stream(1, after=cursor)
    assert sorted(r.index for r in first_part + second_part) == list(range(STEP_SAMPLES))


async def test_what_was_committed_before_is_not_made_again(rollout):
    await rollout.open(0)
    results = await rollout.stream(0)
    generated = sum(sampler.tokens_made for sampler in rollout.samplers)
    await rollout.open(1)
    again = await rollout.stream(1)
    assert {(r.index, tuple(r.tokens)) for r in again} == {
        (r.index, tuple(r.tokens)) for r in results
    }
    assert sum(sampler.tokens_made for sampler in rollout.samplers) == generated


async def test_the_driver_before_stops(rollout):
    await rollout.open(0)
    await rollout.open(1)
    run = rollout.cluster.nodes[0].rollout._runs["trainer", 0]
    await eventually(lambda: run.superseded, "the end of the old driver")


async def test_a_sample_past_the_bound_is_made_again_not_delivered(rollout):
    await rollout.open(0)
    run = rollout.cluster.nodes[0].rollout._runs["trainer", 0]
    await eventually(lambda: run.remaining() == 0, "the commit of all samples")
    for sampler in rollout.samplers:
        sampler.serving = 3
    results = await rollout.stream(0, version=3)
    assert len(results) == STEP_SAMPLES
    assert {s.version for r in results for s in r.segments} == {3}
    assert run.dropped_stale == STEP_SAMPLES


async def test_versions_are_those_reported_across_a_switch_in_mid_sample(rollout):
    await rollout.open(0)
    await eventually(lambda: sum(s.tokens_made for s in rollout.samplers) > 50, "the first tokens")
    for sampler in rollout.samplers:
        sampler.serving = 2
    results = await rollout.stream(0)
    assert_complete_with_true_versions(rollout, results)
    assert any(len(result.segments) == 2 for result in results)


async def test_a_sampler_that_dies_in_mid_sample_loses_nothing(rollout):
    await rollout.open(0)
    await eventually(lambda: rollout.samplers[0].tokens_made > 20, "the first tokens")
    await rollout.runners[0].cleanup()
    results = await rollout.stream(0)
    assert sorted(r.index for r in results) == list(range(STEP_SAMPLES))
    assert_complete_with_true_versions(rollout, results)


async def test_streams_are_read_on_other_nodes_too_and_survive_their_death(rollout, monkeypatch):
    monkeypatch.setattr(executors, "LOCAL_STREAM_THRESHOLD", 1)
    nodes = rollout.cluster.nodes
    await rollout.open(0)
    await eventually(
        lambda: nodes[1].executors.streams_read_for_other_nodes > 0,
        "a stream read by node 1",
    )
    await eventually(
        lambda: nodes[2].executors.streams_read_for_other_nodes > 0,
        "a stream read by node 2",
    )
    await rollout.cluster.kill(2)
    results = await rollout.stream(0)
    assert sorted(r.index for r in results) == list(range(STEP_SAMPLES))
    assert_complete_with_true_versions(rollout, results)


async def test_a_limit_on_the_pool_holds_for_samples(rollout):
    snapshot = rollout.cluster.nodes[0].agent.lease.snapshot
    limit = Limit(kind="Limit", name="pool-limit", target="pool", max_in_flight=2)
    documents = rollout.cluster.platform.documents()
    await rollout.cluster.platform.apply(
        [*documents, limit, snapshot.pools["pool"], snapshot.trainers["trainer"]]
    )
    await eventually(
        lambda: all(n.agent.lease.snapshot.revision == 3 for n in rollout.cluster.nodes.values())
    )
    highest = 0

    async def watch():
        nonlocal highest
        while True:
            highest = max(highest, sum(len(s._running) for s in rollout.samplers))
            await asyncio.sleep(0.001)

    watcher = asyncio.create_task(watch())
    await rollout.open(0)
    results = await rollout.stream(0)
    watcher.cancel()
    assert len(results) == STEP_SAMPLES
    assert highest <= 2


async def test_malformed_openings_are_typed_problems(rollout):
    url = f"{rollout.cluster.url(0)}/trainers/trainer/steps"
    for body in (b"", b"{}", b"[" * 10_000, b'{"step":1,"opened_at_ms":0,"samples":[]}', b"\xff"):
        async with rollout.session.post(url, data=body, params={"version": "1"}) as answer:
            problem = await answer.json(content_type=None)
            assert (answer.status, problem["outcome"]) == (400, "not_run")


def test_cursors_are_ranges():
    assert format_cursor({0, 1, 2, 5, 7, 8}) == "0-2,5,7-8"
    assert parse_cursor("0-2,5,7-8") == {0, 1, 2, 5, 7, 8}
    assert parse_cursor("") == set()
    for malformed in ("x", "3-1", "-1", "0-99999999", "1,,2"):
        with pytest.raises(ValueError):
            parse_cursor(malformed)


async def test_two_results_of_one_sample_the_first_committed_wins(rollout):
    from crankseam.rollout.messages import Segment
    from crankseam.rollout.sample_records import SampleRecords

    records = [
        SampleRecords(rollout.cluster.nodes[n].agent, "trainer", 9, rollout.opened_at)
        for n in range(3)
    ]
    results = [
        SampleResult("trainer", 9, 0, 0, [n], [Segment(1, 0, 1)], [f"sampler-{n}"])
        for n in range(3)
    ]
    agreed_records = await asyncio.gather(
        *(r.commit(result) for r, result in zip(records, results, strict=True))
    )
    assert len({record.result for record in agreed_records}) == 1
